package balance

import "math"

const (
	// maxRetries is the largest number of retries (attempts after the first) of one request, even if
	// Config.MaxAttempts is higher. More retries would multiply a load that is already too high.
	maxRetries = 1
	// retryBudgetRatio is the number of tokens that each arriving request adds to the retry budget of this
	// sidecar. A retry takes one token, so in the long run there are at most retryBudgetRatio retries per
	// request.
	retryBudgetRatio = 0.2
	// retryBudgetBurst is the largest number of tokens that the retry budget of this sidecar can hold. A
	// retry takes one token, so retryBudgetBurst is also the largest number of retries at once.
	retryBudgetBurst = 10
	// overdueDeviations determines when an attempt is overdue: when it has been in flight for longer than the
	// mean latency of the request's class plus overdueDeviations times the mean absolute deviation from that
	// mean. An overdue attempt counts as an error of its endpoint and may be canceled for a retry.
	overdueDeviations = 4
	// overdueMinSamples is the number of successful responses that this sidecar needs from a class before the
	// mean latency of the class decides when an attempt is overdue. Until then, overdueFraction decides.
	overdueMinSamples = 5
	// overdueFraction is the time in flight after which an attempt is overdue, as a fraction of the latency
	// objective of the request's class. It applies only while the class has fewer than overdueMinSamples
	// responses. An overdue attempt counts as an error of its endpoint and may be canceled for a retry.
	overdueFraction = 0.5
)

// retryBudget is a token bucket that limits retries to a fraction of the requests, so that retries do not
// overload a slow fleet further. The value of tokens is the number of retries that are left.
type retryBudget struct{ tokens float64 }

// deposit adds the tokens of one arriving request.
func (t *retryBudget) deposit() { t.tokens = math.Min(t.tokens+retryBudgetRatio, retryBudgetBurst) }

// withdraw takes the token of one retry.
func (t *retryBudget) withdraw() { t.tokens-- }

// exhausted reports whether less than one retry is left.
func (t *retryBudget) exhausted() bool { return t.tokens < 1 }

// retryExhausted reports whether the request gets no further attempt. A limit or the risk of running the
// request twice can forbid the attempt, or the attempt would be useless: the latency objective has passed,
// the request can safely be rejected, and the value of a late response (Class.LateWeight) is at most the
// fraction of the load to shed (baseShedFraction). The attempt would then take capacity from requests that
// are worth more.
func (b *Balancer) retryExhausted(r *request) bool {
	attemptCount := len(r.attempts)
	if attemptCount >= b.cfg.MaxAttempts || attemptCount > maxRetries {
		return true
	}
	if attemptCount > 0 && b.retryBudget.exhausted() {
		return true
	}
	if r.executionForbidsRetry(b.now) {
		return true
	}
	late := b.now >= r.arrivedAt+r.class.LatencyObjective
	return late && b.safeToReject(r) && r.class.LateWeight <= b.shedder.baseShedFraction
}

// executionForbidsRetry reports whether the request must not be retried because an attempt may have run and
// the retry could run the request twice.
func (r *request) executionForbidsRetry(now float64) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.notExecuted {
			continue
		}
		if r.class.Idempotency == NonIdempotent || r.keyExpired(a, now) {
			return true
		}
	}
	return false
}

// keyExpired reports whether endpoints may have forgotten the request's idempotency key, as the deduplication
// window has passed since the attempt.
func (r *request) keyExpired(a *attempt, now float64) bool {
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

// safeToReject reports whether the request may be rejected: the client may repeat a rejected request, so the
// repetition must not make the request run twice.
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

// eligible reports whether the request may be sent to the endpoint now: the endpoint is ready and untried by
// the request, and recognizes the idempotency key of each earlier attempt that may have run.
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
		if r.keyExpired(a, b.now) || !r.class.DedupScope.covers(a.endpoint, e) {
			return false
		}
	}
	return true
}

// covers reports whether either endpoint recognizes an idempotency key that the other has received.
func (s DedupScope) covers(first, second *endpoint) bool {
	switch s {
	case DedupCell:
		return first.Cell == second.Cell
	case DedupZone:
		return first.Zone == second.Zone
	default:
		return true
	}
}

// markOverdue counts each attempt that is much slower than its class as an error of its endpoint, as a hung
// endpoint would otherwise cause no error until the timeout. An overdue attempt is canceled if another
// endpoint can still serve the request in time.
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

// shouldReplaceOverdue reports whether an overdue attempt should be canceled, so that the request is retried:
// the request may run again and another endpoint can still serve it in time. No attempt is replaced while
// load is shed, because endpoints continue to work on canceled attempts.
func (b *Balancer) shouldReplaceOverdue(r *request) bool {
	if !b.cfg.CancelAttempts || r.class.Idempotency != Idempotent || r.inFlight != 1 {
		return false
	}
	if b.shedder.baseShedFraction > 0 || b.retryExhausted(r) {
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

// overdueAfter returns the time in ms after which an attempt of the request is overdue. The time follows the
// current latencies of the class, because in congestion all responses are late and no endpoint is at fault.
func (r *request) overdueAfter() float64 {
	if r.classStats.samples < overdueMinSamples {
		return overdueFraction * r.class.LatencyObjective
	}
	return r.classStats.meanLatency + overdueDeviations*r.classStats.meanDeviation
}
