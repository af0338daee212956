package upstream

import (
	"context"
	"math"
	"testing"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/nettest"
)

// newTestPool returns a pool without a quiet period, so that a connection can be reused at once.
func newTestPool(t *testing.T, maxConnections int) *Pool {
	t.Helper()
	p := NewPool(Options{
		Clock:           clock.New(),
		MaxConnections:  maxConnections,
		ConnectTimeout:  5 * time.Second,
		ConnIdleTimeout: 10 * time.Second,
		DrainGrace:      250,
		ReportFields:    []string{"busy", "rate"},
	})
	p.quietPeriod = 0
	return p
}

// newAttempt returns an attempt of a GET request with a deadline in 30 s.
func (p *Pool) newAttempt(e *Endpoint) *Attempt {
	return &Attempt{
		Endpoint:    e,
		Request:     Request{Method: "GET", Target: "/look"},
		Deadline:    p.options.Clock.Now() + 30000,
		StartBefore: math.Inf(1),
	}
}

// openConnections returns the number of connections that count towards the limit.
func (p *Pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

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
