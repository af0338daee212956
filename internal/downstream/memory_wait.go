package downstream

import (
	"time"

	"pebblelift/internal/clock"
	"pebblelift/internal/sidecar"
)

const (
	// maxMemoryWait is how long a message waits for memory before it is refused.
	maxMemoryWait = 500 * time.Millisecond
	// requestWaitDivisor limits how long a request waits for memory or its turn to half of the client's timeout.
	requestWaitDivisor = 2
	// minMemoryWait is the shortest wait for memory that counts.
	minMemoryWait = time.Millisecond
)

// memoryWait is how long the message that arrives has waited for memory. Its client is not read meanwhile, so that the time
// at which its bytes are read does not tell when they came.
type memoryWait struct {
	total time.Duration // of all waits
	since time.Time     // when the first wait began after which the reader found bytes without a pause; zero if there is none
}

// add takes note of a wait that has just ended.
func (w *memoryWait) add(began time.Time) {
	waited := time.Since(began)
	if waited < minMemoryWait {
		return
	}
	w.total += waited
	if w.since.IsZero() {
		w.since = began
	}
}

// arrival returns when bytes came that were read just now, for which the reader has waited for the given time. Bytes that
// follow a wait for memory without a pause may have come when it began, and the client's time runs from then on.
func (w *memoryWait) arrival(now time.Time, readWait time.Duration) time.Time {
	if readWait >= stallTimeout {
		w.since = time.Time{}
	}
	if w.since.IsZero() {
		return now
	}
	return w.since
}

// longestMemoryWait returns how much longer the message that arrives may wait for memory. The caller holds mu.
func (c *conn) longestMemoryWait() time.Duration {
	if c.pending == nil {
		return maxMemoryWait
	}
	return min(maxMemoryWait, halfTimeout(&c.pending.request)-c.memoryWait.total)
}

// longestStartWait returns how long a request may wait for memory or its turn: not beyond its client's time.
func (s *Server) longestStartWait(r *sidecar.Request) time.Duration {
	left := clock.Duration(r.ArrivedAt + r.Timeout - s.loop.Clock().Now())
	return min(maxMemoryWait, halfTimeout(r), left)
}

// halfTimeout returns the part of a client's timeout in which its request may wait before it is refused.
func halfTimeout(r *sidecar.Request) time.Duration {
	return clock.Duration(r.Timeout / requestWaitDivisor)
}
