package balance

import (
	"fmt"
	"math"
)

// picksPerObjective is the number of times, per latency objective of the request's class, that the balancer
// tries to pick an endpoint for a request that no endpoint could take so far. The interval between two tries
// is at least Config.BatchInterval.
const picksPerObjective = 20

// request is a client's request from its arrival until it is closed and its last attempt has ended.
type request struct {
	Request
	class            *Class
	classStats       *classStats
	tenant           *serviceTally
	arrivedAt        float64 // instant of arrival, ms
	deadline         float64 // instant by which the client must be answered, ms
	attempts         []attempt
	inFlight         int         // number of attempts that have not ended
	closed           bool        // the request was answered, or its client has gone
	streaming        bool        // the response has begun to reach the client
	timerAt          float64     // instant at which the request's next timer is due, ms; +Inf if none is set
	checkedEndpoints []*endpoint // endpoints whose health is checked before the first attempt
	checkWaitUntil   float64     // instant at which the wait for health checks ends, ms; 0 if none
}

// handleRequest admits a request and starts its first attempt, or rejects it.
func (b *Balancer) handleRequest(event Request) error {
	if b.requests[event.ID] != nil {
		return fmt.Errorf("request %d: %w", event.ID, ErrDuplicateRequest)
	}
	if event.Class < 0 || event.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: %w %d", event.ID, ErrUnknownClass, event.Class)
	}
	r := b.newRequest(event)
	b.requests[event.ID] = r
	admitted := b.admit(r)
	r.countArrival() // after admit, so that the request does not make its own class look worse served
	b.requestRate.add(b.now, 1)
	b.retryBudget.deposit()
	if !admitted {
		b.finishUnserved(r)
		return nil
	}
	b.startHealthChecks(r)
	b.processRequest(r)
	return nil
}

// newRequest returns the state of a request that has just arrived.
func (b *Balancer) newRequest(event Request) *request {
	class := &b.cfg.Classes[event.Class]
	return &request{
		Request:    event,
		class:      class,
		classStats: &b.demand.classes[event.Class],
		tenant:     b.demand.tenant(event.Tenant),
		arrivedAt:  b.now,
		deadline:   math.Min(b.now+clampNonNegative(event.Timeout, class.Deadline), b.shutdownAt),
		timerAt:    math.Inf(1),
	}
}

// countArrival counts the arrival of the request for its class and its tenant.
func (r *request) countArrival() {
	r.classStats.requested++
	r.tenant.requested++
}

// processRequest takes the next step of a request: it starts an attempt, answers the request, or sets a timer
// for the next step.
func (b *Balancer) processRequest(r *request) {
	if r.closed || r.streaming {
		return
	}
	b.markOverdue(r)
	if b.now >= r.deadline || r.inFlight == 0 && b.retryExhausted(r) {
		b.countUnserved(r)
		b.finishUnserved(r)
		return
	}
	if r.inFlight == 0 && !b.awaitsHealthChecks(r) {
		if e := b.pickEndpoint(r); e != nil {
			b.startAttempt(r, e)
		}
	}
	b.scheduleTimer(r)
}

// countUnserved counts a request that is given up, in separate counts for requests with and without attempts.
func (b *Balancer) countUnserved(r *request) {
	if len(r.attempts) > 0 {
		b.stats.RetriesExhausted++
	} else {
		b.stats.NotSent++
	}
}

// finishUnserved gives a request that no endpoint served its final response: a rejection if a retry by the
// client is safe, otherwise a failure.
func (b *Balancer) finishUnserved(r *request) {
	if b.safeToReject(r) {
		b.emit(Action{Kind: Reject, Request: r.ID, Delay: b.retryAfter(r)})
	} else {
		b.emit(Action{Kind: Fail, Request: r.ID})
	}
	b.closeRequest(r)
}

// closeRequest marks a request as closed, cancels its attempts in flight, and removes the request if none is
// in flight.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	b.cancelAttemptsExcept(r, noAttempt)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// handleClientCanceled closes the request of a client that has disconnected.
func (b *Balancer) handleClientCanceled(event ClientCanceled) {
	if r := b.requests[event.Request]; r != nil {
		b.closeRequest(r)
	}
}

// handleResponseStarted marks a request as streaming: from now on it has no deadline and is not retried. All
// its other attempts are canceled.
func (b *Balancer) handleResponseStarted(event ResponseStarted) {
	r := b.requests[event.Request]
	if r == nil || r.closed || r.streaming {
		return
	}
	r.streaming = true
	b.cancelAttemptsExcept(r, event.Attempt)
}

// scheduleTimer sets a timer for the instant at which the request next needs a decision, unless its timer is
// due by then already.
func (b *Balancer) scheduleTimer(r *request) {
	next := r.deadline
	if r.checkWaitUntil > b.now {
		next = math.Min(next, r.checkWaitUntil)
	} else if r.inFlight == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.BatchInterval, r.class.LatencyObjective/picksPerObjective))
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !a.overdue {
			next = math.Min(next, a.sentAt+r.overdueAfter())
		}
	}
	if next < r.timerAt {
		r.timerAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), Delay: math.Max(0, next-b.now)})
	}
}

// handleRequestTimer takes the next step of a request whose timer is due. It does not compare the clock with
// the instant for which the timer was set, because the timer may be early by a rounding error.
func (b *Balancer) handleRequestTimer(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.timerAt = math.Inf(1)
		b.processRequest(r)
	}
}
