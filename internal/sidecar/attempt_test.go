package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
	"pebblelift/internal/stablehash"
)

// A request that may have been executed is retried only if it is idempotent.
func TestPossiblyExecutedRequestIsNotRetried(t *testing.T) {
	first := nettest.NewStubServer(t, nettest.CloseConnection)
	second := nettest.NewStubServer(t, nettest.CloseConnection)
	attempts := func() int32 { return first.Requests.Load() + second.Requests.Load() }
	h := newHarnessWithEndpoints(t, first.Addr, second.Addr)
	resp := h.do(nonIdempotentRequest("t1"))
	if n := attempts(); resp.Result != balance.ServerError || n != 1 {
		t.Errorf("non-idempotent: result %v after %d attempts, want %v after 1", resp.Result, n, balance.ServerError)
	}
	h = newHarnessWithEndpoints(t, first.Addr, second.Addr)
	resp = h.do(idempotentRequest("t2"))
	if n := attempts(); resp.Result != balance.Rejected || n != 3 {
		t.Errorf("idempotent: result %v after %d attempts in total, want %v after 3", resp.Result, n, balance.Rejected)
	}
	if resp.RetryAfter != 50 {
		t.Errorf("Retry-After %v ms, want 50", resp.RetryAfter)
	}
}

// A request that was not executed is retried at another endpoint, even if it is non-idempotent.
func TestNotExecutedRequestIsRetried(t *testing.T) {
	const rejected = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	full := nettest.NewStubServer(t, nettest.RespondWith(rejected))
	working := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, nettest.ClosedAddress(t), full.Addr, working.Addr)
	for range 9 { // whichever endpoint is tried first, a retry follows an attempt at one that is down or full
		resp := h.do(nonIdempotentRequest("t"))
		if resp.Result == balance.OK && string(resp.Upstream.Body) == "hi" {
			return
		}
		if resp.Result != balance.Rejected { // no attempt was executed
			t.Fatalf("result %v, want %v", resp.Result, balance.Rejected)
		}
	}
	t.Error("the request was never served")
}

// An attempt whose connection is never established has not been executed, even if its deadline passes before the
// connect timeout. So the request is rejected, and the client can retry the request.
func TestConnectTimeoutIsNotExecuted(t *testing.T) {
	h := newHarnessWithEndpoints(t, blackholeAddress(t))
	if resp := h.do(nonIdempotentRequest("t").withTimeout(50)); resp.Result != balance.Rejected {
		t.Errorf("result %v, want %v", resp.Result, balance.Rejected)
	}
}

// blackholeAddress returns the address of a listener whose backlog is full, so that no connection to it is established.
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
	for { // fills the backlog until a connection times out
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
}

// A canceled attempt counts as in flight until its connection is closed. The next attempt starts only then, however
// long that takes, and requests without such an attempt are not delayed.
func TestAttemptsNeverOverlap(t *testing.T) {
	var firstClosed atomic.Bool
	first := nettest.NewStubServer(t, nettest.NeverRespond)
	second := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if req.Header.Get("X-Trace-Id") == "t" && !firstClosed.Load() {
			t.Error("the second attempt started while the first was in flight")
		}
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	h := newHarnessWithEndpoints(t, first.Addr, second.Addr)
	secondID := balance.EndpointID(stablehash.String("s-1"))
	responses := make(chan Response, 1)
	startAttempt := func(traceID string, earlier ...*attempt) {
		h.runInLoop(func() {
			h.loop.dispatcher.lastRequestID++
			r := &request{
				Request:  idempotentRequest(traceID),
				id:       h.loop.dispatcher.lastRequestID,
				deadline: h.loop.clock.Now() + 9000,
				response: responses,
				attempts: earlier,
			}
			h.loop.dispatcher.requests[r.id] = r
			h.loop.dispatcher.execute([]balance.Action{{Kind: balance.StartAttempt, Request: r.id, Endpoint: secondID}})
		})
	}
	released := make(chan struct{})
	startAttempt("t", &attempt{ended: true, released: released})
	startAttempt("other")
	if resp := nettest.Receive(t, responses); resp.Result != balance.OK {
		t.Errorf("other request: result %v, want %v", resp.Result, balance.OK)
	}
	firstClosed.Store(true)
	close(released)
	if resp := nettest.Receive(t, responses); resp.Result != balance.OK || second.Requests.Load() != 2 {
		t.Errorf("result %v, %d requests at the second endpoint, want %v and 2",
			resp.Result, second.Requests.Load(), balance.OK)
	}
}

// An attempt at an endpoint that is not in the endpoint table ends with the result not_sent. If the balancer cancels
// the attempt at once, both results are postponed, and only the first one counts.
func TestAttemptToUnknownEndpoint(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.NeverRespond)
	h := newHarnessWithEndpoints(t, stub.Addr)
	in := idempotentRequest("t")
	in.ArrivedAt = h.loop.clock.Now()
	go h.loop.Do(t.Context(), in)
	nettest.Eventually(t, "the request is in flight", func() bool { return stub.Requests.Load() == 1 })
	h.runInLoop(func() {
		for id, r := range h.loop.dispatcher.requests {
			h.loop.dispatcher.execute([]balance.Action{
				{Kind: balance.StartAttempt, Request: id, Endpoint: 12345},
				{Kind: balance.CancelAttempt, Request: id, Attempt: 1},
			})
			if len(r.attempts) != 2 || len(h.loop.dispatcher.postponed) != 2 {
				t.Errorf("%d attempts and %d postponed results, want 2 and 2", len(r.attempts), len(h.loop.dispatcher.postponed))
			}
		}
	})
}

// A retry forwards the time that is left of the client's timeout, not the original timeout.
func TestRetryForwardsRemainingTimeout(t *testing.T) {
	const failureDelay = 60 * time.Millisecond
	timeouts := make(chan float64, 2)
	var requests atomic.Int32
	failFirst := func(c net.Conn, req *http.Request, _ string) bool {
		timeout, err := headers.ParseTimeout(req.Header.Get(headers.Timeout))
		if err != nil {
			t.Error(err)
		}
		timeouts <- timeout
		if requests.Add(1) == 1 {
			time.Sleep(failureDelay) // the endpoint is slow and then fails
			io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		io.WriteString(c, nettest.OKResponse)
		return true
	}
	h := newHarnessWithEndpoints(t, nettest.NewStubServer(t, failFirst).Addr, nettest.NewStubServer(t, failFirst).Addr)
	if resp := h.do(idempotentRequest("t")); resp.Result != balance.OK {
		t.Errorf("result %v, want %v", resp.Result, balance.OK)
	}
	first, second := nettest.Receive(t, timeouts), nettest.Receive(t, timeouts)
	if first > 9000 || second > first-float64(failureDelay/time.Millisecond) || second < 1 {
		t.Errorf("forwarded timeouts %v and %v ms, want the second at least %v shorter", first, second, failureDelay)
	}
}
