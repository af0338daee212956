package balance

import "testing"

// newPeers returns harnesses of sidecar 0 and sidecar 1 of a fleet that sends gossip.
func newPeers(t *testing.T, endpoints []Endpoint) (h, peer *harness) {
	t.Helper()
	h = newHarness(t, gossipConfig(0), endpoints...)
	peer = newHarness(t, gossipConfig(1), endpoints...)
	return h, peer
}

// Guards against overloading endpoints that look idle to one sidecar but are full of other sidecars'
// requests. A peer's requests in flight must count until a later message replaces them or the peer's gossip
// expires.
func TestEndpointsFilledByPeersAreSkipped(t *testing.T) {
	for _, expired := range []bool{false, true} {
		h, peer := newPeers(t, newEndpoints(8))
		full := h.b.endpoints[0]
		peer.b.endpoints[0].inFlight = 10
		h.handle(GossipMessage{Sender: 1, Data: peer.sentGossip()})
		if expired {
			h.now += gossipExpiry + 1
			h.sentGossip()
		}
		hits := 0
		for range 32 {
			id, actions := h.request(nonIdempotentClass)
			if target, _ := attemptTarget(actions); target == full.ID {
				hits++
			}
			h.finishAttempt(id, 0, OK, 10)
		}
		if expired != (hits > 0) {
			t.Errorf("gossip expired %v: %d of 32 requests went to the full endpoint", expired, hits)
		}
	}
}

// Guards against a sidecar with few requests that sheds by its own few responses, up to its whole load and
// long after the overload. It must shed by the requests in flight of the whole fleet: while endpoints are
// full, and not once they are empty.
func TestSheddingFollowsFleetLoad(t *testing.T) {
	h, peer := newPeers(t, newEndpoints(4))
	h.b.shedder.baseShedFraction = maxShedFraction // by its own responses it would shed the maximum
	h.b.latency.shortTerm = 2
	rejectedWith := func(inFlight int) int {
		peer.now += 10
		h.now += 10
		for _, e := range peer.b.endpoints {
			e.inFlight = inFlight
		}
		h.handle(GossipMessage{Sender: 1, Data: peer.sentGossip()})
		rejected := 0
		for range 50 {
			if id, actions := h.request(idempotentClass); hasAction(actions, Reject) {
				rejected++
			} else {
				h.finishAttempt(id, 0, OK, 10)
			}
		}
		return rejected
	}
	full := rejectedWith(15)
	empty := rejectedWith(0)
	if full < 25 || empty > 0 {
		t.Fatalf("rejected %d of 50 requests with full endpoints, want at least 25; "+
			"%d with empty ones, want 0", full, empty)
	}
}

// Guards against late shedding when gossip is lost in overload: the last known load of the fleet is outdated,
// and a sidecar's own responses show the overload only after the endpoints are overloaded. Its own requests
// in flight show it sooner, as there are far more of them than usual.
func TestSheddingWithLostGossipFollowsOwnLoad(t *testing.T) {
	h, peer := newPeers(t, newEndpoints(40))
	for _, e := range peer.b.endpoints[:12] {
		e.inFlight = 1 // 12 requests at 40 endpoints of capacity 1: about a third
	}
	var inFlight []RequestID
	// sendFour sends four requests, ends the oldest attempts until maxInFlight are left, and returns the
	// number of rejected requests.
	sendFour := func(maxInFlight int) (rejected int) {
		h.now += 20
		for range 4 {
			if id, actions := h.request(idempotentClass); hasAction(actions, Reject) {
				rejected++
			} else {
				inFlight = append(inFlight, id)
			}
		}
		for ; len(inFlight) > maxInFlight; inFlight = inFlight[1:] {
			h.finishAttempt(inFlight[0], 0, OK, 20)
		}
		return rejected
	}
	for range 50 {
		peer.now = h.now + 20
		h.handle(GossipMessage{Sender: 1, Data: peer.sentGossip()})
		if sendFour(1) > 0 {
			t.Fatal("requests were rejected at a load within the capacity of the endpoints")
		}
	}
	h.now += gossipTimeout
	usual, overloaded := 0, 0
	for range 10 {
		usual += sendFour(1)
	}
	for range 10 { // more requests stay in flight, and no response is late yet
		overloaded += sendFour(8)
	}
	if usual > 0 || overloaded < 5 {
		t.Fatalf("gossip lost: rejected %d of 40 requests at the usual load, want 0; "+
			"%d in overload, want at least 5", usual, overloaded)
	}
}

// Guards against treating endpoints that fail immediately as idle because they have nothing in flight. Such
// endpoints drew the requests that were not sent to others, and counted as capacity while load was shed.
func TestFailingEndpointsAddNoCapacity(t *testing.T) {
	h := newHarness(t, gossipConfig(0), newEndpoints(4)...)
	peer := newHarness(t, gossipConfig(2), newEndpoints(4)...)
	for _, e := range h.b.endpoints[:2] {
		h.receiveFailures(1, e, 5)
		h.now += 2
		h.receiveFailures(3, e, 5)
		h.now += 2
		e.outlier.ejectedUntil = 0
	}
	peer.now = h.now
	for _, e := range peer.b.endpoints[2:] {
		e.inFlight = 1
	}
	h.handle(GossipMessage{Sender: 2, Data: peer.sentGossip()})
	halfFailing := h.b.fleetShedFraction()
	for range 20 {
		id, actions := h.request(nonIdempotentClass)
		target, sent := attemptTarget(actions)
		if sent && target <= 2 {
			t.Fatalf("attempt at endpoint %d, which is failing, want 3 or 4", target)
		}
		if sent {
			h.finishAttempt(id, 0, OK, 10)
		}
	}
	for _, e := range h.b.endpoints[:2] { // these endpoints have recovered
		e.evidence = outlierEvidence{}
	}
	if noneFailing := h.b.fleetShedFraction(); noneFailing >= halfFailing {
		t.Fatalf("shed fraction %.2f with two of four endpoints failing, %.2f with none, want less",
			halfFailing, noneFailing)
	}
}

// The concurrency limit is relative to nominal capacity, whose scale each deployment chooses, so it must
// adapt. If the requests in flight exceed the limit but responses stay fast, shedding must decrease. If
// responses are slow, shedding must go on.
func TestFastResponsesRaiseTheConcurrencyLimit(t *testing.T) {
	for _, slow := range []bool{false, true} {
		h, peer := newPeers(t, newEndpoints(4))
		h.b.concurrency.latency.baseline = 0.2
		objective := h.b.cfg.Classes[idempotentClass].LatencyObjective
		latency := 0.2 * objective
		if slow {
			latency *= 4
		}
		var rejected [2]int // number of the first 200 and of the last 200 requests
		for i := range 400 {
			h.now += 10
			peer.now += 10
			for _, e := range peer.b.endpoints {
				e.inFlight = 1 + i%2 // gossip contains only changes
			}
			peer.b.concurrency.latency.baseline = 0.2
			peer.b.concurrency.latency.recordOwnResponse(peer.now, latency/objective)
			h.handle(GossipMessage{Sender: 1, Data: peer.sentGossip()})
			h.sentGossip()
			if id, actions := h.request(idempotentClass); hasAction(actions, Reject) {
				rejected[i/200]++
			} else {
				h.finishAttempt(id, 0, OK, latency)
			}
		}
		if rejected[0] == 0 || !slow && rejected[1] > rejected[0]/2 || slow && rejected[1] < rejected[0]/2 {
			t.Errorf("slow responses %v: rejected %d of the first and %d of the last 200 requests, "+
				"want some at first, and later at most half of that just if responses are fast",
				slow, rejected[0], rejected[1])
		}
	}
}

// simulatePeerLoad simulates a period of the given duration in ms. Peer 1 has the given number of requests in
// flight at each endpoint, gets responses of the given latency (a fraction of the latency objective) and
// sends gossip about both. This sidecar sends no requests.
func (h *harness) simulatePeerLoad(peer *harness, inFlight int, latency, duration float64) {
	h.t.Helper()
	for end := h.now + duration; h.now < end; {
		h.now += 50
		peer.now, peer.b.now = h.now, h.now
		for _, e := range peer.b.endpoints {
			e.inFlight = inFlight
			e.gossip.announcedInFlight = inFlight + 1 // gossip contains only changes
		}
		for range 10 {
			peer.b.concurrency.latency.recordOwnResponse(h.now, latency)
		}
		h.handle(GossipMessage{Sender: 1, Data: peer.sentGossip()})
		h.sentGossip()
	}
}

// Guards against a sidecar with few requests that needs minutes to learn how much load endpoints can serve.
// It must learn from the latency of the whole fleet: the limit must rise within seconds while many requests
// are in flight and responses stay fast, and fall within one or two seconds once responses are slow.
func TestConcurrencyLimitFollowsFleetLatency(t *testing.T) {
	h, peer := newPeers(t, newEndpoints(4))
	h.simulatePeerLoad(peer, 1, 0.1, 2000)
	lowLoad := h.b.concurrency.limit
	h.simulatePeerLoad(peer, 4, 0.1, 4000)
	fastResponses := h.b.concurrency.limit
	h.simulatePeerLoad(peer, 10, 0.3, 1000)
	slowResponses := h.b.concurrency.limit
	h.simulatePeerLoad(peer, 10, 0.3, 2000) // overloaded endpoints serve less, which is no floor
	overloaded := h.b.concurrency.limit
	if lowLoad > 1.5 || fastResponses < 5 || slowResponses > 0.6*fastResponses ||
		overloaded > initialConcurrencyLimit {
		t.Errorf("limit %.2f at low load, want at most 1.5; %.2f with fast responses, want at least 5; "+
			"%.2f after 1 s of slow ones, want at most %.2f; %.2f after 3 s, want at most %.2f",
			lowLoad, fastResponses, slowResponses, 0.6*fastResponses, overloaded, initialConcurrencyLimit)
	}
	latency := &h.b.concurrency.latency
	if mean := latency.sum / latency.samples; latency.baseline > 0.12 || mean < 0.2 {
		t.Errorf("baseline latency %.2f, want at most 0.12; mean %.2f, want at least 0.2",
			latency.baseline, mean)
	}
}

// If endpoints can serve less than their nominal capacities say, the limit falls below its initial value. If
// endpoints have served the current load before and responses are slow for another reason, the limit does not
// fall.
func TestConcurrencyLimitIgnoresLatencyWithoutLoad(t *testing.T) {
	overratedEndpoints := newEndpoints(4)
	for i := range overratedEndpoints {
		overratedEndpoints[i].NominalCapacity = 10
	}
	h, peer := newPeers(t, overratedEndpoints)
	h.simulatePeerLoad(peer, 2, 0.1, 3000)
	h.simulatePeerLoad(peer, 6, 0.3, 20000) // by Little's law two of the six are in service
	overrated := h.b.concurrency.limit
	h, peer = newPeers(t, newEndpoints(4))
	h.simulatePeerLoad(peer, 1, 0.1, 3000)
	h.simulatePeerLoad(peer, 1, 0.2, 20000)
	sameLoad := h.b.concurrency.limit
	if overrated > 0.45 || overrated < 0.2 || sameLoad < initialConcurrencyLimit {
		t.Errorf("limit %.2f at a fifth of the nominal capacity, want 0.2 to 0.45; "+
			"%.2f with slow responses at the same load, want at least %.2f",
			overrated, sameLoad, initialConcurrencyLimit)
	}
}

// A restarted sidecar has not yet seen how fast responses can be. It must adopt the baseline latency of its
// peers, so that it does not take the latency in overload for normal. A single message must change the
// baseline by little.
func TestRestartedSidecarAdoptsPeerBaseline(t *testing.T) {
	h, peer := newPeers(t, newEndpoints(4))
	peer.b.concurrency.latency.baseline = 0.1
	h.simulatePeerLoad(peer, 1, 0.25, 50)
	if baseline := h.b.concurrency.latency.baseline; baseline < initialBaseline*0.9 {
		t.Errorf("baseline %.2f after one message, want at least %.2f", baseline, initialBaseline*0.9)
	}
	h.simulatePeerLoad(peer, 1, 0.25, baselineAdoptionTime)
	before := h.b.concurrency.latency.baseline
	if before > 0.2 {
		t.Errorf("baseline %.2f after %d ms of gossip, want at most 0.2", before, baselineAdoptionTime)
	}
	justStarted := h.b.now < h.b.concurrency.startedAt+baselineAdoptionTime
	for range 500 {
		h.b.concurrency.latency.mergeReport(h.b.now, latencyReport{baseline: 1}, justStarted)
	}
	if after := h.b.concurrency.latency.baseline; after < before {
		t.Errorf("baseline went from %.2f to %.2f by gossip long after the start, want it not to fall",
			before, after)
	}
}

// The limit and the baseline stay within a usable range if responses have a latency of zero, a tiny latency
// or a long latency.
func TestZeroLatencyResponses(t *testing.T) {
	h, peer := newPeers(t, newEndpoints(4))
	for _, latency := range []float64{0, 2, 0, 1e-9, 2} {
		h.simulatePeerLoad(peer, 2, latency, 2000)
	}
	limit, baseline := h.b.concurrency.limit, h.b.concurrency.latency.baseline
	if !(limit > 0.1 && limit < 1000) || !(baseline > 0) {
		t.Errorf("limit %v, want 0.1 to 1000; baseline %v, want above 0", limit, baseline)
	}
}
