package sidecar

import (
	"context"
	"errors"
	"math"

	"pebblelift/balance"
	"pebblelift/internal/budget"
	"pebblelift/internal/upstream"
)

// attemptCost is the memory in bytes that an attempt takes until its goroutine ends: the goroutines and buffers of its
// connection, and its entries in tables.
const attemptCost = 8 << 10

var (
	errClientDisconnected = errors.New("client disconnected before the attempt was sent")
	errConnectTimeout     = errors.New("connection not established before the attempt's deadline")
	errAttemptNotStarted  = errors.New("endpoint not in the endpoint list, or request already closed")
)

// attempt is the state of one attempt of a request.
type attempt struct {
	request         *request
	number          int // index in request.attempts
	endpointID      balance.EndpointID
	endpoint        *endpoint // nil if the endpoint was not listed when the attempt began
	upstreamAttempt *upstream.Attempt
	startedAt       float64 // clock time in ms
	deadlineTimer   *timer  // ends the attempt at its deadline; nil if the attempt could not start
	ended           bool    // the attempt has its final result
	notExecuted     bool    // the result proves that the endpoint did not execute the request
	cancel          context.CancelFunc
	released        chan struct{} // closed once the attempt uses no connection: closed, idle again or never opened
}

// startAttempt adds an attempt to its request and carries it out in a separate goroutine. An attempt that cannot start
// ends with the result balance.NotSent.
func (d *dispatcher) startAttempt(action *balance.Action) {
	r := d.requests[action.Request]
	if r == nil {
		d.log.Error("cannot start an attempt: its request is not in the request table", "request", action.Request)
		return
	}
	earlier := r.attempts
	ctx, cancel := context.WithCancel(d.ctx)
	a := d.newAttempt(r, action, cancel)
	if len(r.attempts) == 0 {
		d.stats.noteFirstAttempt(a.startedAt - r.ArrivedAt)
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if a.endpoint == nil || r.closed {
		close(a.released)
		d.postpone(func() { d.finishAttempt(a, upstream.Response{Result: balance.NotSent, Err: errAttemptNotStarted}) })
		return
	}
	a.deadlineTimer = &timer{due: a.upstreamAttempt.Deadline, attempt: a}
	d.timers.add(a.deadlineTimer)
	d.loop.memory.Take(budget.Requests, attemptCost)
	d.loop.workers.Go(func() {
		defer d.loop.memory.Release(budget.Requests, attemptCost)
		// A canceled attempt counts as in flight until its connection is closed, and the attempts of a request must
		// not overlap.
		for _, e := range earlier {
			<-e.released
		}
		response := d.pool.Do(ctx, a.upstreamAttempt)
		close(a.released)
		d.loop.enqueue(func(d *dispatcher) { d.finishAttempt(a, response) })
	})
}

// newAttempt returns the next attempt of a request, at the endpoint that the balancer chose.
func (d *dispatcher) newAttempt(r *request, action *balance.Action, cancel context.CancelFunc) *attempt {
	upstreamAttempt := &upstream.Attempt{
		Request:     r.Forwarded,
		Deadline:    r.deadline,
		StartBefore: r.dedupWindowEnd(),
	}
	if action.Deadline > 0 {
		upstreamAttempt.Deadline = math.Min(upstreamAttempt.Deadline, action.Deadline)
	}
	a := &attempt{
		request:         r,
		number:          len(r.attempts),
		endpointID:      action.Endpoint,
		endpoint:        d.endpoints[action.Endpoint],
		upstreamAttempt: upstreamAttempt,
		startedAt:       d.clock.Now(),
		cancel:          cancel,
		released:        make(chan struct{}),
	}
	if a.endpoint != nil {
		upstreamAttempt.Endpoint = &a.endpoint.connections
	}
	return a
}

// dedupWindowEnd returns the clock time in ms from which an endpoint may have forgotten the request's idempotency key.
// The key must not be sent again after that, since the request could be executed twice. The result is +Inf for a
// request without a key, and while all attempts are known not to have been executed.
func (r *request) dedupWindowEnd() float64 {
	end := math.Inf(1)
	if r.idempotency != balance.IdempotentWithKey {
		return end
	}
	for _, a := range r.attempts {
		if !a.notExecuted {
			end = math.Min(end, a.startedAt+r.dedupWindow)
		}
	}
	return end
}

// finishAttempt reports the result of an attempt to the balancer and delivers a served response to the client. Only the
// first result of an attempt counts; later ones are dropped.
func (d *dispatcher) finishAttempt(a *attempt, response upstream.Response) {
	if a.ended {
		response.Release()
		return
	}
	a.ended = true
	a.cancel()
	if a.deadlineTimer != nil {
		d.timers.remove(a.deadlineTimer) // it would keep the request in memory until the deadline
	}
	deadlineReached := response.Result == balance.TimedOut
	if deadlineReached && a.upstreamAttempt.ClaimStart() { // the request was never sent
		response = upstream.Response{Result: balance.ConnectFailed, Err: errConnectTimeout}
	}
	r := a.request
	r.inFlight--
	a.notExecuted = response.Result.NotExecuted()
	if response.Result == balance.OK && !r.closed {
		d.deliver(r, Response{Result: balance.OK, Upstream: response})
	} else {
		response.Release()
	}
	latency := d.clock.Now() - a.startedAt
	d.stats.Attempts[response.Result]++
	d.logAttempt(a, response, latency)
	d.handle(balance.AttemptResult{
		Request:         r.id,
		Attempt:         a.number,
		Endpoint:        a.endpointID,
		Result:          response.Result,
		Latency:         latency,
		DeadlineReached: deadlineReached,
		RequestClosed:   r.closed,
		LoadReport:      response.LoadReport,
	})
	d.removeIfDone(r)
}

// cancelAttempt cancels an attempt that is in flight, which closes its connection.
func (d *dispatcher) cancelAttempt(action *balance.Action) {
	r := d.requests[action.Request]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[action.Attempt]
	if a.ended {
		return
	}
	a.upstreamAttempt.ClaimStart()
	a.cancel()
	d.postpone(func() { d.finishAttempt(a, upstream.Response{Result: balance.Canceled}) })
}
