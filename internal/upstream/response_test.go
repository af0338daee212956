package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/budget"
	"pebblelift/internal/clock"
	"pebblelift/internal/nettest"
)

// An attempt is served only by a complete response with status 200. Only a 503 or 504 that the endpoint marks as not
// executed proves that a retry of a non-idempotent request is safe.
func TestAttemptResults(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     balance.Result
		reused   bool // the connection is used for the next request
	}{
		"200": {nettest.OKResponse, balance.OK, true},
		"200 in chunks": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balance.OK, true,
		},
		"200 in chunks with a trailer": {
			"HTTP/1.1 200 OK\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-T: " +
				strings.Repeat("x", 1000) + "\r\n\r\n", balance.OK, true,
		},
		"200 with a long head": {
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-L: " + strings.Repeat("x", 10000) + "\r\n\r\nhi", balance.OK, true,
		},
		"200 after 100": {"HTTP/1.1 100 Continue\r\n\r\n" + nettest.OKResponse, balance.OK, true},
		"200 with Connection: close": {
			"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi", balance.OK, false,
		},
		"200 with trailing bytes": {nettest.OKResponse + "HTTP", balance.OK, false},
		"500":                     {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balance.ServerError, true},
		"503 marked as not executed": {
			"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true,
		},
		"504 marked as not executed": {
			"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true,
		},
		"503 without the mark": {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balance.ServerError, true},
		"500 marked as not executed": {
			"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.ServerError, true,
		},
		"malformed response": {"\x16\x03\x01nonsense\r\n\r\n", balance.Reset, false},
		"oversized body": {
			"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
			balance.ServerError, false,
		},
		"truncated body":               {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", balance.Reset, false},
		"unknown length":               {"HTTP/1.1 200 OK\r\n\r\nhi", balance.Reset, false},
		"unknown length, then a reset": {"HTTP/1.1 200 OK\r\n\r\nhi", balance.Reset, false},
		"no response":                  {"", balance.Reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			closes := name == "truncated body" || name == "unknown length" || name == "no response"
			stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, test.response)
				if name == "unknown length, then a reset" { // a reset does not mark the end of a response
					c.(*net.TCPConn).SetLinger(0)
					return false
				}
				return !closes
			})
			pool := newTestPool(t, 9)
			endpoint := &Endpoint{addr: stub.Addr}
			r := pool.Do(context.Background(), pool.newAttempt(endpoint))
			if r.Result != test.want {
				t.Fatalf("result %v (%v), want %v", r.Result, r.Err, test.want)
			}
			if r.Result == balance.OK && string(r.Body) != "hi" {
				t.Errorf("body %q, want %q", r.Body, "hi")
			}
			if test.reused {
				pool.Do(context.Background(), pool.newAttempt(endpoint))
				if n := stub.Conns.Load(); n != 1 {
					t.Errorf("%d connections for two requests, want 1", n)
				}
			} else {
				nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
			}
		})
	}
}

// A response that never ends must not fill the memory: the attempt fails, whichever part of the response is endless.
func TestUnboundedResponses(t *testing.T) {
	long := strings.Repeat("x", 1000)
	longField := "X-More: " + long + "\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ begin, repeated string }{
		"headers":                 {"HTTP/1.1 200 OK\r\n", longField},
		"header line":             {"HTTP/1.1 200 OK\r\nX-More: ", long},
		"chunk extension":         {chunked + "2;", long},
		"many short headers":      {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"trailers":                {chunked + "2\r\nhi\r\n0\r\n", longField},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, test.begin)
				for {
					if _, err := io.WriteString(c, test.repeated); err != nil {
						return false
					}
				}
			})
			pool := newTestPool(t, 9)
			ctx, cancel := context.WithTimeout(context.Background(), nettest.Timeout)
			r := pool.Do(ctx, pool.newAttempt(&Endpoint{addr: stub.Addr}))
			if r.Result != balance.Reset {
				t.Errorf("result %v (%v), want %v", r.Result, r.Err, balance.Reset)
			}
			cancel()
			nettest.Eventually(t, "no connection is open", func() bool { return pool.openConnections() == 0 })
		})
	}
}

// Guards against a process over its memory limit because an endpoint sends responses with very many short header fields,
// which take far more memory once they are parsed than on the wire.
func TestResponsesWithManyHeaderFieldsAreNotParsed(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("a:\r\n", maxHeadFields) + "\r\nhi"
	stub := nettest.NewStubServer(t, nettest.RespondWith(response))
	pool := newTestPool(t, 9)
	r := pool.Do(context.Background(), pool.newAttempt(&Endpoint{addr: stub.Addr}))
	if r.Result != balance.Reset || !errors.Is(r.Err, ErrOversized) {
		t.Errorf("result %v, error %v, want %v and %v", r.Result, r.Err, balance.Reset, ErrOversized)
	}
}

// Guards against responses that take more memory than the budget has, and against memory that is not released when a
// response is no longer wanted. A response without room is read once others are released.
func TestResponsesWaitForMemory(t *testing.T) {
	const size = 1000
	stub := nettest.NewStubServer(t, nettest.RespondWith(
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))))
	memory := budget.NewMemory(size)
	pool := NewPool(Options{Clock: clock.New(), Memory: memory, MaxConnections: 9, DrainGrace: 250})
	endpoint := &Endpoint{addr: stub.Addr}
	first := pool.Do(t.Context(), pool.newAttempt(endpoint))
	responses := make(chan Response, 2)
	canceled, cancel := context.WithCancel(t.Context())
	go func() { responses <- pool.Do(canceled, pool.newAttempt(endpoint)) }()
	nettest.Eventually(t, "a response waits", func() bool { return memory.Usage().Refused[budget.Responses] > 0 })
	cancel()
	if r := nettest.Receive(t, responses); r.Result != balance.Canceled {
		t.Errorf("canceled attempt: result %v, want %v", r.Result, balance.Canceled)
	}
	refused := memory.Usage().Refused[budget.Responses]
	go func() { responses <- pool.Do(t.Context(), pool.newAttempt(endpoint)) }()
	nettest.Eventually(t, "a response waits", func() bool { return memory.Usage().Refused[budget.Responses] > refused })
	first.Release()
	r := nettest.Receive(t, responses)
	if r.Result != balance.OK || len(r.Body) != size {
		t.Errorf("result %v (%v), %d bytes, want %v and %d", r.Result, r.Err, len(r.Body), balance.OK, size)
	}
	r.Release()
	nettest.Eventually(t, "all memory is released", func() bool {
		return memory.Usage().Used == [budget.PartCount]int64{}
	})
}
