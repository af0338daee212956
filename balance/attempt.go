package balance

import (
	"fmt"
	"math"
)

// attempt is one attempt of a request.
type attempt struct {
	endpoint    *endpoint
	sentAt      float64
	inFlight    bool
	notExecuted bool // it is proved that it did not run
	overdue     bool // counted as an error of its endpoint already
}

// noAttempt is an attempt number that no attempt has.
const noAttempt = -1

// startAttempt sends a request to an endpoint and counts the attempt.
func (b *Balancer) startAttempt(r *request, e *endpoint) {
	if len(r.attempts) > 0 {
		b.retryBudget.withdraw()
	}
	e.warmUp.tokens--
	e.inFlight++
	e.check.sentSinceReport++
	e.objectiveLoad += 1 / r.class.LatencyObjective
	r.inFlight++
	r.attempts = append(r.attempts, attempt{endpoint: e, sentAt: b.now, inFlight: true})
	b.emit(Action{Kind: StartAttempt, Request: r.ID, Endpoint: e.ID})
}

// attemptEnded counts an attempt as no longer in flight.
func (r *request) attemptEnded(a *attempt, result Result) {
	a.inFlight = false
	a.notExecuted = result.NotExecuted()
	a.endpoint.inFlight--
	a.endpoint.objectiveLoad -= 1 / r.class.LatencyObjective
	r.inFlight--
}

// handleAttemptResult takes in the end of an attempt and goes on with its request.
func (b *Balancer) handleAttemptResult(event AttemptResult) error {
	r := b.requests[event.Request]
	if r == nil || !r.hasInFlight(event.Attempt) {
		return fmt.Errorf("request %d, attempt %d: %w", event.Request, event.Attempt, ErrUnknownAttempt)
	}
	event.Latency = clampNonNegative(event.Latency, math.MaxFloat32)
	a := &r.attempts[event.Attempt]
	r.attemptEnded(a, event.Result)
	b.recordAttemptResult(r, a, event)
	if r.closed || event.RequestClosed || r.streaming {
		b.closeRequest(r)
	}
	b.advance(r)
	return nil
}

func (r *request) hasInFlight(number int) bool {
	return number >= 0 && number < len(r.attempts) && r.attempts[number].inFlight
}

// cancelAttemptsExcept cancels the attempts of a request that are in flight, but for one that is kept.
func (b *Balancer) cancelAttemptsExcept(r *request, keep int) {
	if !b.cfg.CancelAttempts {
		return
	}
	for i := range r.attempts {
		if r.attempts[i].inFlight && i != keep {
			b.emit(Action{Kind: CancelAttempt, Request: r.ID, Attempt: i})
		}
	}
}

// recordAttemptResult draws from the end of an attempt what it says of the endpoint and of the load.
func (b *Balancer) recordAttemptResult(r *request, a *attempt, event AttemptResult) {
	switch event.Result {
	case OK:
		b.recordSuccess(r, a.endpoint, event.Latency)
	case Canceled, NotSent: // nothing was learned
	default:
		b.recordFailure(r, a, event)
	}
}

func (b *Balancer) recordSuccess(r *request, e *endpoint, latency float64) {
	if e.outlier.presumedDead && !b.slowStart.warmingUp(e, b.now) {
		b.beginSlowStart(e, b.now) // discovery has yet to report the restart
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

func (b *Balancer) recordFailure(r *request, a *attempt, event AttemptResult) {
	if event.Result == TimedOut { // else the slowest responses of all would never be seen
		b.recordLatency(event.Latency / r.class.LatencyObjective)
	}
	connectFailed := event.Result == ConnectFailed
	if connectFailed || !a.overdue {
		b.recordError(a.endpoint, connectFailed)
	}
	a.endpoint.outlier.recordConnectionFault(event.Result)
}

// recordLatency takes in a latency, as a fraction of the objective, for this sidecar and for the fleet.
func (b *Balancer) recordLatency(fraction float64) {
	b.concurrency.latency.recordOwn(b.now, fraction)
	b.latency.record(fraction)
}
