package downstream

import (
	"context"
	"time"

	"pebblelift/internal/budget"
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
	// reclaimInterval is the time between two searches for clients that give way to those who wait for memory.
	reclaimInterval = 10 * time.Millisecond
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

// reserve reserves memory for a connection. If there is no room, clients that send nothing more of their messages give way,
// and then those that have sent the most ahead of a response. One connection at a time makes others give way, so that two
// do not do so to each other where one would be enough. It reports whether the memory is reserved.
func (s *Server) reserve(c *conn, part budget.Part, bytes int64) bool {
	if s.memory.TryReserve(part, bytes) {
		return true
	}
	s.evicting.Lock()
	defer s.evicting.Unlock()
	for c.ctx.Err() == nil {
		if s.memory.TryReserve(part, bytes) {
			return true
		}
		if !s.table.evictStalled() && !s.table.evictReadAhead() {
			return false
		}
		s.stats.evicted.Add(1)
	}
	return false
}

// awaitMemory reserves memory for a connection, and waits for it while only sound messages hold it. A connection on which a
// request was served before goes first. It returns an error if there is none within the given time or the connection ends.
func (s *Server) awaitMemory(c *conn, part budget.Part, bytes int64, longest time.Duration) error {
	if s.memory.Waiting(part) == 0 && s.reserve(c, part, bytes) {
		return nil
	}
	s.stats.memoryWaits.Add(1)
	ctx, cancel := context.WithTimeout(c.ctx, longest)
	defer cancel()
	reclaim := time.AfterFunc(reclaimInterval, s.reclaim)
	defer reclaim.Stop()
	if c.proven.Load() {
		return s.memory.ReserveUrgently(ctx, part, bytes)
	}
	return s.memory.Reserve(ctx, part, bytes)
}

// reclaim lets clients that send nothing more of their messages give way to those who wait for memory, until nobody does.
func (s *Server) reclaim() {
	if !s.reclaiming.CompareAndSwap(false, true) {
		return
	}
	defer s.reclaiming.Store(false)
	for s.memory.HasWaiters() {
		for s.memory.HasWaiters() && s.table.evictStalled() {
			s.stats.evicted.Add(1)
		}
		time.Sleep(reclaimInterval)
	}
}
