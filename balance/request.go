package balance

import (
	"fmt"
	"math"
)

// wakesPerObjective is how often in a latency objective a request that waits for an endpoint is looked at.
const wakesPerObjective = 20

// request is a client's request from its arrival until it is answered and its last attempt has ended.
type request struct {
	Request
	class       *Class
	classStats  *classStats
	tenant      *serviceTally
	arrivedAt   float64
	deadline    float64
	attempts    []attempt
	inFlight    int         // attempts that have not ended
	closed      bool        // answered, or its client has gone
	streaming   bool        // its response has begun to reach the client
	wakeAt      float64     // when its next timer comes
	checked     []*endpoint // health checked before the first attempt
	checksUntil float64     // until when it waits for them; 0: it does not
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
	r.countArrival() // only now: else its own class would look a little worse served
	b.requestRate.add(b.now, 1)
	b.retryBudget.deposit()
	if !admitted {
		b.finishUnserved(r)
		return nil
	}
	b.startHealthChecks(r)
	b.advance(r)
	return nil
}

func (b *Balancer) newRequest(event Request) *request {
	class := &b.cfg.Classes[event.Class]
	return &request{
		Request:    event,
		class:      class,
		classStats: &b.demand.classes[event.Class],
		tenant:     b.demand.tenant(event.Tenant),
		arrivedAt:  b.now,
		deadline:   math.Min(b.now+clampNonNegative(event.Timeout, class.Deadline), b.shutdownAt),
		wakeAt:     math.Inf(1),
	}
}

// countArrival counts the request in its class and tenant.
func (r *request) countArrival() {
	r.classStats.requested++
	r.tenant.requested++
}

// advance looks at a request afresh: it starts an attempt, answers the request or leaves it to wait.
func (b *Balancer) advance(r *request) {
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
	b.scheduleWake(r)
}

func (b *Balancer) countUnserved(r *request) {
	if len(r.attempts) > 0 {
		b.stats.RetriesExhausted++
	} else {
		b.stats.NotSent++
	}
}

// finishUnserved answers a request without a response: rejected where a client's retry is safe, else failed.
func (b *Balancer) finishUnserved(r *request) {
	if b.safeToReject(r) {
		b.emit(Action{Kind: Reject, Request: r.ID, Delay: b.retryAfter(r)})
	} else {
		b.emit(Action{Kind: Fail, Request: r.ID})
	}
	b.closeRequest(r)
}

// closeRequest marks a request as answered and cancels what is still in flight for it.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	b.cancelAttemptsExcept(r, noAttempt)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) handleClientCanceled(event ClientCanceled) {
	if r := b.requests[event.Request]; r != nil {
		b.closeRequest(r)
	}
}

// handleResponseStarted hands a request over to its client: it has no deadline and no retry any more.
func (b *Balancer) handleResponseStarted(event ResponseStarted) {
	r := b.requests[event.Request]
	if r == nil || r.closed || r.streaming {
		return
	}
	r.streaming = true
	b.cancelAttemptsExcept(r, event.Attempt)
}

// scheduleWake sets a timer for the next moment at which the request must be looked at.
func (b *Balancer) scheduleWake(r *request) {
	next := r.deadline
	if r.checksUntil > b.now {
		next = math.Min(next, r.checksUntil)
	} else if r.inFlight == 0 {
		next = math.Min(next, b.now+math.Max(b.cfg.BatchInterval, r.class.LatencyObjective/wakesPerObjective))
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !a.overdue {
			next = math.Min(next, a.sentAt+r.overdueAfter())
		}
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), Delay: math.Max(0, next-b.now)})
	}
}

// handleRequestTimer does not compare the timer with the clock: it may come a rounding error early.
func (b *Balancer) handleRequestTimer(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.wakeAt = math.Inf(1)
		b.advance(r)
	}
}
