package upstream

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/nettest"
)

// An attempt whose connection is refused is known not to have been executed. Its connection must not count as open.
func TestRefusedConnectionIsNotExecuted(t *testing.T) {
	pool := newTestPool(t, 9)
	r := pool.Do(context.Background(), pool.newAttempt(&Endpoint{addr: nettest.ClosedAddress(t)}))
	if r.Result != balance.ConnectFailed {
		t.Errorf("result %v, want %v", r.Result, balance.ConnectFailed)
	}
	if n := pool.openConnections(); n != 0 {
		t.Errorf("%d connections still count as open", n)
	}
}

// An attempt that is canceled just as its response arrives must not close the connection, which may already carry the
// next round trip.
func TestCancelSparesNextRoundTrip(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	rt := newRoundTrip(t.Context(), "GET")
	c, err := pool.acquire(context.Background(), endpoint, rt)
	if err != nil {
		t.Fatal(err)
	}
	pool.release(c, rt)
	pool.closeIfCurrent(c, rt)
	r := pool.Do(context.Background(), pool.newAttempt(endpoint))
	if r.Result != balance.OK || stub.Conns.Load() != 1 {
		t.Errorf("result %v on %d connections, want %v on 1", r.Result, stub.Conns.Load(), balance.OK)
	}
}

// The pool closes an idle connection before the endpoint does, because a request written to a connection that the
// endpoint has closed is lost.
func TestIdleConnectionsAreClosed(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	pool := newTestPool(t, 9)
	if pool.idleTimeout != 8*time.Second {
		t.Errorf("idle timeout %v where endpoints close idle connections after 10 s, want 8 s", pool.idleTimeout)
	}
	pool.idleTimeout = 10 * time.Millisecond
	pool.Do(context.Background(), pool.newAttempt(&Endpoint{addr: stub.Addr}))
	nettest.Receive(t, stub.Disconnects)
	nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
}

// Of several idle connections the most recently used one is reused.
func TestMostRecentConnectionIsReusedFirst(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	var conns []*conn
	var roundTrips []*roundTrip
	for range 2 {
		rt := newRoundTrip(t.Context(), "GET")
		c, err := pool.acquire(context.Background(), endpoint, rt)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		roundTrips = append(roundTrips, rt)
	}
	pool.release(conns[0], roundTrips[0])
	pool.release(conns[1], roundTrips[1])
	if c, _ := pool.acquire(context.Background(), endpoint, roundTrips[0]); c != conns[1] {
		t.Error("the connection that was released last is not reused")
	}
}

// At the limit on connections an attempt fails to connect, unless an idle connection to another endpoint can be closed
// to make room.
func TestMaxConnections(t *testing.T) {
	received := make(chan struct{}, 1)
	busy := nettest.NewStubServer(t, func(net.Conn, *http.Request, string) bool {
		received <- struct{}{}
		return true
	})
	idle := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	pool := newTestPool(t, 1)
	idleEndpoint, busyEndpoint := &Endpoint{addr: idle.Addr}, &Endpoint{addr: busy.Addr}
	pool.Do(context.Background(), pool.newAttempt(idleEndpoint))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan Response, 1)
	go func() { done <- pool.Do(ctx, pool.newAttempt(busyEndpoint)) }()
	nettest.Receive(t, received)         // the busy endpoint got a connection,
	nettest.Receive(t, idle.Disconnects) // for which the idle one was closed
	if r := pool.Do(context.Background(), pool.newAttempt(idleEndpoint)); r.Result != balance.ConnectFailed {
		t.Errorf("result %v, want %v", r.Result, balance.ConnectFailed)
	}
	cancel()
	nettest.Receive(t, done)
	nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
}

// Guards against attempts that fail, and endpoints that count as failing, because connect fails on this machine for a
// moment.
func TestPassingConnectErrorsAreWaitedOut(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	passing := []error{
		syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.ENFILE, syscall.EMFILE, syscall.EINTR,
	}
	var failures []error
	pool := NewPool(Options{
		Clock: clock.New(), MaxConnections: 20, ConnectTimeout: nettest.Timeout,
		Control: func(string, string, syscall.RawConn) error {
			if len(failures) == 0 {
				return nil
			}
			err := failures[0]
			failures = failures[1:]
			return os.NewSyscallError("connect", err)
		},
	})
	for _, err := range passing {
		failures = []error{err, err}
		e := &Endpoint{}
		pool.UpdateEndpoint(e, stub.Addr, true)
		r := pool.Do(t.Context(), &Attempt{
			Endpoint: e, Request: Request{Method: "GET", Target: "/"},
			Deadline: pool.options.Clock.Now() + 9000, StartBefore: math.Inf(1),
		})
		if r.Result != balance.OK || len(failures) != 0 {
			t.Errorf("%v: result %v, error %v, want %v", err, r.Result, r.Err, balance.OK)
		}
		pool.CloseIdle(e)
	}
	failures = []error{syscall.ECONNREFUSED}
	e := &Endpoint{}
	pool.UpdateEndpoint(e, stub.Addr, true)
	if _, err := pool.acquire(t.Context(), e, newRoundTrip(t.Context(), "GET")); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want %v at once, because it comes from the endpoint", err, syscall.ECONNREFUSED)
	}
}
