package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
)

// Connecting takes time. An attempt that may no longer start when its connection is established is not sent, so it is
// known not to have been executed.
func TestAttemptPastDeadlineIsNotSent(t *testing.T) {
	for name, expire := range map[string]func(*Pool, *Attempt){
		"the drain grace is over": func(p *Pool, a *Attempt) {
			drainingSince := p.options.Clock.Now() - p.options.DrainGrace
			a.Endpoint.unavailableSince.Store(math.Float64bits(drainingSince))
		},
		"the deduplication window is over": func(p *Pool, a *Attempt) { a.StartBefore = p.options.Clock.Now() },
		"the deadline has passed":          func(p *Pool, a *Attempt) { a.Deadline = p.options.Clock.Now() },
		"the attempt was canceled":         func(_ *Pool, a *Attempt) { a.ClaimStart() },
	} {
		t.Run(name, func(t *testing.T) {
			stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
			pool := newTestPool(t, 9)
			a := pool.newAttempt(&Endpoint{addr: stub.Addr})
			expire(pool, a)
			if r := pool.Do(context.Background(), a); r.Result != balance.NotSent {
				t.Errorf("result %v, want %v", r.Result, balance.NotSent)
			}
			if stub.Requests.Load() != 0 {
				t.Error("the request was sent")
			}
		})
	}
}

// Canceling an attempt closes its connection, which is how the endpoint learns of the cancellation.
func TestCancelClosesConnection(t *testing.T) {
	received := make(chan struct{}, 1)
	stub := nettest.NewStubServer(t, func(net.Conn, *http.Request, string) bool {
		received <- struct{}{}
		return true
	})
	pool := newTestPool(t, 9)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan Response, 1)
	go func() { done <- pool.Do(ctx, pool.newAttempt(&Endpoint{addr: stub.Addr})) }()
	nettest.Receive(t, received)
	cancel()
	if r := nettest.Receive(t, done); r.Result != balance.Canceled {
		t.Errorf("result %v, want %v", r.Result, balance.Canceled)
	}
	nettest.Receive(t, stub.Disconnects)
	nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
}

// smallBuffers limits the buffers of a socket, so that the write of a large request blocks while the other end does
// not read. It is a Control function of net.Dialer and net.ListenConfig.
func smallBuffers(_, _ string, c syscall.RawConn) (err error) {
	const size = 4 << 10
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size),
		)
	})
	return errors.Join(controlErr, err)
}

// startHeaderOnlyServer starts an endpoint that reads the headers of a request but not its body, and then sends the
// response. It sends each connection on which it has responded to the returned channel.
func startHeaderOnlyServer(t *testing.T, response string) (addr string, responded <-chan net.Conn) {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: smallBuffers}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns := make(chan net.Conn, 9)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 64)); err == nil {
				io.WriteString(c, response)
				conns <- c
			}
		}
	}()
	return ln.Addr().String(), conns
}

// An attempt can be canceled while its request is being written.
func TestCancelDuringRequestWrite(t *testing.T) {
	addr, conns := startHeaderOnlyServer(t, "")
	pool := newTestPool(t, 9)
	pool.dialer.Control = smallBuffers
	ctx, cancel := context.WithCancel(context.Background())
	a := pool.newAttempt(&Endpoint{addr: addr})
	a.Request = Request{Method: "POST", Target: "/once", Body: make([]byte, MaxBodySize)}
	done := make(chan Response, 1)
	go func() { done <- pool.Do(ctx, a) }()
	nettest.Receive(t, conns)
	cancel()
	// The last byte of the request was not written, so the request was not executed.
	if r := nettest.Receive(t, done); r.Result != balance.ConnectFailed {
		t.Errorf("result %v (%v), want %v", r.Result, r.Err, balance.ConnectFailed)
	}
	nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
}

// A health check is a separate request to the given path. Its load report is read from a header field or from the body.
func TestHealthCheck(t *testing.T) {
	paths := make(chan string, 1)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		paths <- req.RequestURI
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nTEXT busy=0.25")
		return true
	})
	pool := newTestPool(t, 9)
	r := pool.HealthCheck(context.Background(), &Endpoint{addr: stub.Addr}, "/_load")
	path := nettest.Receive(t, paths)
	if path != "/_load" || r.Result != balance.OK || len(r.LoadReport) != 2 || r.LoadReport[0] != 0.25 {
		t.Errorf("request to %s, response %+v; want /_load and the load report [0.25 NaN]", path, r)
	}
}
