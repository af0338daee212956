// The behaviours for which the design paper requires tests. Exact values of the floor, of recovery with time
// and of the retry at the healthiest endpoint are tested in weight_test.go and retry_test.go as well.

package balance

import "testing"

// trafficShares counts how many requests each of four endpoints gets while endpoint 1 has the given number of
// consecutive errors.
func trafficShares(t *testing.T, consecutiveErrors float64, requests int) map[EndpointID]int {
	t.Helper()
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	hits := map[EndpointID]int{}
	for range requests {
		outlier := &h.b.endpoints[0].outlier
		outlier.consecutiveErrors, outlier.lastErrorAt = consecutiveErrors, h.now // a success resets them
		hits[sequence(h, 1)[0]]++
	}
	return hits
}

func TestPaperFairBaseline(t *testing.T) {
	for id, n := range trafficShares(t, 0, 40) {
		if n != 10 {
			t.Errorf("endpoint %d got %d of 40 requests, want 10", id, n)
		}
	}
}

func TestPaperPenaltyReducesShareAndTheFloorHolds(t *testing.T) {
	none := trafficShares(t, 0, 400)[1]
	some := trafficShares(t, 2, 400)[1]
	many := trafficShares(t, 1000, 400)[1]
	if !(none > some && some > many && many > 0) {
		t.Fatalf("with none, two and very many errors the endpoint got %d, %d, %d of 400 requests; "+
			"want falling counts above 0", none, some, many)
	}
}

func TestPaperTimeRecovery(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	e := h.b.endpoints[0]
	h.b.recordError(e, false)
	last := e.outlier.healthMultiplier(h.b.now)
	for range 5 {
		h.b.now += errorHalfLife / 2
		multiplier := e.outlier.healthMultiplier(h.b.now)
		if multiplier <= last {
			t.Fatalf("health multiplier went from %v to %v without errors, want it to rise", last, multiplier)
		}
		last = multiplier
	}
}

func TestPaperRetryRecoversToBest(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	unhealthy := h.b.endpoints[1]
	unhealthy.outlier.consecutiveErrors, unhealthy.outlier.lastErrorAt = 2, h.now
	id, _ := h.request(idempotentClass)
	unhealthy.rotation.currentWeight = 1e6 // next in the rotation, but not the healthiest
	if got, ok := attemptTarget(h.finishAttempt(id, 0, Rejected, 1)); !ok || got != 3 {
		t.Fatalf("retried at endpoint %d (%v), want 3", got, ok)
	}
}

func TestPaperIsolation(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for range 5 {
		h.b.recordError(h.b.endpoints[0], false)
	}
	for _, e := range h.b.endpoints[1:] {
		if e.outlier.healthMultiplier(h.b.now) != 1 || e.outlier.ejected(h.b.now) {
			t.Errorf("errors of endpoint 1 count against endpoint %d, of its cell and machine type", e.ID)
		}
	}
}
