package balance

import "testing"

// The six behaviours that the paper asks tests for. The floor, recovery with time and the re-route to the healthiest
// have theirs in rotation_test.go as well, with the exact values.

func trafficShares(t *testing.T, errs float64, n int) map[EndpointID]int {
	t.Helper()
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	hits := map[EndpointID]int{}
	for range n {
		g.b.endpoints[0].consecutiveErrors, g.b.endpoints[0].lastErrorAt = errs, g.now // a success resets the count
		hits[sequence(g, 1)[0]]++
	}
	return hits
}

func TestPaperFairBaseline(t *testing.T) {
	for id, n := range trafficShares(t, 0, 40) {
		if n != 10 {
			t.Errorf("server %d got %d of 40", id, n)
		}
	}
}

func TestPaperPenaltyReducesShareAndTheFloorHolds(t *testing.T) {
	none, some, many := trafficShares(t, 0, 400)[1], trafficShares(t, 2, 400)[1], trafficShares(t, 1000, 400)[1]
	if !(none > some && some > many && many > 0) {
		t.Fatalf("shares of 400 with none, two and very many errors: %d, %d, %d", none, some, many)
	}
}

func TestPaperTimeRecovery(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(2)...)
	s := g.b.endpoints[0]
	g.b.recordError(s, false)
	last := g.b.healthMultiplier(s)
	for range 5 {
		g.b.now += errorHalfLife / 2
		m := g.b.healthMultiplier(s)
		if m <= last {
			t.Fatalf("m went from %v to %v without errors", last, m)
		}
		last = m
	}
}

func TestPaperRetryRecoversToBest(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(3)...)
	g.b.endpoints[1].consecutiveErrors, g.b.endpoints[1].lastErrorAt = 2, g.now
	id, _ := g.request(idempotentClass)
	g.b.endpoints[1].currentWeight = 1e6 // next in turn, and not the healthiest
	if s, ok := attemptTarget(g.finishAttempt(id, 0, Rejected, 1)); !ok || s != 3 {
		t.Fatalf("re-routed to %d", s)
	}
}

func TestPaperIsolation(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	for range 5 {
		g.b.recordError(g.b.endpoints[0], false)
	}
	for _, s := range g.b.endpoints[1:] {
		if g.b.healthMultiplier(s) != 1 || g.b.ejected(s) {
			t.Errorf("server %d pays for the errors of server 1, of its cell and kind", s.ID)
		}
	}
}
