package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pebblelift/balance"
)

func newTestPool(t *testing.T, most int) *connectionPool {
	t.Helper()
	c, err := ParseConfig([]byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":` + testSettings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	u := newConnectionPool(NewClock(), &c, most)
	u.quietPeriod = 0
	return u
}

func (u *connectionPool) call(e *endpoint) *upstreamCall {
	return &upstreamCall{endpoint: e, request: upstreamRequest{method: "GET", target: "/look"}, deadline: u.clock.Now() + 30000, startBefore: math.Inf(1)}
}

func (u *connectionPool) openConnections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// Rule 2 rests on what an outcome proves: only these ends tell that nothing ran, and only a whole 200 is served.
func TestAttemptResults(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   balance.Result
		reused bool
	}{
		"served":              {okResponse, balance.OK, true},
		"served in chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balance.OK, true},
		"after a 100":         {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, balance.OK, true},
		"served, then closed": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balance.OK, false},
		"bytes left over":     {okResponse + "HTTP", balance.OK, false},
		"error":               {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balance.ServerError, true},
		"turned away":         {"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true},
		"over already":        {"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true},
		"503 without a word":  {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balance.ServerError, true},
		"500 with the word":   {"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.ServerError, true},
		"not an answer":       {"\x16\x03\x01nonsense\r\n\r\n", balance.Reset, false},
		"too large":           {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), balance.ServerError, false},
		"broken off":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", balance.Reset, false},
		"of unknown length":   {"HTTP/1.1 200 OK\r\n\r\nhi", balance.Reset, false},
		"no length, reset":    {"HTTP/1.1 200 OK\r\n\r\nhi", balance.Reset, false},
		"nothing":             {"", balance.Reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			ends := name == "broken off" || name == "of unknown length" || name == "nothing"
			p := newStubServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(conn, c.answer)
				if name == "no length, reset" { // a reset is no end
					conn.(*net.TCPConn).SetLinger(0)
					return false
				}
				return !ends
			})
			u := newTestPool(t, 9)
			e := &endpoint{addr: p.addr}
			r := u.do(context.Background(), u.call(e))
			if r.result != c.want {
				t.Fatalf("result %v (%v), want %v", r.result, r.err, c.want)
			}
			if r.result == balance.OK && string(r.body) != "hi" {
				t.Errorf("body %q", r.body)
			}
			if c.reused {
				u.do(context.Background(), u.call(e))
				if n := p.conns.Load(); n != 1 {
					t.Errorf("%d connections for two requests", n)
				}
			} else {
				eventually(t, "the connection is closed", func() bool { return u.openConnections() == 0 })
			}
		})
	}
}

// An answer that does not end is given up, wherever it does not: memory is bounded.
func TestUnboundedResponses(t *testing.T) {
	for name, c := range map[string]struct{ begin, more string }{
		"in its head":  {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n"},
		"in a line":    {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 1000)},
		"in its chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", strings.Repeat("x", 1000)},
		"behind it":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n"},
		"before it":    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		p := newStubServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(conn, c.begin)
			for {
				if _, err := io.WriteString(conn, c.more); err != nil {
					return false
				}
			}
		})
		u := newTestPool(t, 9)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if r := u.do(ctx, u.call(&endpoint{addr: p.addr})); r.result != balance.Reset {
			t.Errorf("%s: result %v (%v)", name, r.result, r.err)
		}
		cancel()
		eventually(t, "the connection is closed", func() bool { return u.openConnections() == 0 })
	}
}

func TestRefusedConnectionIsNotExecuted(t *testing.T) {
	u := newTestPool(t, 9)
	if r := u.do(context.Background(), u.call(&endpoint{addr: closedAddress(t)})); r.result != balance.ConnectFailed {
		t.Errorf("result %v", r.result)
	}
	if u.openConnections() != 0 {
		t.Error("the place is not given back")
	}
}

// A dial takes time: what became too late meanwhile must not leave, and has not run.
func TestAttemptPastDeadlineIsNotSent(t *testing.T) {
	for name, spoil := range map[string]func(*connectionPool, *upstreamCall){
		"the grace is over": func(u *connectionPool, c *upstreamCall) {
			c.endpoint.unavailableSince.Store(math.Float64bits(u.clock.Now() - u.drainGrace))
		},
		"the key's time is over": func(u *connectionPool, c *upstreamCall) { c.startBefore = u.clock.Now() },
		"the client's is":        func(u *connectionPool, c *upstreamCall) { c.deadline = u.clock.Now() },
		"it was given up":        func(u *connectionPool, c *upstreamCall) { c.claim() },
	} {
		p := newStubServer(t, respondWith(okResponse))
		u := newTestPool(t, 9)
		c := u.call(&endpoint{addr: p.addr})
		spoil(u, c)
		if r := u.do(context.Background(), c); r.result != balance.NotSent {
			t.Errorf("%s: result %v", name, r.result)
		}
		if p.requests.Load() != 0 {
			t.Errorf("%s: sent", name)
		}
	}
}

// Giving an attempt up closes its connection, which is how the server learns of it.
func TestCancelClosesConnection(t *testing.T) {
	got := make(chan struct{}, 1)
	p := newStubServer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	u := newTestPool(t, 9)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan upstreamResponse, 1)
	go func() { done <- u.do(ctx, u.call(&endpoint{addr: p.addr})) }()
	receive(t, got)
	cancel()
	if r := receive(t, done); r.result != balance.Canceled {
		t.Errorf("result %v", r.result)
	}
	receive(t, p.ended)
	eventually(t, "the place is given back", func() bool { return u.openConnections() == 0 })
}

// smallBuffers are those of sockets by which a large request is held up in the middle while its peer does not read.
func smallBuffers(_, _ string, c syscall.RawConn) (err error) {
	return errors.Join(c.Control(func(fd uintptr) {
		err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4<<10),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10))
	}), err)
}

// slowReader is a server that reads no more than a request's head, and answers that.
func slowReader(t *testing.T, answer string) (addr string, conns <-chan net.Conn) {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: smallBuffers}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	taken := make(chan net.Conn, 9)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			if _, err := http.ReadRequest(bufio.NewReaderSize(c, 64)); err == nil {
				io.WriteString(c, answer)
				taken <- c
			}
		}
	}()
	return ln.Addr().String(), taken
}

// An attempt can be given up also while its request is being written.
func TestCancelDuringRequestWrite(t *testing.T) {
	addr, conns := slowReader(t, "")
	u := newTestPool(t, 9)
	u.dialer.Control = smallBuffers
	ctx, cancel := context.WithCancel(context.Background())
	c := u.call(&endpoint{addr: addr})
	c.request = upstreamRequest{method: "POST", target: "/once", body: make([]byte, maxBody)}
	done := make(chan upstreamResponse, 1)
	go func() { done <- u.do(ctx, c) }()
	receive(t, conns)
	cancel()
	if r := receive(t, done); r.result != balance.ConnectFailed { // its last byte did not leave
		t.Errorf("result %v (%v)", r.result, r.err)
	}
	eventually(t, "the place is given back", func() bool { return u.openConnections() == 0 })
}

// An attempt given up just as its answer came must not close the connection, which may carry another by now.
func TestCancelSparesNextRoundTrip(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	u := newTestPool(t, 9)
	e := &endpoint{addr: p.addr}
	x := newRoundTrip("GET")
	c, err := u.acquire(context.Background(), e, x)
	if err != nil {
		t.Fatal(err)
	}
	u.release(c, x)
	u.abandon(c, x)
	if r := u.do(context.Background(), u.call(e)); r.result != balance.OK || p.conns.Load() != 1 {
		t.Errorf("result %v, %d connections", r.result, p.conns.Load())
	}
}

// We close an idle connection before the server does: a request written to one that it closed is lost.
func TestIdleConnectionsAreClosed(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	u := newTestPool(t, 9)
	if u.idleTimeout != 8*time.Second {
		t.Errorf("idle for %v where the server closes after 10 s", u.idleTimeout)
	}
	u.idleTimeout = 10 * time.Millisecond
	u.do(context.Background(), u.call(&endpoint{addr: p.addr}))
	receive(t, p.ended)
	eventually(t, "the place is given back", func() bool { return u.openConnections() == 0 })
}

// deadlineFirst is a connection whose first read sees a deadline.
type deadlineFirst struct {
	net.Conn
	seen bool
}

func (c *deadlineFirst) Read(p []byte) (int, error) {
	if !c.seen {
		c.seen = true
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// A connection that is taken in the moment in which its idle time ends carries its request all the same: its reader has
// seen the deadline by then, but not that it is taken.
func TestAcquireAtIdleTimeout(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	nc, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	u := newTestPool(t, 9)
	x := newRoundTrip("GET")
	x.started.Store(true)
	close(x.written)
	left := &limitedReader{Reader: &deadlineFirst{Conn: nc}}
	c := &conn{Conn: nc, endpoint: &endpoint{addr: p.addr}, addr: p.addr, reader: bufio.NewReader(left), limit: left, exchange: x}
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	go u.readLoop(c)
	if r := receive(t, x.done); r.result != balance.OK {
		t.Errorf("result %v (%v)", r.result, r.err)
	}
}

// A server's close is noticed while the connection is idle, so that no request is written to it.
func TestRemoteCloseIsNoticedWhileIdle(t *testing.T) {
	conns := make(chan net.Conn, 2)
	p := newStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, okResponse)
		conns <- c
		return true
	})
	u := newTestPool(t, 9)
	e := &endpoint{addr: p.addr}
	u.do(context.Background(), u.call(e))
	receive(t, conns).Close()
	eventually(t, "the close is noticed", func() bool { return u.openConnections() == 0 })
	if r := u.do(context.Background(), u.call(e)); r.result != balance.OK {
		t.Errorf("result %v", r.result)
	}
}

// A server that forgets idle connections and resets what is written to them costs two requests, not each one.
func TestKeepAliveLimitIsLearned(t *testing.T) {
	served := map[net.Conn]bool{}
	var mu sync.Mutex
	p := newStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		if served[c] {
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		served[c] = true
		io.WriteString(c, okResponse)
		return true
	})
	u := newTestPool(t, 9)
	e := &endpoint{addr: p.addr}
	lost := 0
	for range 10 {
		if r := u.do(context.Background(), u.call(e)); r.result == balance.Reset {
			lost++
		} else if r.result != balance.OK {
			t.Fatalf("result %v (%v)", r.result, r.err)
		}
		u.mu.Lock()
		for _, c := range e.idle {
			c.idleSince = c.idleSince.Add(-time.Second)
		}
		u.mu.Unlock()
	}
	if lost != 2 {
		t.Errorf("%d of 10 were lost", lost)
	}
}

// Connections that are lost by chance show no limit, and a limit is tried anew some time later.
func TestSingleLossTeachesNothing(t *testing.T) {
	const settings, ms = 8 * time.Second, time.Millisecond
	var k keepAliveEstimator
	for range 5 { // a longer idle one works in between, or they were hardly idle
		k.recordLost(100 * ms)
		k.recordReused(150 * ms)
		k.recordLost(minLearnedIdle / 2)
		k.recordLost(minLearnedIdle / 2)
	}
	if got := k.idleLimit(settings); got != settings {
		t.Errorf("by chance: %v", got)
	}
	k.recordLost(200 * ms)
	k.recordReused(50 * ms)
	k.recordLost(150 * ms)
	if got := k.idleLimit(settings); got >= 150*ms || got < 50*ms {
		t.Errorf("two at 150 and 200 ms: %v", got)
	}
	k.learnedAt = k.learnedAt.Add(-relearnInterval)
	if got := k.idleLimit(settings); got != settings {
		t.Errorf("later: %v", got)
	}
}

// A server that answers before it has the whole request gets no other on that connection, which would begin in the middle
// of the first one's body, and its answer is not taken for one to a request that it does not have.
func TestResponseBeforeRequestIsWritten(t *testing.T) {
	addr, conns := slowReader(t, okResponse)
	u := newTestPool(t, 9)
	u.dialer.Control, u.idleTimeout = smallBuffers, time.Hour
	e := &endpoint{addr: addr}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first := u.call(e)
	first.request = upstreamRequest{method: "POST", target: "/once", body: make([]byte, maxBody)}
	if r := u.do(ctx, first); r.result == balance.OK || ctx.Err() != nil {
		t.Errorf("result %v (%v)", r.result, r.err)
	}
	if r := u.do(ctx, u.call(e)); r.result != balance.OK {
		t.Errorf("the next one: %v (%v)", r.result, r.err)
	}
	receive(t, conns)
	receive(t, conns) // each had its own
}

// A second answer that comes some milliseconds behind the first one must find no request on its connection: it would be
// taken for the answer to that. Another idle connection is used meanwhile, or one is opened.
func TestSecondResponse(t *testing.T) {
	again := make(chan net.Conn, 9)
	p := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+req.URL.Query().Get("n"))
		again <- c
		return true
	})
	u := newTestPool(t, 9)
	u.quietPeriod = time.Hour
	e := &endpoint{addr: p.addr}
	for _, n := range []string{"1", "2"} {
		c := u.call(e)
		c.request.target += "?n=" + n
		if r := u.do(context.Background(), c); r.result != balance.OK || string(r.body) != n {
			t.Fatalf("request %s: %v, %q", n, r.result, r.body)
		}
	}
	first := receive(t, again)
	io.WriteString(first, okResponse)
	receive(t, p.ended) // its connection is closed
	u.mu.Lock()
	if len(e.idle) != 1 {
		t.Fatalf("%d idle connections", len(e.idle))
	}
	e.idle[0].idleSince = e.idle[0].idleSince.Add(-2 * u.quietPeriod) // the other one has settled
	u.idleTimeout = 3 * u.quietPeriod
	u.mu.Unlock()
	c := u.call(e)
	c.request.target += "?n=3"
	if r := u.do(context.Background(), c); string(r.body) != "3" || r.connectionIdle < u.quietPeriod || p.conns.Load() != 2 {
		t.Errorf("%v, %q, idle for %v, %d connections", r.result, r.body, r.connectionIdle, p.conns.Load())
	}
}

func TestMostRecentConnectionIsReusedFirst(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	u := newTestPool(t, 9)
	e := &endpoint{addr: p.addr}
	var conns []*conn
	var xs []*roundTrip
	for range 2 {
		x := newRoundTrip("GET")
		c, err := u.acquire(context.Background(), e, x)
		if err != nil {
			t.Fatal(err)
		}
		conns, xs = append(conns, c), append(xs, x)
	}
	u.release(conns[0], xs[0])
	u.release(conns[1], xs[1])
	if c, _ := u.acquire(context.Background(), e, xs[0]); c != conns[1] {
		t.Error("not the newest")
	}
}

// At the bound on sockets an attempt is a failed connect, unless another server's idle connection can make room.
func TestMaxConnections(t *testing.T) {
	got := make(chan struct{}, 1)
	busy := newStubServer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	p := newStubServer(t, respondWith(okResponse))
	u := newTestPool(t, 1)
	first, second := &endpoint{addr: p.addr}, &endpoint{addr: busy.addr}
	u.do(context.Background(), u.call(first))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan upstreamResponse, 1)
	go func() { done <- u.do(ctx, u.call(second)) }()
	receive(t, got)     // it took the place ...
	receive(t, p.ended) // ... of the idle one
	if r := u.do(context.Background(), u.call(first)); r.result != balance.ConnectFailed {
		t.Errorf("result %v", r.result)
	}
	cancel()
	receive(t, done)
	eventually(t, "the count is right again", func() bool { return u.openConnections() == 0 })
}

func TestParseReport(t *testing.T) {
	fields := []string{"busy", "rate", "q"}
	r := parseLoadReport("TEXT rate=12.5, new=3, busy=0.61, q=", fields)
	if len(r) != 3 || r[0] != 0.61 || r[1] != 12.5 || r[2] == r[2] {
		t.Errorf("%v", r)
	}
	for _, none := range []string{"", "TEXT", "TEXT other=1", "busy", "=", "busy=x"} {
		if r := parseLoadReport(none, fields); r != nil {
			t.Errorf("%q: %v", none, r)
		}
	}
}

// A server that moves is met at its new address, and its old connections are closed. One that drains gets nothing new,
// so its idle connections are of no use either.
func TestEndpointAddressChange(t *testing.T) {
	first, second := newStubServer(t, respondWith(okResponse)), newStubServer(t, respondWith(okResponse))
	u := newTestPool(t, 9)
	e := &endpoint{}
	u.updateEndpoint(e, first.addr, false)
	u.do(context.Background(), u.call(e))
	u.updateEndpoint(e, second.addr, false)
	receive(t, first.ended)
	if r := u.do(context.Background(), u.call(e)); r.result != balance.OK || second.requests.Load() != 1 {
		t.Errorf("result %v, %d requests", r.result, second.requests.Load())
	}
	u.updateEndpoint(e, "", true)
	receive(t, second.ended)
	eventually(t, "all are closed", func() bool { return u.openConnections() == 0 })
}

// Probes are requests of their own; the report is the body or the header.
func TestHealthCheck(t *testing.T) {
	paths := make(chan string, 1)
	p := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		paths <- req.RequestURI
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nTEXT busy=0.25")
		return true
	})
	u := newTestPool(t, 9)
	r := u.healthCheck(context.Background(), &endpoint{addr: p.addr}, "/_load")
	if path := receive(t, paths); path != "/_load" || r.result != balance.OK || len(r.loadReport) != 2 || r.loadReport[0] != 0.25 {
		t.Errorf("%s: %+v", path, r)
	}
}
