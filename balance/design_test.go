// The tests of this file cover the behavior for which the design document requires tests. weight_test.go and
// retry_test.go also test the exact values of the health multiplier's lower bound and of its recovery with
// time, and the choice of the healthiest endpoint for a retry.

package balance

import "testing"

// trafficShares returns the number of requests that each of four endpoints gets while endpoint 1 has the
// given number of consecutive errors.
func trafficShares(t *testing.T, consecutiveErrors float64, requests int) map[EndpointID]int {
	t.Helper()
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	hits := map[EndpointID]int{}
	for range requests {
		outlier := &h.b.endpoints[0].outlier
		outlier.consecutiveErrors, outlier.lastErrorAt = consecutiveErrors, h.now // a success resets errors
		hits[sequentialTargets(h, 1)[0]]++
	}
	return hits
}

// Endpoints without errors get equal shares of the requests.
func TestHealthyEndpointsGetEqualShares(t *testing.T) {
	for id, n := range trafficShares(t, 0, 40) {
		if n != 10 {
			t.Errorf("endpoint %d got %d of 40 requests, want 10", id, n)
		}
	}
}

// The share of an endpoint falls with its consecutive errors, but never to zero.
func TestErrorsReduceTrafficShareButNotToZero(t *testing.T) {
	none := trafficShares(t, 0, 400)[1]
	some := trafficShares(t, 2, 400)[1]
	many := trafficShares(t, 1000, 400)[1]
	if !(none > some && some > many && many > 0) {
		t.Fatalf("with 0, 2 and 1000 consecutive errors the endpoint got %d, %d, %d of 400 requests; "+
			"want falling counts above 0", none, some, many)
	}
}

// The health multiplier rises with time after an error.
func TestHealthMultiplierRecoversWithTime(t *testing.T) {
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

// A retry is sent to the healthiest endpoint, even if another one is next in the rotation.
func TestRetryGoesToHealthiestEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	unhealthy := h.b.endpoints[1]
	unhealthy.outlier.consecutiveErrors, unhealthy.outlier.lastErrorAt = 2, h.now
	id, _ := h.request(idempotentClass)
	unhealthy.rotation.currentWeight = 1e6 // next in the rotation, but not the healthiest
	if got, ok := attemptTarget(h.finishAttempt(id, 0, Rejected, 1)); !ok || got != 3 {
		t.Fatalf("retried at endpoint %d (%v), want 3", got, ok)
	}
}

// Errors of one endpoint do not affect the health of other endpoints, even in the same cell or of the same
// machine type.
func TestErrorsDoNotAffectOtherEndpoints(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for range 5 {
		h.b.recordError(h.b.endpoints[0], false)
	}
	for _, e := range h.b.endpoints[1:] {
		if e.outlier.healthMultiplier(h.b.now) != 1 || e.outlier.ejected(h.b.now) {
			t.Errorf("errors of endpoint 1 affected the health of endpoint %d", e.ID)
		}
	}
}
