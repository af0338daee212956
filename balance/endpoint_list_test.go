package balance

import "testing"

// A draining endpoint and an endpoint that a snapshot does not list get no new attempts.
func TestDrainingEndpointGetsNoNewAttempts(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(2)...)
	entry := newEndpoints(1)[0]
	entry.Lifecycle = Draining
	h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	for range 20 {
		id, actions := h.request(idempotentClass)
		if got, _ := attemptTarget(actions); got != 2 {
			t.Fatalf("request %d: attempt at endpoint %d, want 2", id, got)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	entry.Lifecycle = Ready
	h.handle(EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{entry}}) // without endpoint 2
	id, actions := h.request(idempotentClass)
	if got, _ := attemptTarget(actions); got != 1 {
		t.Fatalf("request %d: attempt at endpoint %d, want 1", id, got)
	}
}
