package upstream

import (
	"context"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
)

// When the address of an endpoint changes, new attempts go to the new address and idle connections to the old one are
// closed. When an endpoint drains, its idle connections are closed too, as it gets no new attempts.
func TestEndpointAddressChange(t *testing.T) {
	first := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	second := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{}
	pool.UpdateEndpoint(endpoint, first.Addr, true)
	pool.Do(context.Background(), pool.newAttempt(endpoint))
	pool.UpdateEndpoint(endpoint, second.Addr, true)
	nettest.Receive(t, first.Disconnects)
	r := pool.Do(context.Background(), pool.newAttempt(endpoint))
	if r.Result != balance.OK || second.Requests.Load() != 1 {
		t.Errorf("result %v, %d requests at the new address, want %v and 1",
			r.Result, second.Requests.Load(), balance.OK)
	}
	pool.UpdateEndpoint(endpoint, "", false)
	nettest.Receive(t, second.Disconnects)
	nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
}
