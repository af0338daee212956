package balance

import "math"

const (
	// slowStartBudgetFraction is the fraction of Config.OverloadFactor that determines how fast this
	// sidecar's budget of attempts for a warming-up endpoint refills: at max(1,
	// slowStartBudgetFraction*Config.OverloadFactor) times the rate of responses that the sidecar gets from
	// an endpoint with the same weight in the smooth weighted round robin as the warming-up endpoint. The
	// fraction is below 1 because a warming-up endpoint fails at Config.OverloadFactor times its capacity.
	slowStartBudgetFraction = 0.5

	// slowStartBurstFraction is the time over which an unused budget of attempts for a warming-up endpoint
	// accumulates, as a fraction of Config.OverloadWindow. It bounds the burst of attempts that this
	// sidecar can send to the endpoint; a burst of one attempt is always possible.
	slowStartBurstFraction = 0.25

	// minWeightInUse is a lower bound for the sum of the weights of the endpoints that this sidecar uses.
	// Weights have no unit. The bound avoids a division by zero when a response counts as 1/(sum of the
	// weights) in the rate from which slow-start budgets refill.
	minWeightInUse = 1e-6
)

// slowStart limits the attempts that this sidecar sends to an endpoint while the endpoint warms up.
type slowStart struct {
	initialFraction float64 // fraction of its capacity that an endpoint has when it starts
	duration        float64 // ms until an endpoint has its full capacity
	overloadFactor  float64 // multiple of its capacity at which a warming-up endpoint fails
	overloadWindow  float64 // ms of such an overload after which a warming-up endpoint fails

	// responsesPerWeight counts each response divided by weightInUse. Its rate times an endpoint's weight is
	// the rate of responses that this sidecar gets from an endpoint of that weight. responsesPerWeight counts
	// responses and not requests, because clients retry under overload, which would raise the budget.
	responsesPerWeight rateMeter
	weightInUse        float64 // sum of the weights of usable endpoints, without health multipliers
}

// warmUpState is the slow-start state of one endpoint.
type warmUpState struct {
	start      float64 // start of the last warm-up, in ms; -Inf if there was none
	tokens     float64 // attempts left in the slow-start budget
	refilledAt float64 // last refill of tokens, in ms
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

// warmingUp reports whether an endpoint is in its slow start.
func (s *slowStart) warmingUp(e *endpoint, now float64) bool { return now < e.warmUp.start+s.duration }

// capacityFraction returns the minimum fraction of its capacity that a warming-up endpoint has. The fraction
// rises linearly from initialFraction to 1 over the slow-start duration.
func (s *slowStart) capacityFraction(e *endpoint, now float64) float64 {
	age := math.Max(0, now-e.warmUp.start) / s.duration
	return s.initialFraction + (1-s.initialFraction)*math.Min(1, age)
}

// countResponse counts a response, divided by the weight that is in use now.
func (s *slowStart) countResponse(now float64) {
	s.responsesPerWeight.add(now, 1/math.Max(s.weightInUse, minWeightInUse))
}

// hasBudget refills an endpoint's slow-start budget and reports whether it allows another attempt. The budget
// is a hard limit that holds for retries too. The budget refills at a multiple of the rate of responses that
// this sidecar gets from an endpoint of the same weight. The traffic of dead or unhealthy endpoints does not
// raise the budget. Only few responses are assumed in addition to the counted responses, because the budgets
// of many sidecars with little traffic would otherwise add up to an overload.
func (s *slowStart) hasBudget(e *endpoint, now float64) bool {
	assumed := 1 / math.Max(s.weightInUse, e.rotation.weight)
	responseRate := s.responsesPerWeight.rate(now, assumed) * e.rotation.weight
	refillRate := responseRate * math.Max(1, slowStartBudgetFraction*s.overloadFactor)
	burst := math.Max(1, refillRate*s.overloadWindow*slowStartBurstFraction)
	e.warmUp.tokens = math.Min(e.warmUp.tokens+refillRate*(now-e.warmUp.refilledAt), burst)
	e.warmUp.refilledAt = now
	return e.warmUp.tokens >= 1
}

// slowStartAllows reports whether slow start permits another attempt at the endpoint.
func (b *Balancer) slowStartAllows(e *endpoint) bool {
	return !b.slowStart.warmingUp(e, b.now) || b.slowStart.hasBudget(e, b.now)
}

// beginSlowStart starts an endpoint's warm-up, whose age counts from the instant start, in ms. The initial
// budget is random, so that the sidecars send their first attempts at different times.
func (b *Balancer) beginSlowStart(e *endpoint, start float64) {
	e.warmUp = warmUpState{start: start, tokens: b.random.float64(), refilledAt: b.now}
}
