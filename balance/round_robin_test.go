package balance

import "testing"

// sequentialTargets sends n idempotent requests one after the other, each of which ends before the next
// starts. It returns the endpoints of their attempts.
func sequentialTargets(h *harness, n int) []EndpointID {
	h.t.Helper()
	var targets []EndpointID
	for range n {
		id, actions := h.request(idempotentClass)
		target, ok := attemptTarget(actions)
		if !ok {
			h.t.Fatalf("got actions %+v, want an attempt", actions)
		}
		targets = append(targets, target)
		h.b.requests[id].classStats.samples = 0 // no capacity is learned from these responses
		h.finishAttempt(id, 0, OK, 10)
	}
	return targets
}

// Requests are distributed by smooth weighted round robin, with the endpoints' nominal capacities as weights.
func TestRoundRobinFollowsWeights(t *testing.T) {
	endpoints := newEndpoints(3)
	endpoints[0].NominalCapacity = 5
	got := sequentialTargets(newHarness(t, baseConfig(), endpoints...), 7)
	want := []EndpointID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got sequence %v, want %v", got, want)
		}
	}
}

// An endpoint of the minimum health gets fewer requests than its share by capacity, but still gets some.
func TestNoEndpointStarvesAtMinHealth(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	outlier := &h.b.endpoints[2].outlier
	hits := 0
	for range 40 {
		outlier.consecutiveErrors, outlier.lastErrorAt = 1000, h.now // a success resets them
		if sequentialTargets(h, 1)[0] == 3 {
			hits++
		}
	}
	if hits == 0 || hits >= 10 {
		t.Fatalf("the endpoint of the minimum health got %d of 40 requests, want 1 to 9", hits)
	}
}

// Guards against overloading the next endpoint in the rotation further when all endpoints have far more than
// their share of the requests in flight. In that case a first attempt must go to the endpoint with the fewest
// requests in flight for its weight, and a retry still by health. While some endpoint is within its share,
// the rotation decides.
func TestFirstAttemptPicksLeastLoadedWhenAllAreOverloaded(t *testing.T) {
	for _, c := range []struct {
		inFlight      [4]int
		allOverloaded bool
		want          EndpointID
	}{
		{inFlight: [4]int{4, 3, 4, 4}, allOverloaded: true, want: 2},
		{inFlight: [4]int{4, 4, 1, 0}, allOverloaded: false, want: 3}, // 3, 4 are not overloaded; 3 is next
	} {
		h := newHarness(t, baseConfig(), newEndpoints(4)...)
		for i, e := range h.b.endpoints {
			e.inFlight = c.inFlight[i]
			e.rotation.currentWeight = float64(10 * (4 - i))
		}
		unhealthy := h.b.endpoints[1]
		unhealthy.outlier.consecutiveErrors, unhealthy.outlier.lastErrorAt = 1, h.now-5000
		r := &request{Request: Request{}, class: &h.b.cfg.Classes[idempotentClass]}
		if c.allOverloaded {
			retry := *r
			retry.attempts = []attempt{{endpoint: &endpoint{}, notExecuted: true}}
			if e := h.b.pickEndpoint(&retry); e.ID == unhealthy.ID {
				t.Errorf("in flight %v: the retry went to endpoint %d, which is the least healthy",
					c.inFlight, e.ID)
			}
			for i, e := range h.b.endpoints {
				e.rotation.currentWeight = float64(10 * (4 - i))
			}
		}
		if e := h.b.pickEndpoint(r); e.ID != c.want {
			t.Errorf("in flight %v: first attempt at endpoint %d, want %d", c.inFlight, e.ID, c.want)
		}
	}
}
