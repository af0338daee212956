package budget

import (
	"context"
	"testing"

	"pebblelift/internal/nettest"
)

// Guards against more users at once than there are slots, slots that are lost when a wait ends, and urgent users that wait
// behind others.
func TestSlotsAreGrantedInOrder(t *testing.T) {
	s := NewSlots(1)
	if !s.TryAcquire() || s.TryAcquire() {
		t.Fatal("want exactly one slot")
	}
	waiting := func(n int) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.waiters) == n
		}
	}
	granted := make(chan string, 3)
	for i, name := range []string{"first", "second", "urgent"} {
		go func() {
			if s.Acquire(t.Context(), name == "urgent") == nil {
				granted <- name
			}
		}()
		nettest.Eventually(t, "the user waits", waiting(i+1))
	}
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Acquire(expired, true); err == nil {
		t.Error("a wait did not end with its context")
	}
	for _, want := range []string{"urgent", "first", "second"} {
		s.Release()
		if got := nettest.Receive(t, granted); got != want {
			t.Errorf("%s got the slot, want %s", got, want)
		}
	}
	s.Release()
	if !s.TryAcquire() {
		t.Error("a slot was lost")
	}
}
