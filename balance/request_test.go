package balance

import "testing"

// A request that arrives without time left is rejected on arrival and starts no attempt.
func TestExpiredRequestIsAnsweredImmediately(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	actions := h.handle(Request{ID: 1, Class: nonIdempotentClass, Timeout: 0})
	if !hasAction(actions, Reject) || hasAction(actions, StartAttempt) {
		t.Fatalf("request without time left: got actions %+v, want a rejection only", actions)
	}
}

// A request without an eligible endpoint waits and is rejected by its deadline.
func TestNoEligibleEndpoint(t *testing.T) {
	draining := newEndpoints(3)
	for i := range draining {
		draining[i].Lifecycle = Draining
	}
	for name, endpoints := range map[string][]Endpoint{"no endpoints": nil, "all draining": draining} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), endpoints...)
			id, actions := h.request(nonIdempotentClass)
			if hasAction(actions, StartAttempt) || !hasAction(actions, SetTimer) {
				t.Fatalf("got actions %+v, want a timer and no attempt", actions)
			}
			rejected := false
			for h.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
				h.now += 10
				rejected = rejected || hasAction(h.handle(Timer{Token: uint64(id)}), Reject)
			}
			if !rejected || len(h.b.requests) != 0 {
				t.Fatalf("rejected by its deadline: %v, want true; %d requests left, want 0",
					rejected, len(h.b.requests))
			}
		})
	}
}

// Guards against a request that gets no response at its deadline: under overload a timer fired early by a
// rounding error and was not set again.
func TestEarlyTimerIsRescheduled(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	id, _ := h.request(nonIdempotentClass)
	h.now = h.b.requests[id].timerAt - 1e-4
	if actions := h.handle(Timer{Token: uint64(id)}); !hasAction(actions, SetTimer) {
		t.Fatalf("early timer: got actions %+v, want another timer", actions)
	}
}

// After the start of a streamed response the request has no deadline, is not retried and gets no other
// response.
func TestStreamingResponseIsNotInterrupted(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Stream = true
	h := newHarness(t, cfg, newEndpoints(3)...)
	id, actions := h.request(idempotentClass)
	target, _ := attemptTarget(actions)
	h.handle(ResponseStarted{Request: id, Endpoint: target, Latency: 20})
	h.now += 5000
	actions = h.handle(Timer{Token: uint64(id)})
	if hasAction(actions, Fail) || hasAction(actions, Reject) || hasAction(actions, StartAttempt) {
		t.Fatalf("running stream: got actions %+v, want no retry and no final response", actions)
	}
	h.handle(AttemptResult{Request: id, Endpoint: target, Result: Reset, Latency: 5000, RequestClosed: true})
	if len(h.b.requests) != 0 {
		t.Fatalf("%d requests left after the end of the stream, want 0", len(h.b.requests))
	}
}

// On shutdown every request gets the final response that its class allows, in time: requests in flight,
// waiting requests and requests that arrive later.
func TestShutdownAnswersAllRequests(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	idempotent, _ := h.request(idempotentClass)
	nonIdempotent, _ := h.request(nonIdempotentClass)
	for _, a := range h.handle(Shutdown{Timeout: 100}) {
		if a.Kind != SetTimer || a.Delay > 100 {
			t.Errorf("on shutdown: got action %+v, want timers of at most 100 ms", a)
		}
	}
	h.now += 50
	late, _ := h.request(idempotentClass)
	if r := h.b.requests[late]; r.deadline != h.now+50 {
		t.Errorf("request 50 ms before the process ends: deadline in %v ms, want 50", r.deadline-h.now)
	}
	h.now += 50
	responses := map[RequestID]ActionKind{}
	for _, id := range []RequestID{idempotent, nonIdempotent, late} {
		for _, a := range h.handle(Timer{Token: uint64(id)}) {
			if a.Kind == Reject || a.Kind == Fail {
				responses[a.Request] = a.Kind
			}
		}
	}
	if responses[idempotent] != Reject || responses[nonIdempotent] != Fail ||
		responses[late] != Reject || len(responses) != 3 {
		t.Errorf("got final responses %v, want request %d rejected (%d), %d failed (%d), %d rejected",
			responses, idempotent, Reject, nonIdempotent, Fail, late)
	}
	id, actions := h.request(nonIdempotentClass)
	if !hasAction(actions, Reject) || hasAction(actions, StartAttempt) {
		t.Errorf("request %d after the end: got actions %+v, want a rejection only", id, actions)
	}
}

// waitingRequest is a test case in which a request waits until a condition is met.
type waitingRequest struct {
	configure func(*Config)
	endpoints []Endpoint
	prepare   func(*harness)            // makes the request wait; may be nil
	resume    func(*harness, RequestID) // meets the condition that the request waits for
	sent      bool                      // the request has an attempt in flight while it waits
}

// Guards against an attempt for a request whose client canceled while the request waited. No attempt is
// started when the health checks end, when the slow-start budget allows one, when an endpoint is listed, or
// when the first attempt fails and a retry would follow.
func TestNoAttemptAfterClientCanceled(t *testing.T) {
	for name, c := range map[string]waitingRequest{
		"waits for health checks": {
			configure: func(cfg *Config) {
				cfg.HealthChecks = true
				cfg.ReportSource = ReportHealthCheck
				cfg.ReportFields = []ReportField{FieldInFlight}
			},
			endpoints: newEndpoints(3),
			resume: func(h *harness, _ RequestID) {
				for id := range 3 {
					h.handle(HealthCheckResult{Endpoint: EndpointID(id + 1), LoadReport: []float32{0}})
				}
			},
		},
		"waits for an endpoint": {
			resume: func(h *harness, _ RequestID) {
				h.handle(EndpointUpdate{Kind: Snapshot, Endpoints: newEndpoints(3)})
			},
		},
		"waits for slow-start budget": {
			endpoints: []Endpoint{{ID: 1, NominalCapacity: 1, StartedAt: 999}},
			prepare:   func(h *harness) { h.b.endpoints[0].warmUp.tokens = -1e6 },
			resume:    func(h *harness, _ RequestID) { h.b.endpoints[0].warmUp.tokens = 1e6 },
		},
		"waits for its attempt": {
			endpoints: newEndpoints(3),
			resume: func(h *harness, id RequestID) {
				if h.b.requests[id] != nil {
					h.finishAttempt(id, 0, ConnectFailed, 1)
				}
			},
			sent: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.check(t, false)
			c.check(t, true)
		})
	}
}

// check makes the request wait, ends the wait, and expects a further attempt unless the client canceled.
func (c waitingRequest) check(t *testing.T, cancel bool) {
	t.Helper()
	cfg := baseConfig()
	cfg.CancelAttempts = false
	if c.configure != nil {
		c.configure(&cfg)
	}
	h := newHarness(t, cfg, c.endpoints...)
	if c.prepare != nil {
		c.prepare(h)
	}
	id, actions := h.request(idempotentClass)
	if _, sent := attemptTarget(actions); sent != c.sent {
		t.Fatalf("attempt on arrival: %v, want %v", sent, c.sent)
	}
	if cancel {
		h.handle(ClientCanceled{Request: id})
	}
	before := len(h.actions)
	c.resume(h, id)
	for range 20 {
		h.now += 5
		h.handle(Timer{Token: uint64(id)})
	}
	if _, sent := attemptTarget(h.actions[before:]); sent == cancel {
		t.Errorf("client canceled %v: further attempt %v, want %v", cancel, sent, !cancel)
	}
}

// Guards against a memory leak: when health checks were too expensive to send any, every request stayed
// forever in the list of requests that wait for health checks.
func TestAnsweredRequestsAreForgotten(t *testing.T) {
	for _, cost := range []float64{0.0001, 0.05} {
		cfg := healthCheckConfig()
		cfg.Penalties.HealthCheck = cost
		h := newHarness(t, cfg, newEndpoints(3)...)
		for range 100 {
			id, actions := h.request(idempotentClass)
			h.answerHealthChecks(actions, 0, nil)
			h.finishAttempt(id, 0, OK, 10)
			h.now += 100
		}
		if len(h.b.requests) != 0 || len(h.b.healthChecks.waiting) != 0 {
			t.Errorf("health check cost %v: %d requests kept and %d waiting after all were answered, "+
				"want none", cost, len(h.b.requests), len(h.b.healthChecks.waiting))
		}
	}
}
