// Package budget limits what peers can make the process hold and do: Memory accounts for the bytes that are held for
// them, and TokenBucket limits how often something may happen.
package budget

import (
	"context"
	"slices"
	"sync"
)

// Part is a kind of use of memory.
type Part int

// The parts of a memory budget.
const (
	Connections     Part = iota // fixed cost of the connections of clients
	Unfinished                  // small messages of clients that have not arrived whole, and bytes that were read ahead
	LargeUnfinished             // large ones
	Requests                    // accepted requests: their bodies and the fixed cost of serving them
	Responses                   // bodies of responses, from before they are read until they are written to the client
	PartCount                   // number of parts
)

// String returns the name of the part in log lines.
func (p Part) String() string {
	return [PartCount]string{"connections", "unfinished", "large", "requests", "responses"}[p]
}

// The following are fractions of the budget. Each step of a request finds room that earlier steps cannot take, so that it
// waits only for requests that are farther than it: large messages that arrive, those that wait for their start, responses.
const (
	largeFraction        = 0.4  // for large unfinished messages
	connectionFraction   = 0.7  // for connections and small unfinished messages
	allButStartFraction  = 0.75 // for all but responses, while it is large messages that grow
	allButAnswerFraction = 0.85 // for all but responses
)

// Memory is a budget of bytes. Its methods may be called from any goroutine.
type Memory struct {
	capacity int64 // bytes; 0 for no limit

	mu      sync.Mutex
	used    [PartCount]int64
	total   int64
	refused [PartCount]int64
	peak    int64
	waiters []*waiter // in the order in which they are granted
}

// waiter is a reservation that waits for room.
type waiter struct {
	part    Part
	urgent  bool
	bytes   int64
	granted chan struct{} // closed once the bytes are reserved
}

// NewMemory returns a budget of the given number of bytes, or one without a limit if the number is 0.
func NewMemory(capacity int64) *Memory { return &Memory{capacity: capacity} }

// Usage is the present use of a budget.
type Usage struct {
	Capacity int64            // bytes; 0 for no limit
	Used     [PartCount]int64 // bytes by part
	Refused  [PartCount]int64 // reservations since the start for which there was no room, by part
	Peak     int64            // the largest total since the start, in bytes
}

// Usage returns the present use.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Usage{Capacity: m.capacity, Used: m.used, Refused: m.refused, Peak: m.peak}
}

// TryReserve reserves bytes and reports whether there was room for them. A part that may use only a fraction of the
// budget is held to it, and a part for which others wait has no room.
func (m *Memory) TryReserve(part Part, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tryAdd(part, bytes) {
		return true
	}
	m.refused[part]++
	return false
}

// Reserve waits until there is room for the bytes and reserves them. Within a part, whoever came first is served first. It
// returns the error of ctx if that ends first.
func (m *Memory) Reserve(ctx context.Context, part Part, bytes int64) error {
	return m.await(ctx, &waiter{part: part, bytes: bytes, granted: make(chan struct{})})
}

// ReserveUrgently is Reserve for somebody who is served before all who call Reserve.
func (m *Memory) ReserveUrgently(ctx context.Context, part Part, bytes int64) error {
	return m.await(ctx, &waiter{part: part, urgent: true, bytes: bytes, granted: make(chan struct{})})
}

// await reserves what w wants, and waits for it.
func (m *Memory) await(ctx context.Context, w *waiter) error {
	m.mu.Lock()
	if m.tryAdd(w.part, w.bytes) {
		m.mu.Unlock()
		return nil
	}
	m.refused[w.part]++
	m.insert(w)
	m.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.waiters, w); i >= 0 {
		m.waiters = slices.Delete(m.waiters, i, i+1)
		m.grantWaiters() // others of the part may fit where this one did not
		return context.Cause(ctx)
	}
	return nil // granted just now
}

// insert adds a waiter behind all others, or behind the urgent ones. The caller holds mu.
func (m *Memory) insert(w *waiter) {
	position := len(m.waiters)
	if w.urgent {
		position = 0
		for position < len(m.waiters) && m.waiters[position].urgent {
			position++
		}
	}
	m.waiters = slices.Insert(m.waiters, position, w)
	m.grantWaiters() // an urgent waiter may fit where the first one does not
}

// Take reserves bytes also if there is no room for them, for what has begun already.
func (m *Memory) Take(part Part, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(part, bytes)
}

// Waiting returns how many reservations of a part wait for room.
func (m *Memory) Waiting(part Part) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waiting(part)
}

// HasWaiters reports whether a reservation of any part waits for room.
func (m *Memory) HasWaiters() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters) > 0
}

// Release returns reserved bytes.
func (m *Memory) Release(part Part, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(part, -bytes)
	m.grantWaiters()
}

// tryAdd reserves bytes if there is room and nobody waits for the part. The caller holds mu.
func (m *Memory) tryAdd(part Part, bytes int64) bool {
	if bytes > 0 && (m.waiting(part) > 0 || !m.fits(part, bytes)) {
		return false
	}
	m.add(part, bytes)
	return true
}

// waiting returns how many reservations of a part wait. The caller holds mu.
func (m *Memory) waiting(part Part) int {
	n := 0
	for _, w := range m.waiters {
		if w.part == part {
			n++
		}
	}
	return n
}

// grantWaiters reserves what those want who wait, as far as there is room. The caller holds mu.
func (m *Memory) grantWaiters() {
	var blocked [PartCount]bool
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool {
		if blocked[w.part] || !m.fits(w.part, w.bytes) {
			blocked[w.part] = true
			return false
		}
		m.add(w.part, w.bytes)
		close(w.granted)
		return true
	})
}

// fits reports whether there is room for the bytes. The caller holds mu.
func (m *Memory) fits(part Part, bytes int64) bool {
	if m.capacity == 0 || bytes <= 0 {
		return true
	}
	connections := m.used[Connections] + m.used[Unfinished]
	allButResponses := m.total - m.used[Responses]
	switch part {
	case Connections, Unfinished:
		if m.exceeds(connections+bytes, connectionFraction) || m.exceeds(allButResponses+bytes, allButAnswerFraction) {
			return false
		}
	case LargeUnfinished:
		if m.exceeds(m.used[LargeUnfinished]+bytes, largeFraction) || m.exceeds(allButResponses+bytes, allButStartFraction) {
			return false
		}
	case Requests:
		if m.exceeds(allButResponses+bytes, allButAnswerFraction) {
			return false
		}
	}
	return m.total+bytes <= m.capacity
}

// exceeds reports whether a number of bytes is more than a fraction of the budget.
func (m *Memory) exceeds(bytes int64, fraction float64) bool {
	return float64(bytes) > fraction*float64(m.capacity)
}

// add changes the use of a part. The caller holds mu.
func (m *Memory) add(part Part, bytes int64) {
	m.used[part] += bytes
	m.total += bytes
	m.peak = max(m.peak, m.total)
}
