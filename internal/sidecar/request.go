package sidecar

import (
	"context"
	"errors"
	"math"

	"pebblelift/balance"
	"pebblelift/internal/upstream"
)

const (
	// responseMargin is how long before the client's time is up its response is due: timers and writes take time.
	responseMargin     = 4.0 // ms
	marginsPerTimeout  = 10  // the margin is this part of the client's time at most
	minBalancerTimeout = 1e-3
)

// The reasons for which Do has no response.
var (
	ErrNotAccepted = errors.New("trace id in use")
	ErrStopped     = errors.New("the event loop has ended")
)

// Request is a client's request as it was read.
type Request struct {
	Forwarded   upstream.Request // what the endpoint gets
	TraceID     string
	Class       int // position in the settings
	Tenant      int // position in the settings; -1: none
	WorkHint    float64
	AffinityKey uint64
	IsRetry     bool
	ArrivedAt   float64 // clock time
	Timeout     float64 // ms that the client waits, from ArrivedAt
}

// Response is what the client gets.
type Response struct {
	Result     balance.Result // OK: served. Rejected: a retry is safe. ServerError: it may have run
	Upstream   upstream.Response
	RetryAfter float64 // ms; 0: no advice
}

// request is a client's request until it is answered and its last attempt has ended.
type request struct {
	Request
	id          balance.RequestID
	idempotency balance.Idempotency
	dedupWindow float64
	deadline    float64
	response    chan Response // takes one
	closed      bool          // answered, or its client has gone
	attempts    []*attempt
	inFlight    int
}

// Do serves a request and returns its response. It fails with ErrNotAccepted where a request of the same trace ID is in
// the table, with the context's error where its client has gone, and with ErrStopped.
func (l *Loop) Do(ctx context.Context, in Request) (Response, error) {
	responses := make(chan Response, 1)
	accepted := make(chan *request, 1)
	l.enqueue(func(d *dispatcher) {
		if ctx.Err() != nil { // its client left while it waited for the loop
			accepted <- nil
			return
		}
		accepted <- d.acceptRequest(in, responses)
	})
	var r *request
	select {
	case r = <-accepted:
	case <-l.ended:
	}
	if r == nil {
		return Response{}, ErrNotAccepted
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		l.enqueue(func(d *dispatcher) { d.clientCanceled(r) })
		return Response{}, ctx.Err()
	case <-l.ended:
		return Response{}, ErrStopped
	}
}

// acceptRequest returns nil where the trace ID is in use or the balancer does not take the request.
func (d *dispatcher) acceptRequest(in Request, responses chan Response) *request {
	if d.traceIDs[in.TraceID] {
		return nil
	}
	class := d.config.Settings.Balancer.Classes[in.Class]
	d.lastRequestID++
	margin := math.Min(responseMargin, in.Timeout/marginsPerTimeout)
	r := &request{
		Request:     in,
		id:          d.lastRequestID,
		idempotency: class.Idempotency,
		dedupWindow: class.DedupWindow,
		deadline:    in.ArrivedAt + in.Timeout - margin,
		response:    responses,
	}
	d.requests[r.id] = r
	d.traceIDs[r.TraceID] = true
	d.stats.Requests++
	err := d.handle(balance.Request{
		ID:          r.id,
		Class:       in.Class,
		Tenant:      in.Tenant,
		WorkHint:    in.WorkHint,
		AffinityKey: in.AffinityKey,
		Timeout:     math.Max(r.deadline-d.clock.Now(), minBalancerTimeout),
		IsRetry:     in.IsRetry,
	})
	if err != nil {
		d.remove(r)
		return nil
	}
	return r
}

// respond gives a request its one response. Later ones are dropped.
func (d *dispatcher) respond(id balance.RequestID, response Response) {
	r := d.requests[id]
	if r == nil || r.closed {
		return
	}
	d.deliver(r, response)
	d.removeIfOver(r)
}

func (d *dispatcher) deliver(r *request, response Response) {
	r.closed = true
	d.stats.Responses[response.Result]++
	r.response <- response
}

// clientCanceled ends a request whose client has gone. An attempt whose connection has yet to come up must not begin,
// whatever the balancer may cancel.
func (d *dispatcher) clientCanceled(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	d.stats.ClientsCanceled++
	d.handle(balance.ClientCanceled{Request: r.id})
	for _, a := range r.attempts {
		if !a.ended && a.call.Claim() {
			d.attemptEnded(a, upstream.Response{Result: balance.NotSent, Err: errClientGone})
		}
	}
	d.removeIfOver(r)
}

func (d *dispatcher) removeIfOver(r *request) {
	if r.closed && r.inFlight == 0 {
		d.remove(r)
	}
}

func (d *dispatcher) remove(r *request) {
	delete(d.requests, r.id)
	delete(d.traceIDs, r.TraceID)
}
