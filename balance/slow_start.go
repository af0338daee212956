package balance

import "math"

const (
	slowStartBudgetPart = 0.5  // of the allowed overload factor that this sidecar's budget may use
	slowStartBurstPart  = 0.25 // of the overload window for which the budget is saved up
	minWeightInUse      = 1e-6
)

// slowStart limits what an endpoint gets while it warms up.
type slowStart struct {
	initialFraction float64 // of its capacity, at the start
	duration        float64
	overloadFactor  float64
	overloadWindow  float64

	// responsesPerWeight counts responses, each as a part of the weight that was in use: it gives the rate
	// that an endpoint of some weight serves this sidecar. It does not count requests, which clients retry in
	// overload.
	responsesPerWeight rateMeter
	weightInUse        float64 // at the last first attempt, whatever the endpoints' errors
}

// warmUpState is an endpoint's part in it.
type warmUpState struct {
	since      float64 // the start of its last warm-up
	tokens     float64 // attempts left in the budget
	refilledAt float64
}

func newSlowStart(cfg *Config, longestObjective float64) slowStart {
	return slowStart{
		initialFraction:    cfg.SlowStartFraction,
		duration:           cfg.SlowStartDuration,
		overloadFactor:     cfg.OverloadFactor,
		overloadWindow:     cfg.OverloadWindow,
		responsesPerWeight: newRateMeter(longestObjective),
	}
}

func (s *slowStart) warmingUp(e *endpoint, now float64) bool { return now < e.warmUp.since+s.duration }

// capacityFraction is the least fraction of its capacity that an endpoint that warms up has.
func (s *slowStart) capacityFraction(e *endpoint, now float64) float64 {
	age := math.Max(0, now-e.warmUp.since) / s.duration
	return s.initialFraction + (1-s.initialFraction)*math.Min(1, age)
}

// countResponse takes in a response, for the weight that was in use when it came.
func (s *slowStart) countResponse(now float64) {
	s.responsesPerWeight.add(now, 1/math.Max(s.weightInUse, minWeightInUse))
}

// hasBudget refills an endpoint's budget and reports whether an attempt is left in it: a hard limit, also for
// retries. The budget is a part of the allowed multiple of the rate at which endpoints of this weight serve
// the sidecar. The share of endpoints that died or are unhealthy does not add to it; and few responses are
// assumed, else the budgets of many sidecars with little traffic would add up to too much.
func (s *slowStart) hasBudget(e *endpoint, now float64) bool {
	assumed := 1 / math.Max(s.weightInUse, e.rotation.weight)
	served := s.responsesPerWeight.rate(now, assumed) * e.rotation.weight
	refill := served * math.Max(1, slowStartBudgetPart*s.overloadFactor)
	burst := math.Max(1, refill*s.overloadWindow*slowStartBurstPart)
	e.warmUp.tokens = math.Min(e.warmUp.tokens+refill*(now-e.warmUp.refilledAt), burst)
	e.warmUp.refilledAt = now
	return e.warmUp.tokens >= 1
}

func (b *Balancer) slowStartAllows(e *endpoint) bool {
	return !b.slowStart.warmingUp(e, b.now) || b.slowStart.hasBudget(e, b.now)
}

// beginSlowStart begins an endpoint's warm-up. The first budget is random, so that the first attempts of all
// sidecars do not meet.
func (b *Balancer) beginSlowStart(e *endpoint, since float64) {
	e.warmUp = warmUpState{since: since, tokens: b.random.float64(), refilledAt: b.now}
}
