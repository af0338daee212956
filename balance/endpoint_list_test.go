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

// Guards against a restarted endpoint that passes for warm, or is not seen to have restarted at all, because the wall
// clocks of two machines differ. A plausible start keeps its age.
func TestRestartIsColdWhateverTheClocksShow(t *testing.T) {
	const hour, listed, told = 3600 * 1000.0, 2 * 3600 * 1000.0, 2*3600*1000.0 + 20000
	for _, test := range []struct {
		name      string
		startedAt float64
		wantStart float64
	}{
		{"own clock an hour ahead", told - hour, told},
		{"own clock an hour behind", told + hour, told},
		{"endpoint's clock stepped back by 15 minutes", listed - hour/4, told},
		{"own clock 60 s ahead", told - 60000, told},
		{"restarted 15 s ago", told - 15000, told - 15000},
		{"restarted just before discovery stated the old start", listed - 5000, listed - 5000},
	} {
		entry := newEndpoints(1)[0]
		entry.StartedAt = listed - 600
		h := newHarness(t, baseConfig())
		h.now = listed
		h.handle(EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{entry}})
		h.now = told
		entry.StartedAt = test.startedAt
		h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
		if got := h.b.endpoints[0].warmUp.start; got != test.wantStart {
			t.Errorf("%s: warm-up from %v, want %v", test.name, got, test.wantStart)
		}
	}
	for startedAt, want := range map[float64]float64{told - hour: told, told - 30000: told - 30000} {
		h := newHarness(t, baseConfig(), newEndpoints(1)...)
		h.now = told
		h.handle(EndpointUpdate{Kind: Snapshot, Endpoints: newEndpoints(1)})
		added := newEndpoints(2)[1]
		added.StartedAt = startedAt
		h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{added}})
		if got := h.b.endpoints[1].warmUp.start; got != want {
			t.Errorf("new endpoint started at %v: warm-up from %v, want %v", startedAt, got, want)
		}
	}
}
