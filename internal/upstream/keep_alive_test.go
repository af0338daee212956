package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
)

// If an endpoint drops idle connections and resets each one at the next request, the pool must learn the idle limit
// from two lost requests.
func TestKeepAliveLimitIsLearned(t *testing.T) {
	var mu sync.Mutex
	served := map[net.Conn]bool{}
	stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		if served[c] {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		served[c] = true
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	lost := 0
	for range 10 {
		r := pool.Do(context.Background(), pool.newAttempt(endpoint))
		if r.Result == balance.Reset {
			lost++
		} else if r.Result != balance.OK {
			t.Fatalf("result %v (%v), want %v or %v", r.Result, r.Err, balance.OK, balance.Reset)
		}
		pool.mu.Lock()
		for _, c := range endpoint.idle {
			c.idleSince = c.idleSince.Add(-time.Second)
		}
		pool.mu.Unlock()
	}
	if lost != 2 {
		t.Errorf("%d of 10 requests were lost, want 2", lost)
	}
}

// A single loss of an idle connection, which can happen by chance, does not set an idle limit; two losses in a row
// do. A learned limit expires after a while, so that longer idle times are tried again.
func TestKeepAliveIgnoresSingleLoss(t *testing.T) {
	const configured, ms = 8 * time.Second, time.Millisecond
	var estimator keepAliveEstimator
	for range 5 { // a longer idle time works between two losses, or the lost connections were hardly idle
		estimator.recordLost(100 * ms)
		estimator.recordReused(150 * ms)
		estimator.recordLost(minLearnedIdleLimit / 2)
		estimator.recordLost(minLearnedIdleLimit / 2)
	}
	if got := estimator.idleLimit(configured); got != configured {
		t.Errorf("idle limit %v after isolated losses, want %v", got, configured)
	}
	estimator.recordLost(200 * ms)
	estimator.recordReused(50 * ms)
	estimator.recordLost(150 * ms)
	if got := estimator.idleLimit(configured); got >= 150*ms || got < 50*ms {
		t.Errorf("idle limit %v after losses at 200 and 150 ms, want one from 50 to below 150 ms", got)
	}
	estimator.learnedAt = estimator.learnedAt.Add(-learnedLimitTTL)
	if got := estimator.idleLimit(configured); got != configured {
		t.Errorf("idle limit %v after the learned one has expired, want %v", got, configured)
	}
}
