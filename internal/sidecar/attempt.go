package sidecar

import (
	"context"
	"errors"
	"math"

	"pebblelift/balance"
	"pebblelift/internal/upstream"
)

var (
	errClientGone     = errors.New("the client has gone")
	errConnectTimeout = errors.New("no connection in time")
	errNoEndpoint     = errors.New("the endpoint or the request is gone")
)

// attempt is one attempt of a request.
type attempt struct {
	request     *request
	number      int
	endpointID  balance.EndpointID
	endpoint    *endpoint // nil: it is not listed any more
	call        *upstream.Attempt
	sentAt      float64
	ended       bool
	notExecuted bool // it is certain that it did not run
	cancel      context.CancelFunc
	released    chan struct{} // closed when nothing of it goes on: its connection is closed, or idle again
}

// startAttempt carries out an attempt in a goroutine of its own.
func (d *dispatcher) startAttempt(action *balance.Action) {
	r := d.requests[action.Request]
	if r == nil {
		d.log.Error("attempt for a request that is over", "request", action.Request)
		return
	}
	earlier := r.attempts
	ctx, cancel := context.WithCancel(d.ctx)
	a := d.newAttempt(r, action, cancel)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if a.endpoint == nil || r.closed {
		close(a.released)
		d.postpone(func() { d.attemptEnded(a, upstream.Response{Result: balance.NotSent, Err: errNoEndpoint}) })
		return
	}
	d.timers.add(timer{due: a.call.Deadline, attempt: a})
	d.loop.workers.Go(func() {
		for _, e := range earlier { // one that was canceled stays out until its connection is closed: never two at once
			<-e.released
		}
		response := d.pool.Do(ctx, a.call)
		close(a.released)
		d.loop.enqueue(func(d *dispatcher) { d.attemptEnded(a, response) })
	})
}

func (d *dispatcher) newAttempt(r *request, action *balance.Action, cancel context.CancelFunc) *attempt {
	call := &upstream.Attempt{
		Request:     r.Forwarded,
		Deadline:    r.deadline,
		StartBefore: r.keyRememberedUntil(),
	}
	if action.Deadline > 0 {
		call.Deadline = math.Min(call.Deadline, action.Deadline)
	}
	a := &attempt{
		request:    r,
		number:     len(r.attempts),
		endpointID: action.Endpoint,
		endpoint:   d.endpoints[action.Endpoint],
		call:       call,
		sentAt:     d.clock.Now(),
		cancel:     cancel,
		released:   make(chan struct{}),
	}
	if a.endpoint != nil {
		call.Endpoint = &a.endpoint.connections
	}
	return a
}

// keyRememberedUntil is when the request's idempotency key may be forgotten: it must not go out again after that.
func (r *request) keyRememberedUntil() float64 {
	until := math.Inf(1)
	if r.idempotency != balance.IdempotentWithKey {
		return until
	}
	for _, a := range r.attempts {
		if !a.notExecuted {
			until = math.Min(until, a.sentAt+r.dedupWindow)
		}
	}
	return until
}

// attemptEnded reports the first end of an attempt to the balancer. Later ones are dropped.
func (d *dispatcher) attemptEnded(a *attempt, response upstream.Response) {
	if a.ended {
		return
	}
	a.ended = true
	a.cancel()
	if response.Result == balance.TimedOut && a.call.Claim() { // its connection never came up
		response = upstream.Response{Result: balance.ConnectFailed, Err: errConnectTimeout}
	}
	r := a.request
	r.inFlight--
	a.notExecuted = response.Result.NotExecuted()
	if response.Result == balance.OK && !r.closed {
		d.deliver(r, Response{Result: balance.OK, Upstream: response})
	}
	latency := d.clock.Now() - a.sentAt
	d.stats.Attempts[response.Result]++
	d.logAttempt(a, response, latency)
	d.handle(balance.AttemptResult{
		Request:       r.id,
		Attempt:       a.number,
		Endpoint:      a.endpointID,
		Result:        response.Result,
		Latency:       latency,
		RequestClosed: r.closed,
		LoadReport:    response.LoadReport,
	})
	d.removeIfOver(r)
}

func (d *dispatcher) cancelAttempt(action *balance.Action) {
	r := d.requests[action.Request]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[action.Attempt]
	if a.ended {
		return
	}
	a.call.Claim()
	a.cancel()
	d.postpone(func() { d.attemptEnded(a, upstream.Response{Result: balance.Canceled}) })
}
