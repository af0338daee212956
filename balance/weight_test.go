package balance

import (
	"math"
	"testing"
)

// An endpoint's health multiplier falls with the endpoint's own consecutive errors, has a lower bound and
// recovers with time. A success restores it to 1.
func TestHealthMultiplierFallsDecaysAndHasAFloor(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	e, other := h.b.endpoints[0], h.b.endpoints[1]
	if got := e.outlier.healthMultiplier(h.b.now); got != 1 {
		t.Fatalf("without errors: health multiplier %v, want 1", got)
	}
	e.outlier.consecutiveErrors, e.outlier.lastErrorAt = 2, h.now
	if got := e.outlier.healthMultiplier(h.b.now); math.Abs(got-(1-2*errorPenalty)) > 1e-9 {
		t.Fatalf("after two errors: health multiplier %v, want %v", got, 1-2*errorPenalty)
	}
	h.b.now += errorHalfLife
	if got := e.outlier.healthMultiplier(h.b.now); math.Abs(got-(1-errorPenalty)) > 1e-9 {
		t.Fatalf("after a half-life: health multiplier %v, want %v", got, 1-errorPenalty)
	}
	e.outlier.consecutiveErrors = 1000
	if got := e.outlier.healthMultiplier(h.b.now); got != minHealth {
		t.Fatalf("after very many errors: health multiplier %v, want %v", got, minHealth)
	}
	if got := other.outlier.healthMultiplier(h.b.now); got != 1 {
		t.Fatalf("after another endpoint's errors: health multiplier %v, want 1", got)
	}
	e.outlier.consecutiveErrors = 2
	id, _ := h.request(idempotentClass)
	h.b.requests[id].attempts[0].endpoint = e
	e.inFlight, other.inFlight = 1, 0
	h.finishAttempt(id, 0, OK, 10)
	if got := e.outlier.healthMultiplier(h.b.now); got != 1 {
		t.Fatalf("after a success: health multiplier %v, want 1", got)
	}
}

// Endpoints that respond twice as fast as others get more requests, and a higher learned capacity is
// attributed to their machine type.
func TestCapacityIsLearned(t *testing.T) {
	endpoints := newEndpoints(4)
	endpoints[2].MachineType, endpoints[3].MachineType = 1, 1
	h := newHarness(t, baseConfig(), endpoints...)
	hits := map[EndpointID]int{}
	for range 1500 {
		id, actions := h.request(idempotentClass)
		target, _ := attemptTarget(actions)
		hits[target]++
		latency := 40.0
		if target > 2 {
			latency = 20
		}
		h.now += 5
		h.finishAttempt(id, 0, OK, latency)
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("requests by endpoint %v, want 3 and 4 to get 1.5 times those of 1 and 2", hits)
	}
	if byType := h.b.capacity.byMachineType; byType[1] <= byType[0] {
		t.Fatalf("learned capacity by machine type %v, want type 1 above type 0", byType)
	}
}

// If crossing zones has a penalty, the sidecar's own zone gets more requests, and other zones still get some.
func TestOwnZoneIsPreferredWhenCrossingCosts(t *testing.T) {
	for penalty, minOwn := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Penalties.CrossZone, cfg.Zone = penalty, 1
		h := newHarness(t, cfg, newEndpoints(8)...)
		own := 0
		for _, target := range sequentialTargets(h, 40) {
			if target > 4 {
				own++
			}
		}
		if own < minOwn || own > 38 || penalty == 0 && own != 20 {
			t.Errorf("penalty %v: %d of 40 requests in the own zone, want %d to 38, and 20 without penalty",
				penalty, own, minOwn)
		}
	}
}

// Guards against a restarted sidecar with few requests that uses slow endpoints as much as fast ones for a
// minute, as it has to learn their capacities first. At the start each response must change the learned
// capacity by more.
func TestCapacityIsLearnedFastAtFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	fast, slow := h.b.endpoints[0], h.b.endpoints[1]
	for range 20 {
		h.b.learnCapacity(fast, 0.5)
		h.b.learnCapacity(slow, 1.5)
	}
	early := fast.learnedLogCapacity - slow.learnedLogCapacity
	for range 2000 { // both are equally fast for a long time, until one becomes faster
		h.b.learnCapacity(fast, 1)
		h.b.learnCapacity(slow, 1)
	}
	before := fast.learnedLogCapacity - slow.learnedLogCapacity
	for range 20 {
		h.b.learnCapacity(fast, 0.5)
		h.b.learnCapacity(slow, 1.5)
	}
	if late := fast.learnedLogCapacity - slow.learnedLogCapacity - before; early < 3*late || late <= 0 {
		t.Fatalf("learned %.3f at first and %.3f later, want both above 0 and the first three times as much",
			early, late)
	}
}

// Guards against sending a non-idempotent request, which cannot be retried, to an endpoint that has just
// failed while others are healthy.
func TestNonIdempotentRequestsAvoidUnhealthyEndpoints(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	unhealthy := h.b.endpoints[2]
	unhealthy.outlier.consecutiveErrors, unhealthy.outlier.lastErrorAt = 1, h.now
	hits := map[int]int{} // requests at the unhealthy endpoint, by class
	for i := range 40 {
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, actions := h.request(class)
		if target, _ := attemptTarget(actions); target == unhealthy.ID {
			hits[class]++
		}
		h.b.requests[id].classStats.samples = 0
		h.finishAttempt(id, 0, OK, 10)
		unhealthy.outlier.consecutiveErrors, unhealthy.outlier.lastErrorAt = 1, h.now
	}
	if hits[nonIdempotentClass] != 0 || hits[idempotentClass] == 0 {
		t.Fatalf("the unhealthy endpoint got %d non-idempotent requests, want 0; "+
			"%d idempotent ones, want some",
			hits[nonIdempotentClass], hits[idempotentClass])
	}
	for _, e := range h.b.endpoints { // if all endpoints are unhealthy, all are candidates
		e.outlier.consecutiveErrors, e.outlier.lastErrorAt = 1, h.now
	}
	if _, actions := h.request(nonIdempotentClass); !hasAction(actions, StartAttempt) {
		t.Fatalf("all endpoints unhealthy: got actions %+v, want an attempt", actions)
	}
}

// Guards against overloading the endpoints of the sidecar's own zone while other zones are idle. The penalty
// for crossing zones gives the own zone a preference, which must end when responses are slow.
func TestSlowResponsesEndZonePreference(t *testing.T) {
	cfg := baseConfig()
	cfg.Penalties.CrossZone, cfg.Zone = 0.05, 1
	h := newHarness(t, cfg, newEndpoints(8)...)
	near, far := h.b.endpoints[7], h.b.endpoints[0]
	if nearWeight, farWeight := h.b.weightOf(near), h.b.weightOf(far); nearWeight < 10*farWeight {
		t.Errorf("fast responses: weight %v in the own zone, %v elsewhere, want at least ten times as much",
			nearWeight, farWeight)
	}
	h.b.latency.baseline, h.b.latency.mean = 0.2, 0.6
	if nearWeight, farWeight := h.b.weightOf(near), h.b.weightOf(far); nearWeight != farWeight {
		t.Errorf("slow responses: weight %v in the own zone, %v elsewhere, want the same",
			nearWeight, farWeight)
	}
}
