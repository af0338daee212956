package budget

import (
	"context"
	"slices"
	"sync"
)

// Slots limits how many of its users do something at the same time. Its methods may be called from any goroutine.
type Slots struct {
	mu      sync.Mutex
	free    int
	waiters []*slotWaiter // in the order in which they get a slot
}

// slotWaiter is a user that waits for a slot.
type slotWaiter struct {
	urgent  bool
	granted chan struct{} // closed once the user has a slot
}

// NewSlots returns the given number of slots.
func NewSlots(count int) *Slots { return &Slots{free: count} }

// Acquire waits for a slot. Whoever came first is served first, but urgent users before all others. It returns the error
// of ctx if that ends first.
func (s *Slots) Acquire(ctx context.Context, urgent bool) error {
	w := s.enqueue(urgent)
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return context.Cause(ctx)
	}
	return nil // granted just now
}

// TryAcquire takes a slot if one is free, and reports whether it has.
func (s *Slots) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return false
	}
	s.free--
	return true
}

// enqueue takes a slot and returns nil, or returns a waiter for one.
func (s *Slots) enqueue(urgent bool) *slotWaiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		return nil
	}
	w := &slotWaiter{urgent: urgent, granted: make(chan struct{})}
	position := len(s.waiters)
	if urgent {
		position = slices.IndexFunc(s.waiters, func(other *slotWaiter) bool { return !other.urgent })
		if position < 0 {
			position = len(s.waiters)
		}
	}
	s.waiters = slices.Insert(s.waiters, position, w)
	return w
}

// Release gives a slot back.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) == 0 {
		s.free++
		return
	}
	close(s.waiters[0].granted)
	s.waiters = s.waiters[1:]
}
