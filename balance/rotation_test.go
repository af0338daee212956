package balance

import (
	"math"
	"testing"
)

// sequence sends n safe requests one after the other, each answered before the next.
func sequence(g *harness, n int) []EndpointID {
	var ids []EndpointID
	for range n {
		id, acts := g.request(idempotentClass)
		s, ok := attemptTarget(acts)
		if !ok {
			g.t.Fatal("nothing was sent")
		}
		ids = append(ids, s)
		g.b.requests[id].classStats.samples = 0 // no learning from these answers
		g.finishAttempt(id, 0, OK, 10)
	}
	return ids
}

func TestRoundRobinFollowsWeights(t *testing.T) {
	servers := newEndpoints(3)
	servers[0].NominalCapacity = 5
	got := sequence(newHarness(t, baseConfig(), servers...), 7)
	want := []EndpointID{1, 1, 2, 1, 3, 1, 1}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("sequence %v, want %v", got, want)
		}
	}
}

func TestHealthMultiplierFallsDecaysAndHasAFloor(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(2)...)
	s := g.b.endpoints[0]
	if m := g.b.healthMultiplier(s); m != 1 {
		t.Fatalf("m without errors is %v", m)
	}
	s.consecutiveErrors, s.lastErrorAt = 2, g.now
	if m := g.b.healthMultiplier(s); math.Abs(m-(1-2*errorPenalty)) > 1e-9 {
		t.Fatalf("m after two errors is %v", m)
	}
	g.b.now += errorHalfLife
	if m := g.b.healthMultiplier(s); math.Abs(m-(1-errorPenalty)) > 1e-9 {
		t.Fatalf("m after a half-life is %v", m)
	}
	s.consecutiveErrors = 1000
	if m := g.b.healthMultiplier(s); m != minHealth {
		t.Fatalf("m after very many errors is %v, want the floor", m)
	}
	if m := g.b.healthMultiplier(g.b.endpoints[1]); m != 1 {
		t.Fatalf("another server's errors moved m to %v", m)
	}
	s.consecutiveErrors = 2
	id, _ := g.request(idempotentClass)
	g.b.requests[id].attempts[0].endpoint = s
	s.inFlight, g.b.endpoints[1].inFlight = 1, 0
	g.finishAttempt(id, 0, OK, 10)
	if m := g.b.healthMultiplier(s); m != 1 {
		t.Fatalf("m after a success is %v", m)
	}
}

func TestNoEndpointStarvesAtMinHealth(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	hits := 0
	for range 40 { // a success resets the errors, so they are set again each time
		g.b.endpoints[2].consecutiveErrors, g.b.endpoints[2].lastErrorAt = 1000, g.now
		if sequence(g, 1)[0] == 3 {
			hits++
		}
	}
	if hits == 0 || hits >= 10 {
		t.Fatalf("the server at the floor got %d of 40", hits)
	}
}

func TestRetryPicksHealthiestUntriedEndpoint(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, s := range g.b.endpoints {
		s.consecutiveErrors, s.lastErrorAt = 2, g.now
	}
	g.b.endpoints[2].consecutiveErrors = 1
	g.b.endpoints[1].currentWeight = 1000 // its turn, though it is not the healthiest
	id, acts := g.request(idempotentClass)
	if s, _ := attemptTarget(acts); s != 2 {
		t.Fatalf("first sent to %d, want 2", s)
	}
	g.b.endpoints[3].currentWeight = 1000 // next in turn, which must not count for a re-route
	if s, ok := attemptTarget(g.finishAttempt(id, 0, Rejected, 1)); !ok || s != 3 {
		t.Fatalf("re-routed to %d, want 3", s)
	}
}

// Where every server holds far more than its share a first send goes to the one that holds least for
// its weight: the next in turn was crowded further, and stayed slow; a re-route still goes by m. While one is
// not over its share, the turn decides.
func TestFirstAttemptPicksLeastLoadedWhenAllAreOverloaded(t *testing.T) {
	for _, c := range []struct {
		holds [4]int
		want  EndpointID
	}{
		{[4]int{4, 3, 4, 4}, 2}, // all are over
		{[4]int{4, 4, 1, 0}, 3}, // 3 and 4 are not over, and it is the turn of 3
	} {
		g := newHarness(t, baseConfig(), newEndpoints(4)...)
		for i, s := range g.b.endpoints {
			s.inFlight, s.currentWeight = c.holds[i], float64(10*(4-i))
		}
		g.b.endpoints[1].consecutiveErrors, g.b.endpoints[1].lastErrorAt = 1, g.now-5000
		r := &request{Request: Request{}, class: &g.b.cfg.Classes[idempotentClass]}
		if c.want == 2 {
			if s := g.b.pickEndpoint(r, true); s.ID == 2 {
				t.Errorf("%v: the re-route went to the server of lowest m", c.holds)
			}
			for i, s := range g.b.endpoints {
				s.currentWeight = float64(10 * (4 - i))
			}
		}
		if s := g.b.pickEndpoint(r, false); s.ID != c.want {
			t.Errorf("%v: sent to %d, not %d", c.holds, s.ID, c.want)
		}
	}
}
