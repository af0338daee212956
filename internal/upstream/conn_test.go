package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
)

// deadlineOnFirstRead is a connection whose first read fails with an expired deadline.
type deadlineOnFirstRead struct {
	net.Conn
	expired bool
}

func (c *deadlineOnFirstRead) Read(p []byte) (int, error) {
	if !c.expired {
		c.expired = true
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// A connection that is acquired at the very moment of its idle timeout must still carry its request. The reader
// goroutine may see the expired deadline before the connection is acquired, and handle the deadline
// afterwards.
func TestAcquireAtIdleTimeout(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	nc, err := net.Dial("tcp", stub.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	pool := newTestPool(t, 9)
	rt := newRoundTrip(t.Context(), "GET")
	rt.writeStarted.Store(true)
	close(rt.writeEnded)
	c, err := newConn(nc, &Endpoint{addr: stub.Addr}, stub.Addr, rt)
	if err != nil {
		t.Fatal(err)
	}
	c.limited.source = &deadlineOnFirstRead{Conn: nc}
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	go pool.readLoop(c)
	if r := nettest.Receive(t, rt.result); r.Result != balance.OK {
		t.Errorf("result %v (%v), want %v", r.Result, r.Err, balance.OK)
	}
}

// A close by the endpoint is noticed while the connection is idle, so that no request is written to a
// closed connection.
func TestRemoteCloseIsNoticedWhileIdle(t *testing.T) {
	conns := make(chan net.Conn, 2)
	stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, nettest.OKResponse)
		conns <- c
		return true
	})
	pool := newTestPool(t, 9)
	endpoint := &Endpoint{addr: stub.Addr}
	pool.Do(context.Background(), pool.newAttempt(endpoint))
	nettest.Receive(t, conns).Close()
	nettest.Eventually(t, "the close is noticed", func() bool { return pool.openConnections() == 0 })
	if r := pool.Do(context.Background(), pool.newAttempt(endpoint)); r.Result != balance.OK {
		t.Errorf("result %v, want %v", r.Result, balance.OK)
	}
}

// If an endpoint responds before it has read the whole request, the response is not accepted, because the endpoint
// does not have the request. The connection is not reused, because the endpoint would read the next request as the
// rest of the first body.
func TestResponseBeforeRequestIsWritten(t *testing.T) {
	addr, conns := startHeaderOnlyServer(t, nettest.OKResponse)
	pool := newTestPool(t, 9)
	pool.dialer.Control, pool.idleTimeout = smallBuffers, time.Hour
	endpoint := &Endpoint{addr: addr}
	ctx, cancel := context.WithTimeout(context.Background(), nettest.Timeout)
	defer cancel()
	first := pool.newAttempt(endpoint)
	first.Request = Request{Method: "POST", Target: "/once", Body: make([]byte, MaxBodySize)}
	if r := pool.Do(ctx, first); r.Result == balance.OK || ctx.Err() != nil {
		t.Errorf("first request: result %v (%v), want a failure before the timeout", r.Result, r.Err)
	}
	if r := pool.Do(ctx, pool.newAttempt(endpoint)); r.Result != balance.OK {
		t.Errorf("second request: result %v (%v), want %v", r.Result, r.Err, balance.OK)
	}
	nettest.Receive(t, conns)
	nettest.Receive(t, conns) // each request had its own connection
}

// If an endpoint sends a second response some milliseconds after the first, the second response must not be taken for
// the response to the next request. Therefore a connection is not reused during the quiet period after a response;
// another idle connection is used or a new one is opened.
func TestSecondResponse(t *testing.T) {
	responded := make(chan net.Conn, 9)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+req.URL.Query().Get("n"))
		responded <- c
		return true
	})
	pool := newTestPool(t, 9)
	pool.quietPeriod = time.Hour
	endpoint := &Endpoint{addr: stub.Addr}
	for _, number := range []string{"1", "2"} {
		a := pool.newAttempt(endpoint)
		a.Request.Target += "?n=" + number
		r := pool.Do(context.Background(), a)
		if r.Result != balance.OK || string(r.Body) != number {
			t.Fatalf("request %s: result %v, body %q", number, r.Result, r.Body)
		}
	}
	first := nettest.Receive(t, responded)
	io.WriteString(first, nettest.OKResponse)
	nettest.Receive(t, stub.Disconnects) // the connection with the second response is closed
	pool.mu.Lock()
	if len(endpoint.idle) != 1 {
		t.Fatalf("%d idle connections, want 1", len(endpoint.idle))
	}
	// The quiet period of the other connection ends.
	endpoint.idle[0].idleSince = endpoint.idle[0].idleSince.Add(-2 * pool.quietPeriod)
	pool.idleTimeout = 3 * pool.quietPeriod
	pool.mu.Unlock()
	a := pool.newAttempt(endpoint)
	a.Request.Target += "?n=3"
	r := pool.Do(context.Background(), a)
	if string(r.Body) != "3" || r.ConnectionIdle < pool.quietPeriod || stub.Conns.Load() != 2 {
		t.Errorf("result %v, body %q on a connection idle for %v, %d connections; want body 3 and 2 connections",
			r.Result, r.Body, r.ConnectionIdle, stub.Conns.Load())
	}
}
