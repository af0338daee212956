package balance

import "testing"

// healthCheckConfig returns a configuration in which load reports come in health check results only.
func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.HealthChecks = true
	cfg.ReportSource = ReportHealthCheck
	cfg.ReportFields = []ReportField{FieldInFlight}
	return cfg
}

// answerHealthChecks ends the health checks that the actions start. Checks of unreachable endpoints time out;
// the others report the given number of requests in flight. It returns the resulting actions.
func (h *harness) answerHealthChecks(
	actions []Action, inFlight float32, unreachable map[EndpointID]bool,
) []Action {
	h.t.Helper()
	var resultingActions []Action
	for _, a := range actions {
		if a.Kind != HealthCheck {
			continue
		}
		result := HealthCheckResult{Endpoint: a.Endpoint, LoadReport: []float32{inFlight}}
		if unreachable[a.Endpoint] {
			result = HealthCheckResult{Endpoint: a.Endpoint, Result: TimedOut}
		}
		resultingActions = append(resultingActions, h.handle(result)...)
	}
	return resultingActions
}

// countHealthChecks returns how many health checks the actions start.
func countHealthChecks(actions []Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == HealthCheck {
			n++
		}
	}
	return n
}

// An unreachable endpoint is ejected after a health check and used again once it responds. Guards against
// checking unreachable endpoints again for every request: this happened when links were cut, most health
// checks got lost, and the unreachable endpoints stayed next in the rotation.
func TestUnreachableEndpointsAreEjectedAndReturn(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	unreachable := map[EndpointID]bool{1: true, 2: true}
	for i := range 4 {
		id, actions := h.request(idempotentClass)
		if checks := len(actions) - 1; i > 0 && checks > 1 { // the other action is the timer
			t.Fatalf("request %d: %d health checks with two endpoints unreachable, want at most 1",
				id, checks)
		}
		target, ok := attemptTarget(h.answerHealthChecks(actions, 0, unreachable))
		if !ok || target != 3 {
			t.Fatalf("request %d: attempt at endpoint %d (%v), want 3", id, target, ok)
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	h.now += 10000 // the ejections have ended and the endpoints respond again
	used := map[EndpointID]bool{}
	for range 6 {
		id, actions := h.request(idempotentClass)
		target, _ := attemptTarget(h.answerHealthChecks(actions, 0, nil))
		used[target] = true
		h.finishAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("endpoints used after 1 and 2 came back: %v, want both among them", used)
	}
}

// An endpoint whose health check reports many requests is not picked. A sidecar with little traffic cannot
// see from its own requests which endpoints other sidecars keep busy.
func TestQueuedEndpointIsSkippedAfterHealthCheck(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	h.b.endpoints[0].rotation.currentWeight = 1000 // next in the rotation
	id, actions := h.request(idempotentClass)
	if hasAction(actions, StartAttempt) {
		t.Fatal("attempt started before the health checks ended")
	}
	h.handle(HealthCheckResult{Endpoint: 1, LoadReport: []float32{5}})
	h.handle(HealthCheckResult{Endpoint: 2, LoadReport: []float32{0}})
	actions = h.handle(HealthCheckResult{Endpoint: 3, LoadReport: []float32{4}})
	if target, ok := attemptTarget(actions); !ok || target != 2 {
		t.Fatalf("request %d: attempt at endpoint %d (%v), want the idle endpoint 2", id, target, ok)
	}
}

// A request waits for its health checks only for a small part of its latency objective.
func TestWaitForHealthChecksIsBounded(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	id, _ := h.request(idempotentClass)
	h.now = h.b.requests[id].timerAt
	actions := h.handle(Timer{Token: uint64(id)})
	if !hasAction(actions, StartAttempt) || h.now > 1000+0.1*300 {
		t.Fatalf("at %v ms: actions %+v, want an attempt by %v ms", h.now, actions, 1000+0.1*300)
	}
}

// Health checks lower the service level, so only a few are made while most endpoints are idle, as these find
// an idle endpoint. When all endpoints are busy, all are checked.
func TestHealthCheckFanoutFollowsBusyFraction(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(12)...)
	fanoutWith := func(inFlight float32) int { // fanout of the last of 60 requests
		fanout := 0
		for range 60 {
			h.now += 10
			id, actions := h.request(idempotentClass)
			fanout = countHealthChecks(actions)
			h.answerHealthChecks(actions, inFlight, nil)
			h.finishAttempt(id, 0, OK, 10)
		}
		return fanout
	}
	idle := fanoutWith(0)
	busy := fanoutWith(1)
	if idle > 3 || busy != 12 {
		t.Fatalf("%d endpoints checked when all are idle, want at most 3; %d when all are busy, want 12",
			idle, busy)
	}
}
