package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
	"pebblelift/internal/sockopt"
)

// echoServer starts an endpoint whose response to a request is the query of its target. It sends each connection on which
// a request has come to the returned channel.
func echoServer(t *testing.T) (*nettest.StubServer, <-chan net.Conn) {
	t.Helper()
	requested := make(chan net.Conn, 9)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+req.URL.RawQuery)
		requested <- c
		return true
	})
	return stub, requested
}

// dialIdle returns an idle connection to an endpoint whose reader goroutine has not begun to wait for the next response,
// as if the machine had held the process up since the last one.
func (p *Pool) dialIdle(t *testing.T, e *Endpoint) *conn {
	t.Helper()
	rt := newRoundTrip(t.Context(), http.MethodGet)
	c, err := p.dial(t.Context(), e, e.addr, rt)
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	p.release(c, rt)
	return c
}

// Guards against a response to an earlier request that is taken for the response to the next one, because it came while
// the process was held up and nobody had read it when the connection was reused.
func TestConnectionWithUnreadResponseIsNotReused(t *testing.T) {
	stub, requested := echoServer(t)
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	heldUp := pool.dialIdle(t, endpoint)
	io.WriteString(heldUp, "GET /look?1 HTTP/1.1\r\nHost: x\r\n\r\n") // whose response comes a second time
	nettest.Receive(t, requested)
	nettest.Eventually(t, "the response has come", func() bool { return sockopt.HasUnread(heldUp.Conn) })

	result := make(chan Response, 1)
	go func() {
		a := pool.newAttempt(endpoint)
		a.Request.Target += "?2"
		result <- pool.Do(context.Background(), a)
	}()
	nettest.Receive(t, requested)
	go pool.readLoop(heldUp) // the process goes on
	if r := nettest.Receive(t, result); r.Result != balance.OK || string(r.Body) != "2" {
		t.Errorf("result %v (%v), body %q; want the response to the request itself, 2", r.Result, r.Err, r.Body)
	}
	nettest.Eventually(t, "the other connection is closed", func() bool { return pool.openConnections() == 1 })
}

// Guards against the same where the reader goroutine has taken the bytes from the system, but not looked yet whose they are.
func TestConnectionWithReadResponseIsNotReused(t *testing.T) {
	stub, requested := echoServer(t)
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	heldUp := pool.dialIdle(t, endpoint)
	io.WriteString(heldUp, "GET /look?1 HTTP/1.1\r\nHost: x\r\n\r\n")
	nettest.Receive(t, requested)
	heldUp.limited.remaining = maxResponseSize
	if _, err := heldUp.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	a := pool.newAttempt(endpoint)
	a.Request.Target += "?2"
	r := pool.Do(context.Background(), a)
	if r.Result != balance.OK || string(r.Body) != "2" || stub.Conns.Load() != 2 {
		t.Errorf("result %v (%v), body %q on %d connections; want 2 on a connection of its own",
			r.Result, r.Err, r.Body, stub.Conns.Load())
	}
	go pool.readLoop(heldUp)
	nettest.Eventually(t, "the other connection is closed", func() bool { return pool.openConnections() == 1 })
}

// Guards against a request that is written to a connection which the endpoint has closed while the process was held up.
func TestConnectionThatTheEndpointHasClosedIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.URL.RawQuery == "1" {
			c.Close()
			close(closed)
			return false
		}
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	heldUp := pool.dialIdle(t, endpoint)
	io.WriteString(heldUp, "GET /look?1 HTTP/1.1\r\nHost: x\r\n\r\n")
	nettest.Receive(t, closed)
	nettest.Eventually(t, "the close has come", func() bool {
		isClosed, _ := sockopt.PeerHasClosed(heldUp.Conn)
		return isClosed
	})
	if r := pool.Do(context.Background(), pool.newAttempt(endpoint)); r.Result != balance.OK {
		t.Errorf("result %v (%v), want %v", r.Result, r.Err, balance.OK)
	}
	go pool.readLoop(heldUp)
	nettest.Eventually(t, "the other connection is closed", func() bool { return pool.openConnections() == 1 })
}

// Guards against connections that are opened without need: a quiet one is reused.
func TestQuietConnectionIsReused(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	for range 20 {
		if r := pool.Do(context.Background(), pool.newAttempt(endpoint)); r.Result != balance.OK {
			t.Fatalf("result %v (%v), want %v", r.Result, r.Err, balance.OK)
		}
	}
	if n := stub.Conns.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}
