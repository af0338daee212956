package balance

import (
	"math/rand"
	"testing"
)

// Configurations other than the base one keep the invariants that world checks, and all requests are
// answered.
func TestAlternativeConfigs(t *testing.T) {
	for name, change := range map[string]func(cfg *Config, endpointCount *int){
		"one endpoint":          func(_ *Config, endpointCount *int) { *endpointCount = 1 },
		"hundreds of endpoints": func(_ *Config, endpointCount *int) { *endpointCount = 300 },
		"one attempt":           func(cfg *Config, _ *int) { cfg.MaxAttempts = 1 },
		"no cancellation":       func(cfg *Config, _ *int) { cfg.CancelAttempts, cfg.Hedging = false, false },
		"streams":               func(cfg *Config, _ *int) { cfg.Classes[idempotentClass].Stream = true },
		"tenants": func(cfg *Config, _ *int) {
			cfg.Tenants = []Tenant{{QuotaShare: 0.9}, {QuotaShare: 0.1}, {}}
		},
		"no slow start": func(cfg *Config, _ *int) {
			cfg.SlowStartDuration = 0
			cfg.OverloadWindow = 0
			cfg.OverloadFactor = 0
			cfg.SlowStartFraction = 0
		},
		"free health checks": func(cfg *Config, _ *int) {
			cfg.HealthChecks = true
			cfg.ReportSource = ReportHealthCheck
			cfg.ReportFields = []ReportField{FieldInFlight}
		},
		"expensive health checks": func(cfg *Config, _ *int) {
			cfg.HealthChecks = true
			cfg.ReportSource = ReportHealthCheck
			cfg.Penalties.HealthCheck = 10
		},
		"health checks without a known report field": func(cfg *Config, _ *int) {
			cfg.HealthChecks = true
			cfg.ReportSource = ReportHealthCheck
			cfg.ReportFields = []ReportField{FieldUnknown}
		},
		"piggybacked load reports": func(cfg *Config, _ *int) {
			cfg.ReportSource = ReportPiggyback
			cfg.ReportFields = []ReportField{FieldUtil, FieldRate}
		},
		"zero latency objective and zero priority weight": func(cfg *Config, _ *int) {
			cfg.Classes[idempotentClass].LatencyObjective = 0
			cfg.Classes[nonIdempotentClass].PriorityWeight = 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, endpointCount := baseConfig(), 6
			change(&cfg, &endpointCount)
			w := newWorld(t, rand.New(rand.NewSource(7)), cfg)
			w.listAll(newEndpoints(endpointCount))
			started := 0
			for id := RequestID(1); id <= 400; id++ {
				started += w.requestAndCheck(id)
				if id > 2 {
					w.serve(id - 2)
				}
			}
			for w.now += 1000; w.anyOpen() && len(w.timers) > 0; w.now += 1000 {
				w.fireTimers()
			}
			if w.anyOpen() || started < 300 {
				t.Fatalf("requests left unanswered: %v, want false; "+
					"attempts started: %d, want at least 300 for 400 requests", w.anyOpen(), started)
			}
		})
	}
}

// listAll hands the balancer a snapshot of ready endpoints.
func (w *world) listAll(endpoints []Endpoint) {
	w.t.Helper()
	for i := range endpoints {
		w.endpoints[endpoints[i].ID] = &endpoints[i]
		w.usable[endpoints[i].ID] = true
	}
	w.handle(EndpointUpdate{Kind: Snapshot, Endpoints: endpoints})
}

// requestAndCheck advances the clock, sends one request, answers all pending health checks and returns how
// many attempts were started for the request.
func (w *world) requestAndCheck(id RequestID) int {
	w.t.Helper()
	w.now += 9
	w.fireTimers()
	class := int(id) % len(w.cfg.Classes)
	w.open[id] = &openRequest{class: class, deadline: w.now + 300}
	w.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Timeout: 300})
	for len(w.pendingChecks) > 0 {
		checked := w.pendingChecks[0]
		w.pendingChecks = w.pendingChecks[1:]
		w.handle(HealthCheckResult{Endpoint: checked, LoadReport: []float32{1}})
	}
	return len(w.open[id].attempts)
}

// serve ends the attempts that are in flight for a request with success.
func (w *world) serve(id RequestID) {
	w.t.Helper()
	r := w.open[id]
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		a.inFlight = false
		r.answered = true
		w.handle(AttemptResult{
			Request:       id,
			Attempt:       i,
			Endpoint:      a.endpoint.ID,
			Latency:       w.now - a.sentAt,
			RequestClosed: true,
		})
	}
}
