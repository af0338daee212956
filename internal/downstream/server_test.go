package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pebblelift/balance"
)

// What a server must see unchanged, and what the client gets back.
func TestResponseIsForwardedUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	p := newStubServer(t, func(c net.Conn, req *http.Request, body string) bool {
		seen <- req
		bodies <- body
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
		return true
	})
	r := newHarnessWithEndpoints(t, p.addr)
	resp, body := r.request("POST /book/%41;x?sid=7f&b=%2F HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t1\r\nX-Qos: book\r\nX-Customer: nobody\r\n" +
		"X-Expires-In: 9000500u\r\nIdempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello")
	if resp.StatusCode != 200 || body != "hi" || resp.ContentLength != 2 || resp.Header.Get("Content-Type") != "a/b" {
		t.Errorf("%+v %q", resp, body)
	}
	req := receive(t, seen)
	if req.Method != "POST" || req.RequestURI != "/book/%41;x?sid=7f&b=%2F" || receive(t, bodies) != "hello" ||
		req.Header.Get("X-Trace-Id") != "t1" || req.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("%+v", req)
	}
	if left, err := parseTimeout(req.Header.Get("X-Expires-In")); err != nil || left <= 0 || left > 9000.5 {
		t.Errorf("X-Expires-In %q", req.Header.Get("X-Expires-In"))
	}
}

// Bad input is the client's fault and reaches no server.
func TestInvalidRequests(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	r := newHarnessWithEndpoints(t, p.addr)
	untimed := " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t\r\n"
	head := untimed + "X-Expires-In: 9000m\r\n"
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"unknown class":      {"GET /odd" + head + "X-Qos: odd\r\n\r\n", 400},
		"no class":           {"GET /look" + head + "\r\n", 400},
		"another path":       {"GET /book" + head + "X-Qos: look\r\n\r\n", 400},
		"no id":              {"GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Qos: look\r\nX-Expires-In: 9000m\r\n\r\n", 400},
		"a safe POST":        {"POST /look" + head + "X-Qos: look\r\nContent-Length: 0\r\n\r\n", 400},
		"a keyed GET":        {"GET /book" + head + "X-Qos: book\r\nIdempotency-Key: k\r\n\r\n", 400},
		"no key":             {"POST /book" + head + "X-Qos: book\r\nContent-Length: 0\r\n\r\n", 400},
		"a time without end": {"GET /look" + untimed + "X-Qos: look\r\nX-Expires-In: 9\r\n\r\n", 400},
		"a negative time":    {"GET /look" + untimed + "X-Qos: look\r\nX-Expires-In: -9m\r\n\r\n", 400},
		"no number":          {"GET /look" + untimed + "X-Qos: look\r\nX-Expires-In: NaNm\r\n\r\n", 400},
		"no time":            {"GET /look" + untimed + "X-Qos: look\r\n\r\n", 400},
		"an empty time":      {"GET /look" + untimed + "X-Qos: look\r\nX-Expires-In: \r\n\r\n", 400},
		"another notation":   {"GET /look" + untimed + "X-Qos: look\r\nX-Expires-In: 1e3m\r\n\r\n", 400},
		"two times":          {"GET /look" + head + "X-Qos: look\r\nX-Expires-In: 8000m\r\n\r\n", 400},
		"two ids":            {"GET /look" + head + "X-Qos: look\r\nX-Trace-Id: u\r\n\r\n", 400},
		"two keys":           {"POST /book" + head + "X-Qos: book\r\nIdempotency-Key: k\r\nIdempotency-Key: l\r\nContent-Length: 0\r\n\r\n", 400},
		"a GET with a body":  {"GET /look" + head + "X-Qos: look\r\nContent-Length: 2\r\n\r\nhi", 400},
		"a GET in chunks":    {"GET /look" + head + "X-Qos: look\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 400},
		"a large body":       {"POST /once" + head + "X-Qos: once\r\nContent-Length: 65537\r\n\r\n", 413},
		"a large chunked body": {"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
			strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413},
		"no HTTP": {"nonsense\r\n\r\n", 400},
	} {
		if resp, _ := r.request(c.request); resp.StatusCode != c.status {
			t.Errorf("%s: %d, want %d", name, resp.StatusCode, c.status)
		}
	}
	if n := p.requests.Load(); n != 0 {
		t.Errorf("%d requests went on", n)
	}
	if resp, _ := r.request(lookRequest("t")); resp.StatusCode != 200 {
		t.Errorf("afterwards: %d", resp.StatusCode)
	}
}

// Where two lengths disagree, the body of one request could be taken for another: neither may reach a server, in
// whatever parts they come, and the connection is of no further use.
func TestConflictingLengthsAreRejected(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	r := newHarnessWithEndpoints(t, p.addr)
	inner := onceRequest("inner")
	head := "X-Trace-Id: outer\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n"
	both := fmt.Sprintf("cOnTent-length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(inner)+5)
	for name, parts := range map[string][]string{
		"at once":        {"POST /once HTTP/1.1\r\nHost: app.svc\r\n" + head + both + inner},
		"in parts":       {"POST /once HTTP/1.1\r\nHost: app.svc\r\n" + head, both[:len(both)-7], both[len(both)-7:] + inner},
		"bare newlines":  {strings.ReplaceAll("POST /once HTTP/1.1\r\nHost: app.svc\r\n"+head, "\r", "") + both + inner},
		"an old version": {"POST /once HTTP/1.0\r\nConnection: keep-alive\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + inner},
		"pipelined":      {lookRequest("first") + "POST /once HTTP/1.1\r\nHost: app.svc\r\n" + head + both + inner},
		"kept alive":     {lookRequest("first"), "POST /once HTTP/1.1\r\nHost: app.svc\r\n" + head + both + inner},
	} {
		before := p.requests.Load()
		c, in := r.connect()
		for _, part := range parts {
			io.WriteString(c, part)
			if part == lookRequest("first") {
				r.readResponse(in)
				before++
			}
		}
		if name == "pipelined" {
			r.readResponse(in)
			before++
		}
		if resp, _ := r.readResponse(in); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: %d, close %v", name, resp.StatusCode, resp.Close)
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%s: the connection goes on: %v", name, err)
		}
		if n := p.requests.Load() - before; n != 0 {
			t.Errorf("%s: %d requests went on", name, n)
		}
	}
}

// Chunks alone are a proper length, on a new connection and on a kept one.
func TestChunkedRequest(t *testing.T) {
	bodies := make(chan string, 2)
	p := newStubServer(t, func(c net.Conn, _ *http.Request, body string) bool {
		bodies <- body
		io.WriteString(c, okResponse)
		return true
	})
	r := newHarnessWithEndpoints(t, p.addr)
	c, in := r.connect()
	for _, trace := range []string{"a", "b"} {
		io.WriteString(c, strings.Replace(onceRequest(trace), "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 1))
		if resp, _ := r.readResponse(in); resp.StatusCode != 200 || receive(t, bodies) != "hi" {
			t.Fatalf("%s: status %d", trace, resp.StatusCode)
		}
	}
}

// A second request of the same id must not start a second copy.
func TestDuplicateTraceID(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := newStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		got <- struct{}{}
		<-release
		io.WriteString(c, okResponse)
		return true
	})
	r := newHarnessWithEndpoints(t, p.addr)
	c, in := r.connect()
	io.WriteString(c, lookRequest("same"))
	receive(t, got)
	if resp, _ := r.request(lookRequest("same")); resp.StatusCode != http.StatusConflict {
		t.Errorf("status %d", resp.StatusCode)
	}
	close(release)
	if resp, _ := r.readResponse(in); resp.StatusCode != 200 || p.requests.Load() != 1 {
		t.Errorf("status %d, %d requests", resp.StatusCode, p.requests.Load())
	}
}

// A client that goes away ends its attempts, and nothing is left in the tables.
func TestClientCancel(t *testing.T) {
	got := make(chan struct{}, 1)
	p := newStubServer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	r := newHarnessWithEndpoints(t, p.addr)
	c, _ := r.connect()
	io.WriteString(c, lookRequest("t"))
	receive(t, got)
	c.Close()
	receive(t, p.ended)
	eventually(t, "the tables are empty", func() (empty bool) {
		r.runInLoop(func() { empty = len(r.loop.requests) == 0 && len(r.loop.traceIDs) == 0 })
		return empty
	})
}

// A request that waits for its connection to come up is not sent on when its client has left meanwhile, also where the
// settings allow no cancelling.
func TestClientCancelBeforeUpstreamConnects(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	dialling, up := make(chan struct{}, 1), make(chan struct{})
	r := newHarnessWithSettings(t, strings.Replace(testSettings, `"cancel": true`, `"cancel": false`, 1), closedAddress(t), cachedCatalogJSON(p.addr), func(s *Server) {
		s.loop.pool.dialer.Control = func(string, string, syscall.RawConn) error {
			dialling <- struct{}{}
			<-up
			return nil
		}
	})
	c, _ := r.connect()
	io.WriteString(c, onceRequest("t"))
	receive(t, dialling)
	c.Close()
	eventually(t, "it is noticed", func() (gone bool) {
		r.runInLoop(func() { gone = r.loop.statistics.clientsCanceled == 1 })
		return gone
	})
	close(up)
	if resp, _ := r.request(onceRequest("later")); resp.StatusCode != 200 || p.requests.Load() != 1 {
		t.Errorf("status %d, %d requests went on", resp.StatusCode, p.requests.Load())
	}
}

// A client's going away is noticed also when bytes of a further request came before.
func TestClientCancelAfterPipelinedRequest(t *testing.T) {
	for name, further := range map[string]string{"a byte": "G", "half": lookRequest("u")[:70], "a whole one": lookRequest("u")} {
		got := make(chan struct{}, 2)
		p := newStubServer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
		r := newHarnessWithEndpoints(t, p.addr)
		c, _ := r.connect()
		io.WriteString(c, lookRequest("t"))
		receive(t, got)
		io.WriteString(c, further)
		c.Close()
		receive(t, p.ended)
		r.runInLoop(func() {
			if n := r.loop.statistics.clientsCanceled; n != 1 || r.loop.statistics.requests != 1 {
				t.Errorf("%s: %d of %d clients went away", name, n, r.loop.statistics.requests)
			}
		})
	}
}

// ... also behind many of them, and when some were answered meanwhile; and what was read of them takes no memory any more.
// Whoever sends on and on without an answer passes for gone.
func TestClientCancelBehindManyPipelinedRequests(t *testing.T) {
	for _, c := range []struct {
		name           string
		answered, more int // bytes of further requests
		stays          bool
	}{
		{"sent at once", 0, 100 << 10, false}, {"some answered", 3, 100 << 10, false},
		{"few, some answered", 3, 2000, false}, {"without end", 0, 1 << 20, true},
	} {
		got, release := make(chan struct{}, 1000), make(chan struct{})
		var served atomic.Int32
		p := newStubServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			got <- struct{}{}
			<-release
			if int(served.Add(1)) <= c.answered {
				io.WriteString(conn, okResponse)
			}
			return true
		})
		r := newHarnessWithEndpoints(t, p.addr)
		conn, in := r.connect()
		io.WriteString(conn, lookRequest("t"))
		receive(t, got)
		var text strings.Builder
		for i := 0; text.Len() < c.more; i++ {
			text.WriteString(lookRequest(fmt.Sprint("u", i)))
		}
		sent := make(chan struct{})
		go func() { io.WriteString(conn, text.String()); close(sent) }()
		if !c.stays {
			receive(t, sent)
		}
		close(release)
		for range c.answered {
			receive(t, got) // the next one is out
			if !c.stays {
				r.readResponse(in)
			}
		}
		if !c.stays {
			conn.Close()
		}
		eventually(t, c.name+": its going away is noticed", func() (gone bool) {
			r.runInLoop(func() { gone = r.loop.statistics.clientsCanceled == 1 && len(r.loop.requests) == 0 })
			return gone
		})
		eventually(t, c.name+": nothing is kept", func() bool { return r.loop.listener.Load().readAheadBudget.Load() == defaultReadAhead })
		if n := int(p.requests.Load()); n != c.answered+1 {
			t.Errorf("%s: %d requests went on", c.name, n)
		}
	}
}

// Requests that came at once are answered also when the sidecar is told to end meanwhile.
func TestShutdownWithPipelinedRequests(t *testing.T) {
	const requests = 3
	got, release := make(chan struct{}, requests), make(chan struct{})
	p := newStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		got <- struct{}{}
		<-release
		io.WriteString(c, okResponse)
		return true
	})
	r := newHarnessWithEndpoints(t, p.addr)
	c, in := r.connect()
	io.WriteString(c, lookRequest("a")+lookRequest("b")+lookRequest("c"))
	receive(t, got)
	release <- struct{}{}
	receive(t, got) // the second one is out, and was never read apart from the first
	r.readResponse(in)
	r.stop()
	eventually(t, "idle connections are to end", func() bool { return r.loop.listener.Load().drainMode.Load() != 0 })
	close(release)
	if resp, body := r.readResponse(in); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("status %d, %q", resp.StatusCode, body)
	}
	r.lingered <- time.Now()
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
}

// What was read ahead is a request like any other once the one before is answered, and it may come in parts.
func TestPipelinedRequestDuringResponse(t *testing.T) {
	got, release := make(chan struct{}, 1), make(chan struct{})
	p := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "t" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, okResponse)
		return true
	})
	r := newHarnessWithEndpoints(t, p.addr)
	c, in := r.connect()
	long := strings.Replace(onceRequest("u"), "Content-Length: 0\r\n\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody), 1)
	io.WriteString(c, lookRequest("t")+long[:50])
	receive(t, got)
	io.WriteString(c, long[50:]+strings.Repeat("x", maxBody))
	close(release)
	for range 2 {
		if resp, body := r.readResponse(in); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// Whoever sends nothing, half a request or no further one is answered with an error or closed, soon enough for the
// platform, and its place is free again.
func TestIdleAndPartialClientsAreClosed(t *testing.T) {
	if headerTimeout < 2*time.Second || headerTimeout+bodyTimeout >= 3*time.Second || idleTimeout < 2*time.Second {
		t.Errorf("%v, %v and %v", headerTimeout, bodyTimeout, idleTimeout)
	}
	p := newStubServer(t, respondWith(okResponse))
	r := newHarness(t, closedAddress(t), cachedCatalogJSON(p.addr), func(s *Server) {
		s.http.ReadHeaderTimeout, s.http.IdleTimeout, s.bodyTimeout = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	})
	body := strings.Replace(onceRequest("t"), "Content-Length: 0", "Content-Length: 5", 1)
	for name, c := range map[string]struct {
		sent     string
		statuses []int
	}{
		"nothing":                     {"", nil},
		"half a head":                 {"GET /look HTTP/1.1\r\nHost", nil},
		"half a body":                 {body + "he", []int{400}},
		"half a chunked body":         {strings.Replace(onceRequest("t"), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "5\r\nhe", []int{400}},
		"half a body, a wrong class":  {strings.Replace(body, "X-Qos: once", "X-Qos: odd", 1) + "he", []int{400}},
		"half a body of two lengths":  {strings.Replace(body, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1), []int{400}},
		"nothing more":                {lookRequest("t"), []int{200}},
		"half a body, for the health": {"GET /_health HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhe", []int{200}},
	} {
		conn, in := r.connect()
		io.WriteString(conn, c.sent)
		for _, status := range c.statuses {
			if resp, _ := r.readResponse(in); resp.StatusCode != status {
				t.Errorf("%s: status %d, want %d", name, resp.StatusCode, status)
			}
		}
		if rest, err := io.ReadAll(in); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %q and %v, want an end", name, rest, err)
		}
	}
	eventually(t, "all places are free", func() bool { return len(r.loop.listener.Load().slots) == 0 })
}

// A request may take longer than its body may.
func TestSlowResponseAfterPromptBody(t *testing.T) {
	late := make(chan struct{})
	p := newStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		<-late
		io.WriteString(c, okResponse)
		return true
	})
	const bodyTime = 500 * time.Millisecond
	r := newHarness(t, closedAddress(t), cachedCatalogJSON(p.addr), func(s *Server) { s.bodyTimeout = bodyTime })
	time.AfterFunc(bodyTime+100*time.Millisecond, func() { close(late) })
	resp, _ := r.request(strings.Replace(onceRequest("t"), "Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", 1))
	if resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// At the bound a connection gets a whole 503 at once; places come free again.
func TestExcessConnectionsAreRejected(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := newLimitedListener(inner, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go server.Serve(ln)
	defer server.Close()
	r := &harness{t: t, addr: inner.Addr().String()}
	first, in := r.connect()
	io.WriteString(first, lookRequest("1"))
	r.readResponse(in)
	second, in := r.connect()
	io.WriteString(second, lookRequest("2"))
	if resp, _ := r.readResponse(in); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("%+v", resp)
	}
	first.Close()
	eventually(t, "the place is free", func() bool { return len(ln.slots) == 0 })
	if resp, _ := r.request(lookRequest("3")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// However many there are too many, none makes the next one wait.
func TestManyExcessConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := newLimitedListener(inner, 0)
	for range cap(ln.rejections) { // as if all of them were slow to go
		ln.rejections <- struct{}{}
	}
	go ln.Accept()
	defer inner.Close()
	r := &harness{t: t, addr: inner.Addr().String()}
	for range 2 {
		_, in := r.connect()
		if resp, _ := r.readResponse(in); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("%+v", resp)
		}
	}
}

// A client that is refused is told when to come back; a failure promises nothing.
func TestFinalResponses(t *testing.T) {
	for _, c := range []struct {
		a      clientResponse
		status int
		retry  string
	}{
		{clientResponse{result: balance.Rejected, retryAfter: 250}, 503, "0.250"},
		{clientResponse{result: balance.Rejected}, 503, ""},
		{clientResponse{result: balance.ServerError}, 502, ""},
	} {
		w := httptest.NewRecorder()
		writeResponse(w, c.a)
		if w.Code != c.status || w.Header().Get("Retry-After") != c.retry {
			t.Errorf("%+v: %d, Retry-After %q", c.a, w.Code, w.Header().Get("Retry-After"))
		}
	}
}

// After SIGTERM the listener stays open while connections still come, idle ones are closed meanwhile, and what
// was taken is answered before the end.
func TestGracefulShutdown(t *testing.T) {
	got, release := make(chan struct{}, 2), make(chan struct{})
	p := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "slow" {
			got <- struct{}{}
			<-release
		}
		io.WriteString(c, okResponse)
		return true
	})
	r := newHarnessWithEndpoints(t, p.addr)
	idle, idleIn := r.connect()
	io.WriteString(idle, lookRequest("before"))
	r.readResponse(idleIn)
	slow, slowIn := r.connect()
	io.WriteString(slow, lookRequest("slow"))
	receive(t, got)
	r.stop()
	if _, err := idleIn.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	if resp, _ := r.request(lookRequest("late")); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a new connection: %d, close %v", resp.StatusCode, resp.Close)
	}
	r.lingered <- time.Now()
	eventually(t, "the listener closes", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	select {
	case err := <-r.ended:
		t.Fatalf("stopped with a request unanswered: %v", err)
	default:
	}
	close(release)
	if resp, body := r.readResponse(slowIn); resp.StatusCode != 200 || body != "hi" || !resp.Close {
		t.Errorf("what was taken before: %d %q, close %v", resp.StatusCode, body, resp.Close)
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
}

// A request of which a part was read is answered when the rest comes after the listener has closed, on a new connection
// and on one kept from before: net/http's own shutdown closes both without a word. One of which nothing was read may be
// closed.
func TestShutdownWithPartialRequests(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	var clients *limitedListener
	r := newHarnessWithEndpoints(t, p.addr)
	eventually(t, "it serves", func() bool { clients = r.loop.listener.Load(); return clients != nil })
	first, second := lookRequest("t"), lookRequest("u")
	half := len(first) / 2
	kept, keptIn := r.connect()
	io.WriteString(kept, lookRequest("before"))
	r.readResponse(keptIn)
	eventually(t, "the kept connection is idle", func() bool { return len(requestHeads(clients)) == 1 && requestHeads(clients)[0] == "" })
	io.WriteString(kept, first[:half])
	fresh, freshIn := r.connect()
	io.WriteString(fresh, second[:half])
	unused, unusedIn := r.connect()
	defer unused.Close()
	eventually(t, "both halves are read", func() bool {
		read := requestHeads(clients)
		return len(read) == 3 && slices.Contains(read, first[:half]) && slices.Contains(read, second[:half])
	})
	r.stop()
	r.lingered <- time.Now()
	eventually(t, "the listener closes", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if _, err := unusedIn.ReadByte(); err != io.EOF {
		t.Errorf("a connection without a request: %v", err)
	}
	io.WriteString(kept, first[half:])
	io.WriteString(fresh, second[half:])
	for name, in := range map[string]*bufio.Reader{"kept": keptIn, "fresh": freshIn} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
	}
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
}

// What has been taken is answered before SIGKILL can come, also where its class has far more time.
func TestShutdownBeforeLongDeadline(t *testing.T) {
	got := make(chan struct{}, 1)
	p := newStubServer(t, func(net.Conn, *http.Request, string) bool { got <- struct{}{}; return true })
	if s := NewServer(newHarnessWithEndpoints(t, p.addr).loop, slog.New(slog.DiscardHandler)); s.drainTimeout != maxCountedDeadline {
		t.Errorf("%v are left of a deadline of %v", s.drainTimeout, s.longestDeadline)
	}
	r := newHarness(t, closedAddress(t), cachedCatalogJSON(p.addr), func(s *Server) { s.drainTimeout = 0 })
	c, in := r.connect()
	sent := time.Now()
	io.WriteString(c, onceRequest("t"))
	receive(t, got)
	r.stop()
	if resp, _ := r.readResponse(in); resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("%+v", resp)
	}
	if time.Since(sent) >= 8*time.Second { // of 9
		t.Error("answered only when the request's own time was over")
	}
	r.lingered <- time.Now()
	if err := receive(t, r.ended); err != nil {
		t.Error(err)
	}
}

// heads are what was read of the present request of each connection.
func requestHeads(b *limitedListener) (read []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.open {
		p.mu.Lock()
		read = append(read, string(p.head))
		p.mu.Unlock()
	}
	return read
}

// Ready only once a server is known, for a while: see TestReadyInTime.
func TestHealth(t *testing.T) {
	health := "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	r := newHarness(t, closedAddress(t), catalogJSON(1, true))
	if resp, _ := r.request(health); resp.StatusCode != 503 {
		t.Errorf("without servers: %d", resp.StatusCode)
	}
	r = newHarnessWithEndpoints(t, closedAddress(t))
	eventually(t, "healthy", func() bool { resp, _ := r.request(health); return resp.StatusCode == 200 })
}

// Descriptors: both sides and what is kept for discovery fit under the limit. Each request of the third that clients
// use has a connection to a server, and peers that send nothing find places beside them.
func TestDescriptorLimits(t *testing.T) {
	for _, sockets := range []int{256, 384, 1024} {
		l, third := Limits{Sockets: sockets}, sockets/3
		if n := l.downstreamConnections() + l.upstreamConnections() + maxConcurrentRejections; n > sockets-32 || l.upstreamConnections() < third || l.downstreamConnections() < third+16 {
			t.Errorf("of %d: %d for clients and %d for servers", sockets, l.downstreamConnections(), l.upstreamConnections())
		}
	}
}

func TestInvalidConfig(t *testing.T) {
	good := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c","settings":` + testSettings + `}`
	if _, err := ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{
		"", "[]", "{}", strings.Replace(good, `"8c"`, `"no"`, 1), strings.Replace(good, "127.0.0.1:0", "nowhere", 1),
		strings.Replace(good, "read_like", "odd", 1), strings.Replace(good, `"seed"`, `"known":{"instances":7},"seed"`, 1),
	} {
		if _, err := ParseConfig([]byte(bad)); err == nil || strings.Contains(fmt.Sprint(err), "\n") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
