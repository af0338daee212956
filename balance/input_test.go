package balance

import (
	"math"
	"reflect"
	"strings"
	"testing"
)

// An invalid event results in an error that names the fault, and leaves the balancer unchanged.
func TestHandleRejectsInvalidEvents(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	id, _ := h.request(idempotentClass)
	before, requestBefore := *h.b, *h.b.requests[id]
	for _, c := range []struct {
		event     Event
		wantError string // substring of the error text
	}{
		{event: Request{ID: 50, Class: 99}, wantError: "unknown class 99"},
		{event: Request{ID: 50, Class: -1}, wantError: "unknown class -1"},
		{event: Request{ID: id, Class: nonIdempotentClass, Timeout: 100}, wantError: "in use"},
		{event: AttemptResult{Request: 77}, wantError: "request 77, attempt 0"},
		{event: AttemptResult{Request: id, Attempt: -1}, wantError: "attempt -1"},
		{event: AttemptResult{Request: id, Attempt: 1}, wantError: "attempt 1"},
	} {
		actions, err := h.b.Handle(h.now, c.event)
		if err == nil || !strings.Contains(err.Error(), c.wantError) || len(actions) > 0 {
			t.Errorf("%+v: got error %v, want one with %q; got actions %v, want none",
				c.event, err, c.wantError, actions)
		}
		after := *h.b
		after.actions = before.actions
		if !reflect.DeepEqual(after, before) || !reflect.DeepEqual(*h.b.requests[id], requestBefore) {
			t.Errorf("%+v changed the balancer", c.event)
		}
	}
}

// Events about unknown requests, endpoints and peers, which may be late or meant for others, are ignored.
func TestHandleIgnoresUnknownIDs(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, event := range []Event{
		ClientCanceled{Request: 9},
		Timer{Token: 9},
		HealthCheckResult{Endpoint: 99, Result: TimedOut},
		ResponseStarted{Request: 9},
		GossipMessage{Sender: 7, Data: []byte("\x01wrong")},
		GossipMessage{Sender: -1},
		EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{ID: 99, Lifecycle: Removed}}},
	} {
		if actions := h.handle(event); len(actions) > 0 {
			t.Errorf("%+v: got actions %+v, want none", event, actions)
		}
	}
	actions := h.handle(Request{ID: 1, Tenant: 50, Timeout: 100}) // an unknown tenant counts as none
	noTenant := h.b.demand.tenants[len(h.b.demand.tenants)-1]
	if !hasAction(actions, StartAttempt) || noTenant.requested != 2 {
		t.Fatalf("request of an unknown tenant: got actions %+v, want an attempt; "+
			"%v requests without tenant, want 2", actions, noTenant.requested)
	}
}

// Guards against invalid weights and timer delays that come from negative or non-finite numbers in settings,
// endpoint lists, load reports and times.
func TestNonFiniteInputsAreContained(t *testing.T) {
	for _, invalid := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		cfg := configWith(invalid)
		endpoints := newEndpoints(4)
		for i := range endpoints {
			endpoints[i].NominalCapacity, endpoints[i].StartedAt = invalid, invalid
		}
		h := newHarness(t, cfg, endpoints...)
		for i := range 40 {
			class := i % len(cfg.Classes)
			id, actions := h.request(class)
			if i%2 == 0 {
				actions = h.handle(Request{ID: RequestID(1000 + i), Class: class, Timeout: invalid})
			}
			actions = append(actions, h.answerHealthChecks(actions, float32(invalid), nil)...)
			if r := h.b.requests[id]; r != nil && r.inFlight > 0 {
				actions = append(actions, h.finishAttempt(id, 0, OK, invalid)...)
			}
			for _, a := range actions {
				if !(a.Delay >= 0) || math.IsInf(a.Delay, 0) {
					t.Fatalf("input %v: action %+v, want a finite delay of at least 0", invalid, a)
				}
			}
			h.now += 10
		}
		if _, err := h.b.Handle(invalid, Timer{}); err != nil || h.b.now != h.now-10 {
			t.Fatalf("event at time %v: balancer's time is %v, want %v; error %v, want none",
				invalid, h.b.now, h.now-10, err)
		}
		for _, e := range h.b.endpoints {
			weight := h.b.weightOf(e)
			if !(weight > 0) || math.IsInf(weight, 0) || math.IsNaN(e.rotation.currentWeight) {
				t.Errorf("input %v: endpoint %d has weight %v, current weight %v, want finite ones",
					invalid, e.ID, weight, e.rotation.currentWeight)
			}
		}
	}
}

// configWith returns settings in which many numbers have the given value.
func configWith(value float64) Config {
	cfg := healthCheckConfig()
	cfg.BatchInterval = value
	cfg.SlowStartFraction = value
	cfg.SlowStartDuration = value
	cfg.OverloadFactor = value
	cfg.OverloadWindow = value
	cfg.PollInterval = value
	cfg.Penalties.CrossZone = value
	cfg.Penalties.HealthCheck = value
	cfg.Goal.WorstClass = value
	cfg.Tenants = []Tenant{{QuotaShare: value, QuotaRate: value}}
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		class.LatencyObjective = value
		class.Deadline = value
		class.PriorityWeight = value
		class.LateWeight = value
		class.DedupWindow = value
	}
	return cfg
}

// Each request gets one final response in time, even if the endpoint list is empty or nothing is ready.
func TestEveryRequestIsAnsweredForAnyEndpointList(t *testing.T) {
	draining := newEndpoints(3)
	for i := range draining {
		draining[i].Lifecycle = Draining
	}
	for name, endpoints := range map[string][]Endpoint{
		"no endpoints": nil,
		"one endpoint": newEndpoints(1),
		"all draining": draining,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), endpoints...)
			for class := range h.b.cfg.Classes {
				id, _ := h.request(class)
				responses := 0
				for end := h.b.requests[id].deadline; h.now <= end && responses == 0; h.now += 5 {
					actions := h.handle(Timer{Token: uint64(id)})
					if hasAction(actions, Reject) || hasAction(actions, Fail) {
						responses++
					}
				}
				if responses != 1 {
					t.Errorf("class %d: %d final responses in time, want 1", class, responses)
				}
			}
		})
	}
}
