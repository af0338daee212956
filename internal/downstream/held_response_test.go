package downstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/nettest"
	"pebblelift/internal/upstream"
)

// newHoldingHarness runs a sidecar with room for a number of connections. It holds every response to a message that is
// not served for as long as it may.
func newHoldingHarness(t *testing.T, connections int) *harness {
	t.Helper()
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	return newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.table = newConnTable(connections)
		s.rejectionRate = budget.TokenBucket{Interval: time.Hour}
		s.memory = budget.NewMemory(240 << 10) // of which 96 KiB are for large messages that have not arrived whole
	})
}

// largeRequest returns the head and the body of a request with the largest body, whose client waits for the given time.
func largeRequest(traceID string, timeout time.Duration) (head, body string) {
	head = strings.NewReplacer(
		"Content-Length: 0", fmt.Sprintf("Content-Length: %d", upstream.MaxBodySize),
		"X-Expires-In: 9000m", fmt.Sprintf("X-Expires-In: %dm", timeout.Milliseconds()),
	).Replace(nonIdempotentRequest(traceID))
	return head, strings.Repeat("x", upstream.MaxBodySize)
}

// evictStalled sends a part of a large request, and returns once the request has given up its memory and its response
// waits.
func (h *harness) evictStalled(c net.Conn, traceID string, timeout time.Duration) (rest string) {
	h.t.Helper()
	const sent = 10 << 10
	head, body := largeRequest(traceID, timeout)
	io.WriteString(c, head+body[:sent])
	nettest.Eventually(h.t, "the request gives up its memory", h.server.table.evictStalled)
	nettest.Eventually(h.t, "its response waits", func() bool {
		h.server.held.mu.Lock()
		defer h.server.held.mu.Unlock()
		return len(h.server.held.waiting) == 1
	})
	return body[sent:]
}

// Guards against a request that waits for memory and whose connection is reset without an answer, because others connect.
func TestRequestWithoutMemoryIsAnsweredWhileOthersConnect(t *testing.T) {
	h := newHoldingHarness(t, 1)
	c, reader := h.connect()
	io.WriteString(c, idempotentRequest("first"))
	h.readResponse(reader)
	defer h.fillLargeMessages()()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if other, err := net.Dial("tcp", h.addr); err == nil {
				io.Copy(io.Discard, io.LimitReader(other, 1))
				other.Close()
			}
		}
	}()
	head, body := largeRequest("second", 9*time.Second)
	go io.WriteString(c, head+body)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %+v, error %v; want status 503", resp, err)
	}
	c.Close()
	close(stop)
	nettest.Receive(t, stopped)
	nettest.Eventually(t, "all slots are free", func() bool { return h.server.table.size() == 0 && len(h.server.rejections) == 0 })
}

// Guards against a slot that is never free again, because its connection ended just before it gave the slot up.
func TestClosedConnectionGivesUpItsSlotOnce(t *testing.T) {
	table, closed := newConnTable(1), 0
	first, second := &conn{}, &conn{}
	table.add(first)
	table.giveUpSlot(first, func() { closed++ })
	if !table.add(second) {
		t.Error("no slot beside a connection that has given its own up")
	}
	table.remove(first)
	table.remove(second)
	table.giveUpSlot(second, func() { closed++ })
	if closed != 2 || !table.add(first) || table.add(second) {
		t.Errorf("closed %d times, want 2, and one slot", closed)
	}
}

// Guards against a connection that gives up its slot to another one without the answer that it waits with.
func TestStalledRequestIsAnsweredBeforeItsSlotIsTaken(t *testing.T) {
	h := newHoldingHarness(t, 1)
	c, reader := h.connect()
	rest := h.evictStalled(c, "stalled", 9*time.Second)
	if !h.server.cutHeld() || h.server.table.size() != 0 {
		t.Fatalf("%d connections open, want the slot of the stalled one", h.server.table.size())
	}
	io.WriteString(c, rest) // as a client may that has not read the answer yet
	if resp, _ := h.readResponse(reader); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, close %v, want 503 and close", resp.StatusCode, resp.Close)
	}
}

// Guards against a request that comes in pieces and whose connection is reset between them and the answer.
func TestRequestThatGoesOnIsAnsweredWhenItsSlotIsNeeded(t *testing.T) {
	h := newHoldingHarness(t, 1)
	c, reader := h.connect()
	rest := h.evictStalled(c, "pieces", 9*time.Second)
	io.WriteString(c, rest)
	for h.server.cutHeld() { // other clients that need the slot in the same moment
		t.Log("the connection was still held")
	}
	nettest.Eventually(t, "the response is written before its time", h.server.hastenHeld)
	if resp, _ := h.readResponse(reader); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, close %v, want 503 and close", resp.StatusCode, resp.Close)
	}
	nettest.Eventually(t, "the connection is closed", func() bool { return h.server.table.size() == 0 && len(h.server.rejections) == 0 })
}

// Guards against a request that comes in pieces and is refused after its time, because the refusal waits for others.
func TestRequestThatGoesOnIsAnsweredInItsTime(t *testing.T) {
	const timeout = 400 * time.Millisecond
	h := newHoldingHarness(t, 1)
	c, reader := h.connect()
	sentAt := time.Now()
	rest := h.evictStalled(c, "pieces", timeout)
	io.WriteString(c, rest)
	if resp, _ := h.readResponse(reader); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
	if took := time.Since(sentAt); took >= timeout {
		t.Errorf("answered after %v, want it within %v", took, timeout)
	}
}
