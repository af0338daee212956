package downstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
)

// fillLargeMessages takes the memory for large messages of newHoldingHarness, and returns a function that releases it.
func (h *harness) fillLargeMessages() (release func()) {
	const bytes = 90 << 10
	h.server.memory.Take(budget.LargeUnfinished, bytes)
	return func() { h.server.memory.Release(budget.LargeUnfinished, bytes) }
}

// waitUntilMessageWaits waits until a large message waits for memory.
func (h *harness) waitUntilMessageWaits() {
	h.t.Helper()
	nettest.Eventually(h.t, "a message waits for memory", func() bool {
		return h.server.memory.Waiting(budget.LargeUnfinished) == 1
	})
}

// Guards against a refusal after the client's time, because a message waits for memory and then with its response as long
// as one whose client has all time.
func TestRequestWithoutMemoryIsRefusedInItsTime(t *testing.T) {
	const timeout = 400 * time.Millisecond
	h := newHoldingHarness(t, 9)
	defer h.fillLargeMessages()()
	c, reader := h.connect()
	head, body := largeRequest("short", timeout)
	sentAt := time.Now()
	go io.WriteString(c, head+body)
	if resp, _ := h.readResponse(reader); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", resp.StatusCode)
	}
	if took := time.Since(sentAt); took >= timeout {
		t.Errorf("refused after %v, want it within the client's %v", took, timeout)
	}
}

// Guards against an endpoint that is told to work for longer than the client waits, because the time that a request lay
// unread while it waited for memory did not count.
func TestTimeoutCountsTheWaitForMemory(t *testing.T) {
	const held, timeout, slack = 300 * time.Millisecond, 9 * time.Second, 150 * time.Millisecond
	told := make(chan string, 1)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		told <- req.Header.Get(headers.Timeout)
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.memory = budget.NewMemory(240 << 10)
	})
	release := h.fillLargeMessages()
	c, reader := h.connect()
	head, body := largeRequest("waits", timeout)
	sentAt := time.Now()
	go io.WriteString(c, head+body)
	h.waitUntilMessageWaits()
	time.Sleep(held) // the time that passes is what the test is about
	left := timeout - time.Since(sentAt)
	release()
	if resp, _ := h.readResponse(reader); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
	toldTimeout, err := headers.ParseTimeout(nettest.Receive(t, told))
	if most := float64((left + slack).Milliseconds()); err != nil || toldTimeout > most {
		t.Errorf("the endpoint was told %v ms, error %v, want at most %v ms", toldTimeout, err, most)
	}
}

// Guards against a client that loses a part of its time because the wait for memory counts although it sent the rest of its
// request later.
func TestTimeoutOfRequestInPiecesCountsFromItsLastByte(t *testing.T) {
	var wait memoryWait
	now := time.Now()
	wait.add(now.Add(-200 * time.Millisecond))
	if got := wait.arrival(now, time.Millisecond); now.Sub(got) < 200*time.Millisecond {
		t.Errorf("bytes without a pause came %v ago, want the start of the wait", now.Sub(got))
	}
	if got := wait.arrival(now, stallTimeout); got != now {
		t.Errorf("bytes after a pause came %v ago, want now", now.Sub(got))
	}
	if got := wait.arrival(now, 0); got != now || wait.total < 200*time.Millisecond {
		t.Errorf("bytes after these came %v ago, waited for %v; want now and 200 ms", now.Sub(got), wait.total)
	}
}
