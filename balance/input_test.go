package balance

import (
	"math"
	"reflect"
	"strings"
	"testing"
)

// An event that cannot be is an error that says what was wrong, and leaves the balancer as it was.
func TestHandleRejectsInvalidEvents(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(3)...)
	id, _ := g.request(idempotentClass)
	before, r := *g.b, *g.b.requests[id]
	for _, c := range []struct {
		ev   Event
		says string
	}{
		{Request{ID: 50, Class: 99}, "unknown class 99"},
		{Request{ID: 50, Class: -1}, "unknown class -1"},
		{Request{ID: id, Class: nonIdempotentClass, Timeout: 100}, "in use"},
		{AttemptResult{Request: 77}, "request 77, attempt 0"},
		{AttemptResult{Request: id, Attempt: -1}, "attempt -1"},
		{AttemptResult{Request: id, Attempt: 1}, "attempt 1"},
	} {
		acts, err := g.b.Handle(g.now, c.ev)
		if err == nil || !strings.Contains(err.Error(), c.says) || len(acts) > 0 {
			t.Errorf("%+v: error %v, actions %v", c.ev, err, acts)
		}
		after := *g.b
		after.actions = before.actions
		if !reflect.DeepEqual(after, before) || !reflect.DeepEqual(*g.b.requests[id], r) {
			t.Errorf("%+v changed the balancer", c.ev)
		}
	}
}

func TestHandleIgnoresUnknownIDs(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, ev := range []Event{
		ClientCanceled{Request: 9}, Timer{Token: 9}, HealthCheckResult{Endpoint: 99, Result: TimedOut}, ResponseStarted{Request: 9},
		GossipMessage{Sender: 7, Data: []byte("\x01wrong")}, GossipMessage{Sender: -1},
		EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{ID: 99, Lifecycle: Removed}}},
	} {
		if acts := g.handle(ev); len(acts) > 0 {
			t.Errorf("%+v: %+v", ev, acts)
		}
	}
	acts := g.handle(Request{ID: 1, Tenant: 50, Timeout: 100}) // an unknown tenant counts as none
	if !hasAction(acts, StartAttempt) || g.b.tenants[len(g.b.tenants)-1].requested != 2 {
		t.Fatalf("a request of an unknown tenant: %+v", acts)
	}
}

// Numbers that are not finite or below zero, in settings, lists, reports and times, reach no weight and no timer.
func TestNonFiniteInputsAreContained(t *testing.T) {
	for _, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5} {
		cfg := healthCheckConfig()
		cfg.BatchInterval, cfg.SlowStartFraction, cfg.SlowStartDuration, cfg.OverloadFactor, cfg.OverloadWindow = odd, odd, odd, odd, odd
		cfg.PollInterval, cfg.Penalties.CrossZone, cfg.Penalties.HealthCheck, cfg.Goal.WorstClass = odd, odd, odd, odd
		cfg.Tenants = []Tenant{{QuotaShare: odd, QuotaRate: odd}}
		for i := range cfg.Classes {
			c := &cfg.Classes[i]
			c.LatencyObjective, c.Deadline, c.PriorityWeight, c.LateWeight, c.DedupWindow = odd, odd, odd, odd, odd
		}
		servers := newEndpoints(4)
		for i := range servers {
			servers[i].NominalCapacity, servers[i].StartedAt = odd, odd
		}
		g := newHarness(t, cfg, servers...)
		for i := range 40 {
			id, acts := g.request(i % len(cfg.Classes))
			if i%2 == 0 {
				acts = g.handle(Request{ID: RequestID(1000 + i), Class: i % len(cfg.Classes), Timeout: odd})
			}
			acts = append(acts, g.answerHealthChecks(acts, float32(odd), nil)...)
			if r := g.b.requests[id]; r != nil && r.inFlight > 0 {
				acts = append(acts, g.finishAttempt(id, 0, OK, odd)...)
			}
			for _, a := range acts {
				if !(a.Delay >= 0) || math.IsInf(a.Delay, 0) {
					t.Fatalf("%v: action %+v", odd, a)
				}
			}
			g.now += 10
		}
		if _, err := g.b.Handle(odd, Timer{}); err != nil || g.b.now != g.now-10 {
			t.Fatalf("%v as the time: now %v, error %v", odd, g.b.now, err)
		}
		for _, s := range g.b.endpoints {
			if w := g.b.weightOf(s); !(w > 0) || math.IsInf(w, 0) || math.IsNaN(s.currentWeight) {
				t.Errorf("%v: server %d has weight %v, running value %v", odd, s.ID, w, s.currentWeight)
			}
		}
	}
}

// An empty list, one server, all draining: each request still gets one final answer in time.
func TestEveryRequestIsAnsweredForAnyEndpointList(t *testing.T) {
	draining := newEndpoints(3)
	for i := range draining {
		draining[i].Lifecycle = Draining
	}
	for name, servers := range map[string][]Endpoint{"empty": nil, "one": newEndpoints(1), "all draining": draining} {
		g := newHarness(t, baseConfig(), servers...)
		for class := range g.b.cfg.Classes {
			id, _ := g.request(class)
			finals := 0
			for end := g.b.requests[id].deadline; g.now <= end && finals == 0; g.now += 5 {
				acts := g.handle(Timer{Token: uint64(id)})
				if hasAction(acts, Reject) || hasAction(acts, Fail) {
					finals++
				}
			}
			if finals != 1 {
				t.Errorf("%s, class %d: %d answers in time", name, class, finals)
			}
		}
	}
}
