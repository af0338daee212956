package balance

import (
	"fmt"
	"math/rand"
	"testing"
)

// Settings apart from the base configuration. Each run checks rules 1 to 3 as it goes.
func TestAlternativeConfigs(t *testing.T) {
	for name, change := range map[string]func(*Config, *int){
		"one server":  func(_ *Config, n *int) { *n = 1 },
		"hundreds":    func(_ *Config, n *int) { *n = 300 },
		"one attempt": func(c *Config, _ *int) { c.MaxAttempts = 1 },
		"no cancels":  func(c *Config, _ *int) { c.CancelAttempts, c.Hedging = false, false },
		"streams":     func(c *Config, _ *int) { c.Classes[idempotentClass].Stream = true },
		"tenants":     func(c *Config, _ *int) { c.Tenants = []Tenant{{QuotaShare: 0.9}, {QuotaShare: 0.1}, {}} },
		"no cold rule": func(c *Config, _ *int) {
			c.SlowStartDuration, c.OverloadWindow, c.OverloadFactor, c.SlowStartFraction = 0, 0, 0, 0
		},
		"probes, free": func(c *Config, _ *int) {
			c.HealthChecks, c.ReportSource, c.ReportFields = true, ReportHealthCheck, []ReportField{FieldInFlight}
		},
		"probes, dear": func(c *Config, _ *int) {
			c.HealthChecks, c.ReportSource, c.Penalties.HealthCheck = true, ReportHealthCheck, 10
		},
		"probes, no field": func(c *Config, _ *int) {
			c.HealthChecks, c.ReportSource, c.ReportFields = true, ReportHealthCheck, []ReportField{FieldUnknown}
		},
		"piggyback": func(c *Config, _ *int) {
			c.ReportSource, c.ReportFields = ReportPiggyback, []ReportField{FieldUtil, FieldRate}
		},
		"aims of zero": func(c *Config, _ *int) {
			c.Classes[idempotentClass].LatencyObjective, c.Classes[nonIdempotentClass].PriorityWeight = 0, 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, n := baseConfig(), 6
			change(&cfg, &n)
			w := newWorld(t, rand.New(rand.NewSource(7)), cfg)
			list := newEndpoints(n)
			for i := range list {
				w.endpoints[list[i].ID], w.known[list[i].ID] = &list[i], true
			}
			w.handle(EndpointUpdate{Kind: Snapshot, Endpoints: list})
			sent := 0
			for id := RequestID(1); id <= 400; id++ {
				w.now += 9
				w.fireTimers()
				class := int(id) % len(cfg.Classes)
				w.open[id] = &openRequest{class: class, deadline: w.now + 300}
				w.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Timeout: 300})
				for len(w.pendingChecks) > 0 {
					s := w.pendingChecks[0]
					w.pendingChecks = w.pendingChecks[1:]
					w.handle(HealthCheckResult{Endpoint: s, LoadReport: []float32{1}})
				}
				sent += len(w.open[id].attempts)
				if id > 2 {
					w.serve(id - 2)
				}
			}
			for w.now += 1000; w.anyOpen() && len(w.timers) > 0; w.now += 1000 {
				w.fireTimers()
			}
			if w.anyOpen() || sent < 300 {
				t.Fatalf("unanswered requests: %v; %d of 400 sent", w.anyOpen(), sent)
			}
		})
	}
}

// serve answers what is out for a request, if anything is.
func (w *world) serve(id RequestID) {
	o := w.open[id]
	for i := range o.attempts {
		if a := &o.attempts[i]; a.inFlight {
			a.inFlight, o.answered = false, true
			w.handle(AttemptResult{Request: id, Attempt: i, Endpoint: a.endpoint.ID, Latency: w.now - a.sentAt, RequestClosed: true})
		}
	}
}

// What has ended is forgotten: requests, servers that are gone, probes that are waited for.
func TestMemoryIsBounded(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), newEndpoints(5)...)
	for i := range 20000 {
		g.actions = g.actions[:0]
		g.now += 5
		id, acts := g.request(idempotentClass)
		acts = append(acts, g.answerHealthChecks(acts, 0, nil)...)
		if _, ok := attemptTarget(acts); ok {
			g.finishAttempt(id, 0, OK, 5)
		}
		if i%20 == 0 { // a rolling deploy: new names all the time
			list := newEndpoints(5)
			for k := range list {
				list[k].ID = EndpointID(i + k + 1)
			}
			g.handle(EndpointUpdate{Kind: Snapshot, Endpoints: list})
		}
	}
	b := g.b
	if len(b.requests) > 1 || len(b.endpoints) != 5 || len(b.endpointByID) != 5 || len(b.awaitingChecks) > 1 || cap(b.actions) > 100 {
		t.Fatalf("%d requests, %d servers, %d by ID, %d waiting, room for %d actions",
			len(b.requests), len(b.endpoints), len(b.endpointByID), len(b.awaitingChecks), cap(b.actions))
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000} { // the figures count as ratios: with a subset they hardly grow
		b.Run(fmt.Sprintf("%d-servers", n), func(b *testing.B) {
			cfg := baseConfig()
			cfg.PeerCount = 10 * n
			bal := New(cfg)
			bal.Start(0)
			if _, err := bal.Handle(0, EndpointUpdate{Kind: Snapshot, Endpoints: newEndpoints(n)}); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			now := 0.0
			for i := range b.N {
				now += 5
				id := RequestID(i + 1)
				acts, err := bal.Handle(now, Request{ID: id, Timeout: 1500})
				if err != nil || len(acts) == 0 {
					b.Fatal(err, acts)
				}
				if acts[0].Kind != StartAttempt {
					continue
				}
				if _, err := bal.Handle(now+4, AttemptResult{Request: id, Endpoint: acts[0].Endpoint, Latency: 4, RequestClosed: true}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
