package budget

import (
	"context"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// Guards against unfinished messages that leave no room for accepted requests, and against bytes that are counted twice
// or never released.
func TestMemoryKeepsRoomForRequests(t *testing.T) {
	m := NewMemory(1000)
	if m.TryReserve(LargeUnfinished, 401) || !m.TryReserve(LargeUnfinished, 400) || m.TryReserve(LargeUnfinished, 1) {
		t.Error("want room for exactly 400 of 1000 bytes of large unfinished messages")
	}
	body := m.Move(LargeUnfinished, Requests, 400)
	if !m.TryReserve(LargeUnfinished, 350) || m.TryReserve(LargeUnfinished, 1) {
		t.Error("want room for exactly 350 bytes of large messages beside a request of 400 bytes")
	}
	if !m.TryReserve(Requests, 50) || m.TryReserve(Requests, 51) {
		t.Error("want room for the start of requests that large messages cannot take")
	}
	m.Release(Requests, 50)
	if !m.TryReserve(Unfinished, 50) || !m.TryReserve(Responses, 200) || m.TryReserve(Connections, 1) {
		t.Error("want room for exactly 250 bytes beside messages and requests of 750 bytes")
	}
	reserved := make(chan error, 1)
	go func() { reserved <- m.Reserve(t.Context(), Responses, 300) }()
	nettest.Eventually(t, "the reservation waits", func() bool { return m.Usage().Refused[Responses] == 1 })
	body.Shrink(350)
	body.Release()
	body.Release()
	if err := nettest.Receive(t, reserved); err != nil {
		t.Errorf("error %v, want room once a request is released", err)
	}
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	if err := m.Reserve(expired, Responses, 900); err == nil {
		t.Error("a reservation of more than there is did not fail when its context ended")
	}
	want := Usage{Capacity: 1000, Peak: 1000, Used: [PartCount]int64{Unfinished: 50, LargeUnfinished: 350, Responses: 500}}
	if got := m.Usage(); got.Used != want.Used || got.Peak != want.Peak || got.Capacity != want.Capacity {
		t.Errorf("usage %+v, want %+v", got, want)
	}
	var none *Reservation
	none.Release()
}

// Guards against a client that gets more than its share by sending without pause, and against tokens that are lost while
// nobody takes any.
func TestTokenBucketLimitsRate(t *testing.T) {
	const interval = 10 * time.Millisecond
	start := time.Now()
	b := TokenBucket{Interval: interval, Burst: 3}
	for i := range 6 {
		want := max(0, time.Duration(i-2)*interval)
		if got := b.Take(start); got != want {
			t.Errorf("token %d: wait %v, want %v", i, got, want)
		}
	}
	if got := b.TakeWithin(start, interval); got != interval || b.Take(start) != 4*interval {
		t.Errorf("wait %v, want %v and no token taken", got, interval)
	}
	later := start.Add(time.Minute)
	for i := range 3 {
		if wait := b.TakeWithin(later, 0); wait != 0 {
			t.Errorf("token %d after a minute: wait %v, want none", i, wait)
		}
	}
	if wait := b.TakeWithin(later, time.Second); wait != interval {
		t.Errorf("wait %v, want %v", wait, interval)
	}
}

// Guards against a reservation that others overtake for ever, and one that nobody grants once there is room.
func TestReservationsAreGrantedInOrder(t *testing.T) {
	m := NewMemory(1000)
	m.TryReserve(Responses, 1000)
	granted := make(chan int64, 3)
	for i, bytes := range []int64{300, 100, 50} {
		go func() {
			if m.Reserve(t.Context(), Responses, bytes) == nil {
				granted <- bytes
			}
		}()
		nettest.Eventually(t, "the reservation waits", func() bool { return m.Waiting(Responses) == i+1 })
	}
	m.Release(Responses, 200)
	if m.TryReserve(Responses, 50) {
		t.Error("a reservation overtook others that wait")
	}
	if m.Waiting(Responses) != 3 {
		t.Error("a small reservation overtook a large one that came first")
	}
	m.Release(Responses, 250)
	if total := nettest.Receive(t, granted) + nettest.Receive(t, granted) + nettest.Receive(t, granted); total != 450 {
		t.Errorf("%d bytes granted, want 450", total)
	}
	go m.Reserve(t.Context(), Responses, 200)
	nettest.Eventually(t, "the reservation waits", func() bool { return m.Waiting(Responses) == 1 })
	go func() {
		m.ReserveUrgently(t.Context(), Responses, 150)
		granted <- 150
	}()
	nettest.Eventually(t, "the urgent reservation waits", func() bool { return m.Waiting(Responses) == 2 })
	m.Release(Responses, 150)
	nettest.Receive(t, granted)
	if m.Waiting(Responses) != 1 {
		t.Error("an urgent reservation did not go first")
	}
	m.Release(Responses, 200)
}

// Guards against connections and unfinished messages that together leave nothing for requests and their responses, in
// whatever order they come.
func TestClientsLeaveMemoryForAnswers(t *testing.T) {
	const capacity, step = 1000, 10
	for _, test := range []struct {
		order   []Part
		answers int64 // bytes that must be free
	}{
		{[]Part{Connections, Unfinished}, 200},
		{[]Part{Unfinished, Connections}, 200},
		{[]Part{Connections, Unfinished, LargeUnfinished, Requests}, 150},
		{[]Part{LargeUnfinished, Connections, Unfinished, Requests}, 150},
		{[]Part{Requests, Connections, Unfinished, LargeUnfinished}, 150},
	} {
		m := NewMemory(capacity)
		for _, part := range test.order {
			for m.TryReserve(part, step) {
			}
		}
		if !m.TryReserve(Responses, test.answers) {
			t.Errorf("%v: %+v, want room for responses of %d bytes", test.order, m.Usage(), test.answers)
		}
	}
}
