package downstream

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// A client that sends nothing, only a part of a request, or no further request gets an error or a close. The timeouts
// are short enough for the platform, and the connection's slot is free again.
func TestIdleAndPartialClientsAreClosed(t *testing.T) {
	limits := defaultTimeouts
	if limits.head < 2*time.Second || limits.head+limits.body >= 3*time.Second || limits.idle < 2*time.Second {
		t.Errorf("timeouts %+v", limits)
	}
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.timeouts.head = 50 * time.Millisecond
		s.timeouts.idle = 50 * time.Millisecond
		s.timeouts.body = 50 * time.Millisecond
	})
	noBody := nonIdempotentRequest("t")
	head := strings.Replace(noBody, "Content-Length: 0", "Content-Length: 5", 1)
	chunkedHead := strings.Replace(noBody, "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	for name, test := range map[string]struct {
		request  string
		statuses []int
	}{
		"nothing":              {"", nil},
		"partial head":         {"GET /look HTTP/1.1\r\nHost", nil},
		"partial body":         {head + "he", []int{400}},
		"partial chunked body": {chunkedHead + "5\r\nhe", []int{400}},
		"partial body of an unknown class": {
			strings.Replace(head, "X-Qos: once", "X-Qos: odd", 1) + "he", []int{400},
		},
		"no body, conflicting lengths": {
			strings.Replace(head, "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1), []int{400},
		},
		"no further request": {idempotentRequest("t"), []int{200}},
		"health check with a partial body": {
			"GET /_health HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhe", []int{200},
		},
	} {
		c, reader := h.connect()
		io.WriteString(c, test.request)
		for _, status := range test.statuses {
			if resp, _ := h.readResponse(reader); resp.StatusCode != status {
				t.Errorf("%s: status %d, want %d", name, resp.StatusCode, status)
			}
		}
		if rest, err := io.ReadAll(reader); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: read %q and error %v, want the end of the connection", name, rest, err)
		}
	}
	nettest.Eventually(t, "all slots are free", func() bool { return h.server.table.size() == 0 })
}

// Pipelined requests that arrived together are all answered, even if the shutdown begins before the last response.
func TestShutdownWithPipelinedRequests(t *testing.T) {
	stub := newHoldingStub(t, "")
	h := newHarnessWithEndpoints(t, stub.Addr)
	c, reader := h.connect()
	io.WriteString(c, idempotentRequest("a")+idempotentRequest("b")+idempotentRequest("c"))
	nettest.Receive(t, stub.received)
	stub.release <- struct{}{}
	nettest.Receive(t, stub.received) // the second request is in flight; it was read together with the first
	h.readResponse(reader)
	h.shutDown()
	nettest.Eventually(t, "idle connections are draining", func() bool {
		return h.server.drainMode.Load() != 0
	})
	close(stub.release)
	if resp, body := h.readResponse(reader); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("status %d, body %q, want 200 and hi", resp.StatusCode, body)
	}
	h.acceptPeriodOver <- time.Now()
	if err := nettest.Receive(t, h.serveResult); err != nil {
		t.Error(err)
	}
}

// After SIGTERM idle connections are closed while the listener still accepts new ones for a while. Requests that were
// accepted are answered before Serve returns.
func TestGracefulShutdown(t *testing.T) {
	stub := newHoldingStub(t, "slow")
	h := newHarnessWithEndpoints(t, stub.Addr)
	idle, idleReader := h.connect()
	io.WriteString(idle, idempotentRequest("before"))
	h.readResponse(idleReader)
	slow, slowReader := h.connect()
	io.WriteString(slow, idempotentRequest("slow"))
	nettest.Receive(t, stub.received)
	h.shutDown()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("error %v on an idle connection, want %v", err, io.EOF)
	}
	if resp, _ := h.request(idempotentRequest("late")); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close %v on a new connection, want 200 and close", resp.StatusCode, resp.Close)
	}
	h.acceptPeriodOver <- time.Now()
	h.waitUntilListenerCloses()
	select {
	case err := <-h.serveResult:
		t.Fatalf("Serve returned %v while a request was in flight", err)
	default:
	}
	close(stub.release)
	if resp, body := h.readResponse(slowReader); resp.StatusCode != 200 || body != "hi" || !resp.Close {
		t.Errorf("request in flight: status %d, body %q, close %v, want 200, hi and close",
			resp.StatusCode, body, resp.Close)
	}
	if err := nettest.Receive(t, h.serveResult); err != nil {
		t.Error(err)
	}
}

// A request of which a part was read is answered even if the rest arrives after the listener has closed, on a new
// connection as well as on a reused one. A connection on which nothing was read may be closed.
func TestShutdownWithPartialRequests(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	reusedRequest, newRequest := idempotentRequest("t"), idempotentRequest("u")
	half := len(reusedRequest) / 2
	reusedConn, reusedReader := h.connect()
	io.WriteString(reusedConn, idempotentRequest("before"))
	h.readResponse(reusedReader)
	nettest.Eventually(t, "the reused connection is idle", func() bool {
		heads := recordedHeads(h.server.table)
		return len(heads) == 1 && heads[0] == ""
	})
	io.WriteString(reusedConn, reusedRequest[:half])
	newConn, newReader := h.connect()
	io.WriteString(newConn, newRequest[:half])
	unusedConn, unusedReader := h.connect()
	defer unusedConn.Close()
	nettest.Eventually(t, "both partial requests are read", func() bool {
		heads := recordedHeads(h.server.table)
		return len(heads) == 3 && slices.Contains(heads, reusedRequest[:half]) &&
			slices.Contains(heads, newRequest[:half])
	})
	h.shutDown()
	h.acceptPeriodOver <- time.Now()
	h.waitUntilListenerCloses()
	if _, err := unusedReader.ReadByte(); err != io.EOF {
		t.Errorf("error %v on a connection without a request, want %v", err, io.EOF)
	}
	io.WriteString(reusedConn, reusedRequest[half:])
	io.WriteString(newConn, newRequest[half:])
	for name, reader := range map[string]*bufio.Reader{"reused": reusedReader, "new": newReader} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("%s connection: response %+v, error %v, want 200 and close", name, resp, err)
		}
	}
	if err := nettest.Receive(t, h.serveResult); err != nil {
		t.Error(err)
	}
}

// A request that was accepted is answered before SIGKILL can come, even if the deadline of its class is far longer.
func TestShutdownBeforeLongDeadline(t *testing.T) {
	received := make(chan struct{}, 1)
	stub := nettest.NewStubServer(t, func(net.Conn, *http.Request, string) bool {
		received <- struct{}{}
		return true
	})
	server := NewServer(newHarnessWithEndpoints(t, stub.Addr).loop, slog.New(slog.DiscardHandler))
	if server.drainTimeout != maxDrainTimeout {
		t.Errorf("drain timeout %v for a longest deadline of %v, want %v",
			server.drainTimeout, server.longestDeadline, maxDrainTimeout)
	}
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.drainTimeout = 0
	})
	c, reader := h.connect()
	sentAt := time.Now()
	io.WriteString(c, nonIdempotentRequest("t"))
	nettest.Receive(t, received)
	h.shutDown()
	if resp, _ := h.readResponse(reader); resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("status %d, close %v, want %d and close", resp.StatusCode, resp.Close, http.StatusBadGateway)
	}
	if elapsed := time.Since(sentAt); elapsed >= 8*time.Second { // the request's own timeout is 9 s
		t.Errorf("answered only after %v, at the request's own deadline", elapsed)
	}
	h.acceptPeriodOver <- time.Now()
	if err := nettest.Receive(t, h.serveResult); err != nil {
		t.Error(err)
	}
}
