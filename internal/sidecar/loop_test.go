package sidecar

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pebblelift/balance"
)

// startedAtMs is Unix time, so the module's clock must be; and it must not jump with the wall clock.
func TestClock(t *testing.T) {
	c := NewClock()
	if d := c.Now() - float64(time.Now().UnixMicro())/1000; d < -1000 || d > 1000 {
		t.Errorf("%v ms off Unix time", d)
	}
	at := c.start.Add(1500 * time.Millisecond)
	if d := c.At(at) - c.At(c.start); d != 1500 {
		t.Errorf("1500 ms are %v", d)
	}
	if d := c.Time(c.At(at)).Sub(at); d < -time.Microsecond || d > time.Microsecond {
		t.Errorf("there and back: %v off", d)
	}
}

// The module's order of servers must be the same at every sidecar and after every restart.
func TestEndpointIDsAreStable(t *testing.T) {
	if id := stableHash("s-5be2a07c"); id != 0xace623f1fdc27c8a {
		t.Errorf("%#x", id)
	}
}

// breaks reads a request and ends the connection: it may have run.
func closeConnection(net.Conn, *http.Request, string) bool { return false }

// What may have run is repeated only where its class permits that.
func TestPossiblyExecutedRequestIsNotRetried(t *testing.T) {
	a, b := newStubServer(t, closeConnection), newStubServer(t, closeConnection)
	r := newHarnessWithEndpoints(t, a.addr, b.addr)
	resp, _ := r.request(onceRequest("t1"))
	if n := a.requests.Load() + b.requests.Load(); resp.StatusCode != 502 || n != 1 {
		t.Errorf("unsafe: status %d after %d attempts", resp.StatusCode, n)
	}
	r = newHarnessWithEndpoints(t, a.addr, b.addr)
	resp, _ = r.request(lookRequest("t2"))
	if n := a.requests.Load() + b.requests.Load(); resp.StatusCode != 503 || n != 3 {
		t.Errorf("safe: status %d, %d attempts in all", resp.StatusCode, n)
	}
	if after := resp.Header.Get("Retry-After"); after != "0.050" {
		t.Errorf("Retry-After %q", after)
	}
}

// What never ran goes to another server, also where it must not run twice.
func TestNotExecutedRequestIsRetried(t *testing.T) {
	full := newStubServer(t, respondWith("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"))
	good := newStubServer(t, respondWith(okResponse))
	r := newHarnessWithEndpoints(t, closedAddress(t), full.addr, good.addr)
	for range 9 { // whatever the rotation begins with, a dead or a full server is followed by another try
		resp, body := r.request(onceRequest("t"))
		if resp.StatusCode == 200 && body == "hi" {
			return
		}
		if resp.StatusCode != 503 { // refused, since nothing ran
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	t.Error("never served")
}

// A server that never answers does not hold the client past its time, and its attempt is closed.
func TestHungEndpoint(t *testing.T) {
	p := newStubServer(t, neverRespond)
	r := newHarnessWithEndpoints(t, p.addr)
	resp, _ := r.request(strings.Replace(onceRequest("t"), "9000m", "50m", 1))
	if resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	receive(t, p.ended)
	r.runInLoop(func() {
		if n := len(r.loop.requests); n != 0 {
			t.Errorf("%d requests in the table", n)
		}
	})
}

// An attempt whose connection never came up has not run, also when its time ends first: the client may try again.
func TestConnectTimeoutIsNotExecuted(t *testing.T) {
	r := newHarnessWithEndpoints(t, blackholeAddress(t))
	if resp, _ := r.request(strings.Replace(onceRequest("t"), "9000m", "50m", 1)); resp.StatusCode != 503 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// cutOff is the address of a listener whose backlog is full, so that connections to it never come up.
func blackholeAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // until one does not come up
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// The time-out of an attempt comes before the module's own timer of the same moment, and is told as one.
func TestAttemptTimeoutPrecedesBalancerTimer(t *testing.T) {
	cfg, err := ParseConfig([]byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":` + testSettings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	l := NewLoop(NewClock(), &cfg, nil)
	due := l.clock.Now() + 100
	at := &attempt{}
	l.execute([]balance.Action{{Kind: balance.SetTimer, Token: 7, Delay: due - l.clock.Now()}})
	l.timers.add(timer{due: due, attempt: at})
	if l.timers[0].attempt != at {
		t.Error("the module's timer comes first")
	}
}

// Servers come from discovery; a list call that fails is told once, and the module asks again.
func TestDiscovery(t *testing.T) {
	p := newStubServer(t, respondWith(okResponse))
	calls := make(chan string, 9)
	more := make(chan string)
	disc := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		calls <- req.RequestURI
		if len(req.URL.Query()["watch"]) == 0 {
			return false
		}
		select {
		case line := <-more:
			if line == "" {
				io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+line+"\n\n")
			for line := range more {
				io.WriteString(c, line+"\n")
			}
		case <-time.After(testTimeout):
		}
		return false
	})
	r := newHarness(t, disc.addr, catalogJSON(41, true, instanceJSON("old", closedAddress(t), "up")))
	if uri := receive(t, calls); uri != "/catalog/members?after=41&watch=1" {
		t.Errorf("first call %s", uri)
	}
	more <- "" // it fails
	receive(t, calls)
	more <- catalogJSON(42, true, instanceJSON("new", p.addr, "up"))
	listed := func(names ...string) func() bool {
		return func() (ok bool) {
			r.runInLoop(func() {
				ok = len(r.loop.endpoints) == len(names)
				for _, name := range names {
					ok = ok && r.loop.endpoints[balance.EndpointID(stableHash(name))] != nil
				}
			})
			return ok
		}
	}
	eventually(t, "a whole list replaces the old one", listed("new"))
	if resp, _ := r.request(lookRequest("t1")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	more <- catalogJSON(43, false, instanceJSON("other", closedAddress(t), "draining"))
	eventually(t, "changes add to the list", listed("new", "other"))
	more <- catalogJSON(44, false, instanceJSON("new", "", "removed"))
	receive(t, p.ended) // its idle connection is of no more use
	eventually(t, "what is removed is gone", listed("other"))
	if resp, _ := r.request(strings.Replace(lookRequest("t2"), "9000m", "50m", 1)); resp.StatusCode == 200 {
		t.Error("served by a server that is gone")
	}
	close(more)
}

// Changes that are older than what is known undo nothing: the whole list is asked for, and that may count from a lower
// number, where discovery has started anew.
func TestOutdatedCatalogIsRejected(t *testing.T) {
	calls, more := make(chan string, 9), make(chan string)
	disc := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		calls <- req.URL.Query().Get("after")
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for text := range more {
			if _, err := io.WriteString(c, text+"\n"); err != nil || text == "" {
				break
			}
		}
		return false
	})
	addr := closedAddress(t)
	r := newHarness(t, disc.addr, catalogJSON(41, true, instanceJSON("s", addr, "up")))
	draining := func() (off bool) {
		r.runInLoop(func() {
			off = r.loop.endpoints[balance.EndpointID(stableHash("s"))].connections.unavailableSince.Load() != 0
		})
		return off
	}
	if after := receive(t, calls); after != "41" {
		t.Errorf("after %s", after)
	}
	more <- catalogJSON(43, false, instanceJSON("s", addr, "draining"))
	eventually(t, "it drains", draining)
	more <- catalogJSON(42, false, instanceJSON("s", addr, "up"))
	more <- "" // the end of that call, whoever ends it
	if after := receive(t, calls); after != "0" || !draining() {
		t.Errorf("after %s; draining: %v", after, draining())
	}
	more <- catalogJSON(2, true, instanceJSON("s", addr, "up"))
	eventually(t, "the whole list is taken", func() bool { return !draining() })
	close(more)
}

// An attempt that was given up counts as out until its connection is closed: the next one goes out only then, however
// long that takes.
func TestAttemptsNeverOverlap(t *testing.T) {
	var closed atomic.Bool
	first := newStubServer(t, neverRespond)
	second := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "t" && !closed.Load() {
			t.Error("sent while the first attempt was out")
		}
		io.WriteString(c, okResponse)
		return true
	})
	r := newHarnessWithEndpoints(t, first.addr, second.addr)
	to := balance.EndpointID(stableHash("s-1"))
	over := make(chan struct{})
	answers := make(chan clientResponse, 1)
	sendTo := func(trace string, earlier ...*attempt) {
		r.runInLoop(func() {
			r.loop.lastRequestID++
			req := &request{
				clientRequest: clientRequest{traceID: trace, upstreamRequest: upstreamRequest{method: "GET", target: "/look", header: [][2]string{{"X-Trace-Id", trace}}}},
				id:            r.loop.lastRequestID,
				deadline:      r.loop.clock.Now() + 9000, response: answers, attempts: earlier,
			}
			r.loop.requests[req.id] = req
			r.loop.execute([]balance.Action{{Kind: balance.StartAttempt, Request: req.id, Endpoint: to}})
		})
	}
	sendTo("t", &attempt{done: true, released: over})
	sendTo("other") // a turn of all that is not held up
	if a := receive(t, answers); a.result != balance.OK {
		t.Errorf("the other is answered with %v", a.result)
	}
	closed.Store(true)
	close(over)
	if a := receive(t, answers); a.result != balance.OK || second.requests.Load() != 2 {
		t.Errorf("answered with %v, %d sent", a.result, second.requests.Load())
	}
}

// Zones and kinds that the settings do not name are told apart, from each other and from those that they do.
func TestUnknownZoneAndMachineTypeNames(t *testing.T) {
	names := []string{"a", "b"}
	for name, want := range []struct {
		name string
		n    int
	}{{"b", 1}, {"x", 2}, {"a", 0}, {"", 3}, {"x", 2}, {"", 3}} {
		if n := indexOrAppend(&names, want.name); n != want.n {
			t.Errorf("%d: %q is %d, want %d", name, want.name, n, want.n)
		}
	}
}

// A send to a server that is not in the table, given up at once, is told as never sent and does no harm.
func TestAttemptToUnknownEndpoint(t *testing.T) {
	p := newStubServer(t, neverRespond)
	r := newHarnessWithEndpoints(t, p.addr)
	c, _ := r.connect()
	io.WriteString(c, lookRequest("t"))
	eventually(t, "the request is in", func() bool { return p.requests.Load() == 1 })
	r.runInLoop(func() {
		for id, req := range r.loop.requests {
			r.loop.execute([]balance.Action{
				{Kind: balance.StartAttempt, Request: id, Endpoint: 12345}, {Kind: balance.CancelAttempt, Request: id, Attempt: 1},
			})
			if len(req.attempts) != 2 || len(r.loop.deferred) != 2 {
				t.Errorf("%d attempts, %d outcomes", len(req.attempts), len(r.loop.deferred))
			}
		}
	})
}

// On a bad day each attempt fails; the log must not grow with them, and the counts must still tell of all.
func TestAttemptLogIsBounded(t *testing.T) {
	p := newStubServer(t, respondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"))
	r := newHarnessWithEndpoints(t, p.addr)
	var text bytes.Buffer
	r.runInLoop(func() { r.loop.log = slog.New(slog.NewTextHandler(&text, nil)) })
	c, in := r.connect()
	for i := range 2 * maxLoggedAttempts {
		io.WriteString(c, onceRequest(fmt.Sprint("t", i)))
		r.readResponse(in)
	}
	r.runInLoop(func() {
		spans := 1 + strings.Count(text.String(), "msg=status")
		if n := strings.Count(text.String(), "msg=attempt"); n == 0 || n > spans*maxLoggedAttempts {
			t.Errorf("%d lines in %d spans", n, spans)
		}
		if n := r.loop.statistics.attempts[balance.ServerError]; n != 2*maxLoggedAttempts {
			t.Errorf("%d counted", n)
		}
	})
}

// A further attempt tells its server the time that is left to the client, not that which there was at first.
func TestRetryForwardsRemainingTimeout(t *testing.T) {
	const slow = 60 * time.Millisecond
	told := make(chan float64, 2)
	var requests atomic.Int32
	answers := func(c net.Conn, req *http.Request, _ string) bool {
		left, err := parseTimeout(req.Header.Get("X-Expires-In"))
		if err != nil {
			t.Error(err)
		}
		told <- left
		if requests.Add(1) == 1 {
			time.Sleep(slow) // as a slow server, which then fails
			io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		io.WriteString(c, okResponse)
		return true
	}
	r := newHarnessWithEndpoints(t, newStubServer(t, answers).addr, newStubServer(t, answers).addr)
	if resp, _ := r.request(lookRequest("t")); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	first, second := receive(t, told), receive(t, told)
	if first > 9000 || second > first-float64(slow/time.Millisecond) || second < 1 {
		t.Errorf("told %v ms, then %v ms", first, second)
	}
}
