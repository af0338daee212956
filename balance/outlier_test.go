package balance

import "testing"

// Failures that two peers saw eject an endpoint, and responses to peers end the ejection. A single peer can
// neither eject an endpoint nor keep it ejected. Guards against the loss of some requests at each sidecar
// of a fleet: each of 80 sidecars had to learn from its own failed requests that an endpoint was dead.
func TestEndpointsFailingForPeersAreEjected(t *testing.T) {
	h := newHarness(t, gossipConfig(0), newEndpoints(8)...)
	e := h.b.endpoints[3]
	h.receiveFailures(1, e, 6)
	if e.outlier.ejected(h.b.now) {
		t.Fatal("an endpoint that failed a single peer is ejected")
	}
	h.receiveFailures(2, e, 3)
	if !e.outlier.ejected(h.b.now) {
		t.Fatal("an endpoint that failed two peers is not ejected")
	}
	for sender := 3; e.outlier.ejected(h.b.now) && sender < 10; sender++ {
		h.receiveSuccess(sender, e)
	}
	if e.outlier.ejected(h.b.now) {
		t.Fatal("an endpoint that responds to peers is still ejected")
	}
}

// Gossip must not eject more than half of the endpoints: where most endpoints fail, the cause is unlikely to
// lie in the endpoints.
func TestGossipEjectsAtMostHalfOfEndpoints(t *testing.T) {
	h := newHarness(t, gossipConfig(0), newEndpoints(8)...)
	ejected := 0
	for _, e := range h.b.endpoints {
		h.receiveFailures(1, e, 3)
		h.now += 2
		h.receiveFailures(2, e, 3)
		h.now += 2
		if e.outlier.ejected(h.b.now) {
			ejected++
		}
	}
	if ejected != 4 {
		t.Fatalf("%d of 8 endpoints are ejected by gossip, want 4", ejected)
	}
}

// Guards against counting congestion as errors of endpoints: in a congested fleet all responses are late.
// Once the responses of a class are known to be slow, an attempt of 430 ms with a latency objective of 300 ms
// is no error, but an attempt far slower than all others is an error.
func TestLatenessUnderCongestionIsNoError(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	latencies := []float64{370, 430, 400}
	for i := range 60 {
		id, actions := h.request(nonIdempotentClass)
		if !hasAction(actions, StartAttempt) {
			continue
		}
		latency := latencies[i%3]
		end := h.now + latency
		r := h.b.requests[id]
		for !r.closed && r.timerAt < end {
			h.now = r.timerAt
			h.handle(Timer{Token: uint64(id)})
		}
		h.now = end
		if i > 30 && r.attempts[0].overdue {
			t.Fatalf("request %d: its attempt of %v ms is overdue after %v ms", i, latency, r.overdueAfter())
		}
		h.finishAttempt(id, 0, OK, latency)
	}
	id, _ := h.request(nonIdempotentClass)
	r := h.b.requests[id]
	h.now = r.timerAt
	if h.now >= r.deadline {
		t.Fatal("no timer for the attempt before the request's deadline")
	}
	h.handle(Timer{Token: uint64(id)})
	if a := r.attempts[0]; !a.overdue || a.endpoint.outlier.consecutiveErrors != 1 {
		t.Fatalf("attempt far slower than all others: overdue %v, want true; consecutive errors %v, want 1",
			a.overdue, a.endpoint.outlier.consecutiveErrors)
	}
}

// A restart clears the outlier state of an endpoint, including its ejections and that it was unreachable.
func TestRestartClearsOutlierState(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	e := h.b.endpoints[0]
	h.handle(HealthCheckResult{Endpoint: e.ID, Result: TimedOut})
	if !e.outlier.unreachable || !e.outlier.ejected(h.b.now) {
		t.Fatal("a health check without response does not eject the endpoint")
	}
	entry := e.Endpoint
	entry.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	if e.outlier.unreachable || e.outlier.ejections != 0 || e.outlier.ejected(h.b.now) {
		t.Fatalf("after the restart: unreachable %v, %d ejections, ejected %v; want none",
			e.outlier.unreachable, e.outlier.ejections, e.outlier.ejected(h.b.now))
	}
}

// An endpoint is ejected after several consecutive errors and gets no requests while it is ejected. After its
// next response it is used as before.
func TestConsecutiveErrorsEjectAnEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	e := h.b.endpoints[0]
	for range consecutiveErrorsToEject - 1 {
		h.b.recordError(e, false)
	}
	if e.outlier.ejected(h.b.now) {
		t.Fatalf("ejected after %d errors, want %d", consecutiveErrorsToEject-1, consecutiveErrorsToEject)
	}
	h.b.recordError(e, false)
	if !e.outlier.ejected(h.b.now) {
		t.Fatalf("not ejected after %d errors", consecutiveErrorsToEject)
	}
	for range 12 {
		id, actions := h.request(idempotentClass)
		if target, _ := attemptTarget(actions); target == e.ID {
			t.Fatal("an ejected endpoint got a request")
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now = e.outlier.ejectedUntil
	for range 12 {
		id, actions := h.request(idempotentClass)
		target, _ := attemptTarget(actions)
		h.finishAttempt(id, 0, OK, 10)
		if target == e.ID && e.outlier.ejectedUntil == 0 && e.outlier.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatal("the endpoint was not used again after its ejection")
}

// Requests are sent even when all endpoints are ejected: the cause is then unlikely to lie in the endpoints.
func TestAllEjectedEndpointsAreStillUsed(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, e := range h.b.endpoints {
		h.b.recordError(e, true)
	}
	if _, actions := h.request(idempotentClass); !hasAction(actions, StartAttempt) {
		t.Fatalf("got actions %+v, want an attempt", actions)
	}
}
