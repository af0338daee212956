package downstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
	"pebblelift/internal/upstream"
)

// A client's disconnect is noticed even if the client has already sent bytes of a further request.
func TestClientCancelAfterPipelinedRequest(t *testing.T) {
	for name, extraData := range map[string]string{
		"one byte":        "G",
		"partial request": idempotentRequest("u")[:70],
		"whole request":   idempotentRequest("u"),
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{}, 2)
			stub := nettest.NewStubServer(t, func(net.Conn, *http.Request, string) bool {
				received <- struct{}{}
				return true
			})
			h := newHarnessWithEndpoints(t, stub.Addr)
			c, _ := h.connect()
			io.WriteString(c, idempotentRequest("t"))
			nettest.Receive(t, received)
			io.WriteString(c, extraData)
			c.Close()
			nettest.Receive(t, stub.Disconnects)
			if stats := h.stats(); stats.ClientsCanceled != 1 || stats.Requests != 1 {
				t.Errorf("%d requests, of which %d were canceled, want 1 and 1", stats.Requests, stats.ClientsCanceled)
			}
		})
	}
}

// A client's disconnect is noticed behind many pipelined requests, even if some were answered before, and the memory
// of what was read ahead is released. A client that keeps sending without waiting for responses counts as
// disconnected.
func TestClientCancelBehindManyPipelinedRequests(t *testing.T) {
	for _, test := range []struct {
		name           string
		responses      int  // before the disconnect
		pipelined      int  // bytes of further requests
		staysConnected bool // the client keeps its connection open
	}{
		{"many requests, no responses", 0, 100 << 10, false},
		{"many requests, some responses", 3, 100 << 10, false},
		{"few requests, some responses", 3, 2000, false},
		{"more requests than are read ahead", 0, 1 << 20, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			received, release := make(chan struct{}, 1000), make(chan struct{})
			var handled atomic.Int32
			stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
				received <- struct{}{}
				<-release
				if int(handled.Add(1)) <= test.responses {
					io.WriteString(c, nettest.OKResponse)
				}
				return true
			})
			h := newHarnessWithEndpoints(t, stub.Addr)
			c, reader := h.connect()
			io.WriteString(c, idempotentRequest("t"))
			nettest.Receive(t, received)
			var pipelined strings.Builder
			for i := 0; pipelined.Len() < test.pipelined; i++ {
				pipelined.WriteString(idempotentRequest(fmt.Sprint("u", i)))
			}
			written := make(chan struct{})
			go func() {
				io.WriteString(c, pipelined.String())
				close(written)
			}()
			if !test.staysConnected {
				nettest.Receive(t, written)
			}
			close(release)
			for range test.responses {
				nettest.Receive(t, received) // the next request is in flight
				if !test.staysConnected {
					h.readResponse(reader)
				}
			}
			if !test.staysConnected {
				c.Close()
			}
			nettest.Eventually(t, "the disconnect is noticed", func() bool {
				stats := h.stats()
				return stats.ClientsCanceled == 1 && stats.OpenRequests == 0
			})
			nettest.Eventually(t, "the memory is released", func() bool {
				return h.server.memory.Usage().Used == [budget.PartCount]int64{}
			})
			if n := int(stub.Requests.Load()); n != test.responses+1 {
				t.Errorf("%d requests were forwarded, want %d", n, test.responses+1)
			}
		})
	}
}

// A request that was read ahead, even if only in part, is served once the one before it is answered.
func TestPipelinedRequestDuringResponse(t *testing.T) {
	stub := newHoldingStub(t, "t")
	h := newHarnessWithEndpoints(t, stub.Addr)
	c, reader := h.connect()
	head := strings.Replace(nonIdempotentRequest("u"), "Content-Length: 0\r\n\r\n",
		fmt.Sprintf("Content-Length: %d\r\n\r\n", upstream.MaxBodySize), 1)
	io.WriteString(c, idempotentRequest("t")+head[:50])
	nettest.Receive(t, stub.received)
	io.WriteString(c, head[50:]+strings.Repeat("x", upstream.MaxBodySize))
	close(stub.release)
	for range 2 {
		if resp, body := h.readResponse(reader); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("status %d, body %q, want 200 and hi", resp.StatusCode, body)
		}
	}
}

// Guards against an endpoint that is told to work for longer than the client waits, because the timeout of a request that
// was sent ahead counted from when its turn came.
func TestTimeoutOfRequestSentAheadCountsFromItsArrival(t *testing.T) {
	const held = 400 * time.Millisecond
	told := make(chan string, 2)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		told <- req.Header.Get(headers.Timeout)
		if req.Header.Get(headers.TraceID) == "first" {
			time.Sleep(held) // the time that passes is what the test is about
		}
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	h := newHarnessWithEndpoints(t, stub.Addr)
	c, reader := h.connect()
	io.WriteString(c, idempotentRequest("first")+idempotentRequest("second"))
	for range 2 {
		h.readResponse(reader)
	}
	nettest.Receive(t, told)
	timeout, err := headers.ParseTimeout(nettest.Receive(t, told))
	if most := 9000.0 - float64(held.Milliseconds()); err != nil || timeout > most {
		t.Errorf("the endpoint was told %v ms, error %v, want at most %v ms", timeout, err, most)
	}
}

// Guards against a proper client that loses its request because others have filled the memory with what they sent ahead
// of their responses, and against a timeout of a message whose start was read long before its turn.
func TestGreedyClientsGiveWayWhenMemoryIsShort(t *testing.T) {
	stub := newHoldingStub(t, "")
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.memory = budget.NewMemory(240 << 10) // of which 96 KiB are for large messages that have not arrived whole
		s.timeouts.head = 300 * time.Millisecond
	})
	proper, reader := h.connect()
	next := idempotentRequest("next")
	io.WriteString(proper, idempotentRequest("proper")+next[:40])
	nettest.Receive(t, stub.received)
	var greedy []net.Conn
	for i := range 3 {
		c, _ := h.connect()
		io.WriteString(c, idempotentRequest(fmt.Sprint("greedy", i)))
		nettest.Receive(t, stub.received)
		io.WriteString(c, strings.Repeat("x", 40<<10))
		greedy = append(greedy, c)
	}
	nettest.Eventually(t, "all but one of the greedy clients are disconnected", func() bool {
		return h.stats().ClientsCanceled == len(greedy)-1
	})
	time.Sleep(h.server.timeouts.head) // the time that passes is what the test is about
	close(stub.release)
	if resp, body := h.readResponse(reader); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("status %d, body %q, want 200 and hi", resp.StatusCode, body)
	}
	io.WriteString(proper, next[40:])
	if resp, body := h.readResponse(reader); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("request whose start was read ahead: status %d, body %q, want 200 and hi", resp.StatusCode, body)
	}
}

// Guards against clients that make each other give way for the same memory, so that more of them are disconnected than it
// takes: one that was disconnected itself while it waited for its turn needs no memory any more.
func TestDisconnectedClientMakesNobodyGiveWay(t *testing.T) {
	const capacity = 240 << 10
	stub := newHoldingStub(t, "")
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.memory = budget.NewMemory(capacity)
	})
	defer close(stub.release)
	greedy, _ := h.connect()
	io.WriteString(greedy, idempotentRequest("greedy"))
	nettest.Receive(t, stub.received)
	io.WriteString(greedy, strings.Repeat("x", fairReadAhead+1))
	nettest.Eventually(t, "the greedy client has sent much ahead", func() bool {
		return h.server.memory.Usage().Used[budget.LargeUnfinished] > fairReadAhead
	})
	gone := newConn(h.server, greedy)
	gone.cancel()
	if h.server.reserve(gone, budget.LargeUnfinished, capacity) {
		t.Error("memory reserved for a client that has gone")
	}
	if h.server.table.size() != 1 {
		t.Error("a client was disconnected for one that has gone")
	}
}
