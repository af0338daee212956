package balance

import (
	"math/rand"
	"testing"
)

// Configurations other than baseConfig keep the invariants of invariantChecker, and every request is
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
			cfg.ReportFields = []ReportField{FieldUtilization, FieldRate}
		},
		"zero latency objective and zero priority weight": func(cfg *Config, _ *int) {
			cfg.Classes[idempotentClass].LatencyObjective = 0
			cfg.Classes[nonIdempotentClass].PriorityWeight = 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, endpointCount := baseConfig(), 6
			change(&cfg, &endpointCount)
			c := newInvariantChecker(t, rand.New(rand.NewSource(7)), cfg)
			c.listAll(newEndpoints(endpointCount))
			started := 0
			for id := RequestID(1); id <= 400; id++ {
				started += c.sendRequestAndAnswerChecks(id)
				if id > 2 {
					c.serve(id - 2)
				}
			}
			for c.now += 1000; c.hasOpenRequests() && len(c.timers) > 0; c.now += 1000 {
				c.fireTimers()
			}
			if c.hasOpenRequests() || started < 300 {
				t.Fatalf("requests left unanswered: %v, want false; "+
					"attempts started: %d, want at least 300 for 400 requests", c.hasOpenRequests(), started)
			}
		})
	}
}

// listAll passes a snapshot of ready endpoints to the balancer.
func (c *invariantChecker) listAll(endpoints []Endpoint) {
	c.t.Helper()
	for i := range endpoints {
		c.endpoints[endpoints[i].ID] = &endpoints[i]
		c.usable[endpoints[i].ID] = true
	}
	c.handle(EndpointUpdate{Kind: Snapshot, Endpoints: endpoints})
}

// sendRequestAndAnswerChecks advances the clock, sends one request, answers all pending health checks and
// returns the number of attempts that were started for the request.
func (c *invariantChecker) sendRequestAndAnswerChecks(id RequestID) int {
	c.t.Helper()
	c.now += 9
	c.fireTimers()
	class := int(id) % len(c.cfg.Classes)
	c.open[id] = &openRequest{class: class, deadline: c.now + 300}
	c.handle(Request{ID: id, Class: class, Tenant: int(id) % 5, Timeout: 300})
	for len(c.pendingChecks) > 0 {
		checked := c.pendingChecks[0]
		c.pendingChecks = c.pendingChecks[1:]
		c.handle(HealthCheckResult{Endpoint: checked, LoadReport: []float32{1}})
	}
	return len(c.open[id].attempts)
}

// serve ends all attempts in flight of a request with success.
func (c *invariantChecker) serve(id RequestID) {
	c.t.Helper()
	r := c.open[id]
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight {
			continue
		}
		a.inFlight = false
		r.answered = true
		c.handle(AttemptResult{
			Request:       id,
			Attempt:       i,
			Endpoint:      a.endpoint.ID,
			Latency:       c.now - a.sentAt,
			RequestClosed: true,
		})
	}
}
