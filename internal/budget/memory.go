// Package budget limits what peers can make the process hold and do: Memory accounts for the bytes that are held for
// them, and TokenBucket limits how often something may happen.
package budget

import (
	"context"
	"sync"
)

// Part is a kind of use of memory.
type Part int

// The parts of a memory budget.
const (
	Connections Part = iota // fixed cost of the connections of clients
	Unfinished              // messages of clients that have not arrived whole, and bytes that were read ahead
	Requests                // accepted requests: their bodies and the fixed cost of serving them
	Responses               // bodies of responses, from before they are read until they are written to the client
	PartCount               // number of parts
)

// String returns the name of the part in log lines.
func (p Part) String() string {
	return [PartCount]string{"connections", "unfinished", "requests", "responses"}[p]
}

// The following are fractions of the budget. They keep room for accepted requests and their responses.
const (
	unfinishedFraction = 0.4 // for unfinished messages
	clientFraction     = 0.8 // for connections and unfinished messages together
)

// Memory is a budget of bytes. Its methods may be called from any goroutine.
type Memory struct {
	capacity int64 // bytes; 0 for no limit

	mu      sync.Mutex
	used    [PartCount]int64
	total   int64
	refused [PartCount]int64
	peak    int64
	freed   chan struct{} // closed when bytes are released while somebody waits; nil if nobody waits
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
// budget is held to it.
func (m *Memory) TryReserve(part Part, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fits(part, bytes) {
		m.add(part, bytes)
		return true
	}
	m.refused[part]++
	return false
}

// Reserve waits until there is room for the bytes and reserves them. It returns the error of ctx if that ends first.
func (m *Memory) Reserve(ctx context.Context, part Part, bytes int64) error {
	for {
		m.mu.Lock()
		if m.fits(part, bytes) {
			m.add(part, bytes)
			m.mu.Unlock()
			return nil
		}
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		freed := m.freed
		m.refused[part]++
		m.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Release returns reserved bytes.
func (m *Memory) Release(part Part, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(part, -bytes)
	if m.freed != nil && bytes > 0 {
		close(m.freed)
		m.freed = nil
	}
}

// fits reports whether there is room for the bytes. The caller holds mu.
func (m *Memory) fits(part Part, bytes int64) bool {
	if m.capacity == 0 || bytes <= 0 {
		return true
	}
	if part == Unfinished && m.exceeds(m.used[Unfinished]+bytes, unfinishedFraction) {
		return false
	}
	isClients := part == Connections || part == Unfinished
	if isClients && m.exceeds(m.used[Connections]+m.used[Unfinished]+bytes, clientFraction) {
		return false
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
