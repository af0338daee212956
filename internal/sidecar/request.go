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
	maxMarginPart      = 0.1 // of the client's time
	minBalancerTimeout = 1e-3
)

// The reasons for which Do has no response.
var (
	ErrNotAccepted = errors.New("trace id in use")
	ErrStopped     = errors.New("the event loop has ended")
)

// Request is a client's request as it was read.
type Request struct {
	upstream.Request
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
	l.enqueue(func() {
		if ctx.Err() != nil { // its client left while it waited for the loop
			accepted <- nil
			return
		}
		accepted <- l.acceptRequest(in, responses)
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
		l.enqueue(func() { l.clientCanceled(r) })
		return Response{}, ctx.Err()
	case <-l.ended:
		return Response{}, ErrStopped
	}
}

// acceptRequest returns nil where the trace ID is in use or the balancer does not take the request.
func (l *Loop) acceptRequest(in Request, responses chan Response) *request {
	if l.traceIDs[in.TraceID] {
		return nil
	}
	class := l.config.Settings.Balancer.Classes[in.Class]
	l.lastRequestID++
	margin := math.Min(responseMargin, maxMarginPart*in.Timeout)
	r := &request{
		Request:     in,
		id:          l.lastRequestID,
		idempotency: class.Idempotency,
		dedupWindow: class.DedupWindow,
		deadline:    in.ArrivedAt + in.Timeout - margin,
		response:    responses,
	}
	l.requests[r.id] = r
	l.traceIDs[r.TraceID] = true
	l.stats.Requests++
	err := l.handle(balance.Request{
		ID:          r.id,
		Class:       in.Class,
		Tenant:      in.Tenant,
		WorkHint:    in.WorkHint,
		AffinityKey: in.AffinityKey,
		Timeout:     math.Max(r.deadline-l.clock.Now(), minBalancerTimeout),
		IsRetry:     in.IsRetry,
	})
	if err != nil {
		l.remove(r)
		return nil
	}
	return r
}

// respond gives a request its one response. Later ones are dropped.
func (l *Loop) respond(id balance.RequestID, response Response) {
	r := l.requests[id]
	if r == nil || r.closed {
		return
	}
	l.deliver(r, response)
	l.removeIfOver(r)
}

func (l *Loop) deliver(r *request, response Response) {
	r.closed = true
	l.stats.Responses[response.Result]++
	r.response <- response
}

// clientCanceled ends a request whose client has gone. An attempt whose connection has yet to come up must not begin,
// whatever the balancer may cancel.
func (l *Loop) clientCanceled(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	l.stats.ClientsCanceled++
	l.handle(balance.ClientCanceled{Request: r.id})
	for _, a := range r.attempts {
		if !a.ended && a.call.Claim() {
			l.attemptEnded(a, upstream.Response{Result: balance.NotSent, Err: errClientGone})
		}
	}
	l.removeIfOver(r)
}

func (l *Loop) removeIfOver(r *request) {
	if r.closed && r.inFlight == 0 {
		l.remove(r)
	}
}

func (l *Loop) remove(r *request) {
	delete(l.requests, r.id)
	delete(l.traceIDs, r.TraceID)
}
