package budget

import "sync/atomic"

// Reservation is a number of bytes of a Memory that one owner holds at a time. A nil Reservation holds nothing.
type Reservation struct {
	memory *Memory
	part   Part
	bytes  atomic.Int64
}

// Move returns a reservation of bytes that were reserved for another part before.
func (m *Memory) Move(from, to Part, bytes int64) *Reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(from, -bytes)
	m.add(to, bytes)
	m.grantWaiters()
	return m.Hold(to, bytes)
}

// Hold returns a reservation of bytes that the caller has reserved before.
func (m *Memory) Hold(part Part, bytes int64) *Reservation {
	r := &Reservation{memory: m, part: part}
	r.bytes.Store(bytes)
	return r
}

// Shrink releases what the reservation holds beyond the given number of bytes.
func (r *Reservation) Shrink(bytes int64) {
	if surplus := r.bytes.Load() - bytes; surplus > 0 {
		r.bytes.Add(-surplus)
		r.memory.Release(r.part, surplus)
	}
}

// Release releases the bytes. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.memory.Release(r.part, r.bytes.Swap(0))
	}
}
