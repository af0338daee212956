package balance

import "math"

const (
	maxRetries        = 1   // of a request: more of them multiply a load that is too high already
	retryBudgetRatio  = 0.2 // retries that each request adds to the budget
	retryBudgetBurst  = 10  // retries that the budget holds at most
	overdueDeviations = 4   // mean deviations above its class's mean latency at which an attempt is overdue
	overdueMinSamples = 5   // responses of a class, under which half of the objective is the bound
	overduePart       = 0.5 // of the objective, likewise
)

// retryBudget is a token bucket for retries, filled by requests: a slow fleet is not made slower by retries.
type retryBudget struct{ tokens float64 }

func (t *retryBudget) deposit() { t.tokens = math.Min(t.tokens+retryBudgetRatio, retryBudgetBurst) }

func (t *retryBudget) withdraw() { t.tokens-- }

func (t *retryBudget) exhausted() bool { return t.tokens < 1 }

// retryExhausted reports whether no further attempt may be made for the request, or none is of use.
func (b *Balancer) retryExhausted(r *request) bool {
	made := len(r.attempts)
	if made >= b.cfg.MaxAttempts || made > maxRetries {
		return true
	}
	if made > 0 && b.retryBudget.exhausted() {
		return true
	}
	if r.executionForbidsRetry(b.now) {
		return true
	}
	late := b.now >= r.arrivedAt+r.class.LatencyObjective
	return late && b.safeToReject(r) && r.class.LateWeight <= b.shedder.baseFraction
}

// executionForbidsRetry reports whether an attempt that may have run rules another one out.
func (r *request) executionForbidsRetry(now float64) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.notExecuted {
			continue
		}
		if r.class.Idempotency == NonIdempotent || r.keyForgotten(a, now) {
			return true
		}
	}
	return false
}

// keyForgotten reports whether the request's idempotency key may be forgotten since an attempt.
func (r *request) keyForgotten(a *attempt, now float64) bool {
	return r.class.Idempotency == IdempotentWithKey && now >= a.sentAt+r.class.DedupWindow
}

// mayHaveExecuted reports whether an attempt of the request may have run.
func (r *request) mayHaveExecuted() bool {
	for i := range r.attempts {
		if !r.attempts[i].notExecuted {
			return true
		}
	}
	return false
}

// safeToReject reports whether a client may repeat the request at will, as one that was rejected does.
func (b *Balancer) safeToReject(r *request) bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == DedupAll:
		return true
	default:
		return !r.mayHaveExecuted()
	}
}

// eligible reports whether the rules let the request go to the endpoint now.
func (b *Balancer) eligible(r *request, e *endpoint) bool {
	if e.Lifecycle != Ready {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.endpoint == e {
			return false
		}
		if a.notExecuted || r.class.Idempotency != IdempotentWithKey {
			continue
		}
		if r.keyForgotten(a, b.now) || !r.class.DedupScope.shared(a.endpoint, e) {
			return false
		}
	}
	return true
}

// shared reports whether one endpoint recognizes a key that the other has seen.
func (s DedupScope) shared(first, second *endpoint) bool {
	switch s {
	case DedupCell:
		return first.Cell == second.Cell
	case DedupZone:
		return first.Zone == second.Zone
	default:
		return true
	}
}

// markOverdue counts an attempt far slower than its class as an error: of a hung endpoint it would show too
// late. The attempt is canceled where that is of use.
func (b *Balancer) markOverdue(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.inFlight || a.overdue || b.now < a.sentAt+r.overdueAfter() {
			continue
		}
		a.overdue = true
		b.recordError(a.endpoint, false)
		if b.shouldReplaceOverdue(r) {
			b.emit(Action{Kind: CancelAttempt, Request: r.ID, Attempt: i})
		}
	}
}

// shouldReplaceOverdue reports whether an overdue attempt is better given up: the request may run again and
// can still be in time elsewhere. Not while load is shed, as endpoints go on with what was given up.
func (b *Balancer) shouldReplaceOverdue(r *request) bool {
	if !b.cfg.CancelAttempts || r.class.Idempotency != Idempotent || r.inFlight != 1 {
		return false
	}
	if b.shedder.baseFraction > 0 || b.retryExhausted(r) {
		return false
	}
	if b.now+r.classStats.meanLatency > r.arrivedAt+r.class.LatencyObjective {
		return false
	}
	for _, e := range b.endpoints {
		if b.eligible(r, e) && !e.outlier.ejected(b.now) {
			return true
		}
	}
	return false
}

// overdueAfter goes by what responses of the class take now: under congestion all are late, by no endpoint's
// fault.
func (r *request) overdueAfter() float64 {
	if r.classStats.samples < overdueMinSamples {
		return overduePart * r.class.LatencyObjective
	}
	return r.classStats.meanLatency + overdueDeviations*r.classStats.meanDeviation
}
