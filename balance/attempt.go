package balance

import (
	"fmt"
	"math"
)

// attempt is the state of one attempt of a request.
type attempt struct {
	endpoint    *endpoint // endpoint that the attempt was sent to
	sentAt      float64   // instant at which the attempt was started, ms
	inFlight    bool      // the attempt has not ended
	notExecuted bool      // the result proves that the endpoint did not run the attempt
	overdue     bool      // the attempt took too long and has been counted as an error of its endpoint
}

// minTellingFraction is the fraction of the time after which an attempt is overdue that it must have lasted
// to tell something about its endpoint when its client's deadline ends it.
const minTellingFraction = 0.5

// noAttempt is an attempt number that no attempt has, as the attempts of a request are numbered from 0.
// closeRequest passes noAttempt to cancelAttemptsExcept to cancel every attempt in flight.
const noAttempt = -1

// startAttempt sends a request to an endpoint and counts the attempt there. A retry takes a token from the
// retry budget.
func (b *Balancer) startAttempt(r *request, e *endpoint) {
	if len(r.attempts) > 0 {
		b.retryBudget.withdraw()
	}
	e.warmUp.tokens--
	e.inFlight++
	e.healthCheck.sentSinceReport++
	e.objectiveLoad += 1 / r.class.LatencyObjective
	r.inFlight++
	r.attempts = append(r.attempts, attempt{endpoint: e, sentAt: b.now, inFlight: true})
	b.emit(Action{Kind: StartAttempt, Request: r.ID, Endpoint: e.ID})
}

// endAttempt records the result of an attempt and counts it as no longer in flight.
func (r *request) endAttempt(a *attempt, result Result) {
	a.inFlight = false
	a.notExecuted = result.NotExecuted()
	a.endpoint.inFlight--
	a.endpoint.objectiveLoad -= 1 / r.class.LatencyObjective
	r.inFlight--
}

// handleAttemptResult records the result of an attempt and takes the next step of its request.
func (b *Balancer) handleAttemptResult(event AttemptResult) error {
	r := b.requests[event.Request]
	if r == nil || !r.hasInFlight(event.Attempt) {
		return fmt.Errorf("request %d, attempt %d: %w", event.Request, event.Attempt, ErrUnknownAttempt)
	}
	event.Latency = clampNonNegative(event.Latency, math.MaxFloat32)
	a := &r.attempts[event.Attempt]
	r.endAttempt(a, event.Result)
	b.recordAttemptResult(r, a, event)
	if r.closed || event.RequestClosed || r.streaming {
		b.closeRequest(r)
	}
	b.processRequest(r)
	return nil
}

// hasInFlight reports whether the attempt with the given number is in flight.
func (r *request) hasInFlight(number int) bool {
	return number >= 0 && number < len(r.attempts) && r.attempts[number].inFlight
}

// cancelAttemptsExcept cancels the attempts in flight of a request, except the attempt with the given number.
func (b *Balancer) cancelAttemptsExcept(r *request, except int) {
	if !b.cfg.CancelAttempts {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != except {
			b.emit(Action{Kind: CancelAttempt, Request: r.ID, Attempt: i})
		}
	}
}

// recordAttemptResult updates the state of the endpoint and of the load by the result of an attempt.
func (b *Balancer) recordAttemptResult(r *request, a *attempt, event AttemptResult) {
	switch event.Result {
	case OK:
		b.recordSuccess(r, a.endpoint, event.Latency)
	case Canceled, NotSent: // the result tells nothing about the endpoint
		if event.Latency < minTellingFraction*r.overdueAfter() {
			b.shedder.recordUntold(b.now, event.Latency/r.class.LatencyObjective)
		}
	default:
		b.recordFailure(r, a, event)
	}
}

// recordSuccess records a response with its latency in ms, and clears the errors held against the endpoint.
func (b *Balancer) recordSuccess(r *request, e *endpoint, latency float64) {
	if e.outlier.presumedDead && !b.slowStart.warmingUp(e, b.now) {
		b.beginSlowStart(e, b.now) // the endpoint restarted, which discovery has not reported yet
	}
	e.outlier.clear()
	b.recordObservation(e, observation{responded: true})
	b.shedder.responseRate.add(b.now, 1)
	b.slowStart.countResponse(b.now)
	b.recordLatency(latency / r.class.LatencyObjective)
	if b.now <= r.arrivedAt+r.class.LatencyObjective {
		r.classStats.served++
		r.tenant.served++
	}
	if r.classStats.samples > 0 {
		b.learnCapacity(e, latency/r.classStats.meanLatency)
	}
	r.classStats.recordLatency(latency)
}

// recordFailure records a failed attempt as an error of its endpoint, unless the attempt was counted when it
// became overdue. A failed connection attempt is always recorded.
func (b *Balancer) recordFailure(r *request, a *attempt, event AttemptResult) {
	if event.endedEarly(r) {
		b.shedder.recordUntold(b.now, event.Latency/r.class.LatencyObjective)
		return
	}
	if event.Result == TimedOut { // without timeouts the recorded latencies would lack the slowest attempts
		b.recordLatency(event.Latency / r.class.LatencyObjective)
	}
	connectFailed := event.Result == ConnectFailed
	if connectFailed || !a.overdue {
		b.recordError(a.endpoint, connectFailed)
	}
	a.endpoint.outlier.recordConnectionFault(event.Result)
}

// endedEarly reports whether the attempt ended because of its client's deadline, before a usual response
// could have come. It tells nothing about the endpoint and the load then, however often it happens.
func (event *AttemptResult) endedEarly(r *request) bool {
	byDeadline := event.Result == TimedOut || event.DeadlineReached
	return byDeadline && event.Latency < minTellingFraction*r.overdueAfter()
}

// recordLatency records a latency, as a fraction of the latency objective, in the statistics of this sidecar
// and of the whole fleet.
func (b *Balancer) recordLatency(fraction float64) {
	b.concurrency.latency.recordOwnResponse(b.now, fraction)
	b.latency.record(fraction)
}
