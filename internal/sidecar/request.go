package sidecar

import (
	"context"
	"errors"
	"hash/maphash"
	"math"
	"slices"

	"pebblelift/balance"
	"pebblelift/internal/upstream"
)

const (
	// responseMargin, in ms, is how long before the client's deadline its response is due, because timers and writes
	// take time.
	responseMargin = 4.0
	// responseMarginDivisor limits the response margin to a tenth of the client's timeout.
	responseMarginDivisor = 10
	// minBalancerTimeout, in ms, is the smallest timeout that is passed to the balancer for a request. It keeps the
	// timeout positive when a request gets to the event loop late.
	minBalancerTimeout = 1e-3
)

// The errors that methods of Loop return, besides those of their contexts.
var (
	// ErrNotAccepted means that the event loop did not accept the request, usually because a request with the same
	// trace ID is in progress.
	ErrNotAccepted = errors.New("trace id in use")
	// ErrMayHaveRun means that a request with the same trace ID may have been executed before, and that the class does
	// not permit a repetition.
	ErrMayHaveRun = errors.New("a request with this trace id may have run")
	// ErrStopped means that the event loop ended before there was a result.
	ErrStopped = errors.New("the event loop has ended")
)

// Request is a client's request, parsed by the server that received it.
type Request struct {
	Forwarded   upstream.Request // the request that endpoints receive
	TraceID     string           // unique among the requests in progress
	Class       int              // position in the classes of the settings
	Tenant      int              // position in the tenants of the settings; -1: none
	WorkHint    float64          // work in ms that the client expects; 0: unknown
	AffinityKey uint64           // hash of the object that the request is about; 0: none
	IsRetry     bool             // the client says that it has sent the request before
	ArrivedAt   float64          // clock time in ms
	Timeout     float64          // how long the client waits from ArrivedAt on, in ms
	Decided     func()           // called once the balancer has decided what happens first to the request; may be nil
}

// Response is the response to a client's request.
type Response struct {
	// Result is balance.OK if the request was served, balance.Rejected if the client can safely retry the request
	// (because it was not executed, or because its class permits a repetition), or balance.ServerError if the request
	// failed and may have been executed.
	Result     balance.Result
	Upstream   upstream.Response // the endpoint's response, if Result is balance.OK
	RetryAfter float64           // ms after which the client should retry; 0: no Retry-After
	Attempted  bool              // whether an attempt was made
}

// Release releases the memory that the response holds. It must be called once the response is no longer used.
func (r *Response) Release() { r.Upstream.Release() }

// request is a client's request in the request table. It stays there until it is closed and its last attempt has ended.
type request struct {
	Request
	id          balance.RequestID
	idempotency balance.Idempotency
	dedupWindow float64       // ms for which endpoints remember the idempotency key
	deadline    float64       // clock time in ms at which the response is due
	response    chan Response // receives the one response; buffered
	closed      bool          // the response was sent, or the client has disconnected
	attempts    []*attempt
	inFlight    int // attempts that have not ended
}

// acceptance is the answer of the event loop to a request: the request in the table, or why it is not accepted.
type acceptance struct {
	request *request
	err     error
}

// Do serves a request and returns its response, which the caller must release. It returns ErrNotAccepted if the trace
// ID is in use or the balancer returns an error for the request, ErrMayHaveRun if the request may not run again, the
// context's error if the client disconnects, and ErrStopped if the loop ends.
func (l *Loop) Do(ctx context.Context, in Request) (Response, error) {
	responses := make(chan Response, 1)
	accepted := make(chan acceptance, 1)
	l.enqueue(func(d *dispatcher) {
		if ctx.Err() != nil { // the client disconnected while the request waited for the loop
			accepted <- acceptance{err: ctx.Err()}
			return
		}
		r, err := d.acceptRequest(in, responses)
		accepted <- acceptance{request: r, err: err}
	})
	var a acceptance
	select {
	case a = <-accepted:
	case <-l.ended:
		return Response{}, ErrStopped
	}
	if in.Decided != nil {
		in.Decided()
	}
	if a.err != nil {
		return Response{}, a.err
	}
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		l.enqueue(func(d *dispatcher) {
			d.handleClientCancel(a.request)
			releaseUndelivered(responses)
		})
		return Response{}, ctx.Err()
	case <-l.ended:
		return Response{}, ErrStopped
	}
}

// releaseUndelivered releases a response that nobody waits for any more.
func releaseUndelivered(responses <-chan Response) {
	select {
	case response := <-responses:
		response.Release()
	default:
	}
}

// acceptRequest adds a request to the request table and passes it to the balancer. It returns ErrNotAccepted if the
// trace ID is in use or the balancer returns an error, and ErrMayHaveRun if the request may not run again.
func (d *dispatcher) acceptRequest(in Request, responses chan Response) (*request, error) {
	if d.traceIDs[in.TraceID] {
		return nil, ErrNotAccepted
	}
	class := d.config.Settings.Balancer.Classes[in.Class]
	if class.Idempotency != balance.Idempotent && d.executed.Contains(d.clock.Now(), d.hashTraceID(in.TraceID)) {
		d.stats.Repeated++
		return nil, ErrMayHaveRun
	}
	d.lastRequestID++
	margin := math.Min(responseMargin, in.Timeout/responseMarginDivisor)
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
		d.removeRequest(r)
		return nil, ErrNotAccepted
	}
	return r, nil
}

// respond sends the response to a request, unless the request is closed.
func (d *dispatcher) respond(id balance.RequestID, response Response) {
	r := d.requests[id]
	if r == nil || r.closed {
		return
	}
	d.deliver(r, response)
	d.removeIfDone(r)
}

// deliver closes a request and sends its response to Loop.Do.
func (d *dispatcher) deliver(r *request, response Response) {
	r.closed = true
	response.Attempted = len(r.attempts) > 0
	d.stats.Responses[response.Result]++
	r.response <- response
}

// handleClientCancel closes a request whose client has disconnected. An attempt whose connection is still being opened
// must not be sent, even if the settings do not let the balancer cancel attempts.
func (d *dispatcher) handleClientCancel(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	d.stats.ClientsCanceled++
	d.handle(balance.ClientCanceled{Request: r.id})
	for _, a := range r.attempts {
		if !a.ended && a.upstreamAttempt.ClaimStart() {
			d.finishAttempt(a, upstream.Response{Result: balance.NotSent, Err: errClientDisconnected})
		}
	}
	d.removeIfDone(r)
}

// removeIfDone removes a request from the request table once it is closed and its last attempt has ended.
func (d *dispatcher) removeIfDone(r *request) {
	if r.closed && r.inFlight == 0 {
		d.removeRequest(r)
	}
}

// removeRequest removes a request from the request table, so that its trace ID can be used again.
func (d *dispatcher) removeRequest(r *request) {
	if r.idempotency != balance.Idempotent && r.mayHaveRun() {
		d.executed.Add(d.clock.Now(), d.hashTraceID(r.TraceID))
	}
	delete(d.requests, r.id)
	delete(d.traceIDs, r.TraceID)
}

// mayHaveRun reports whether an attempt of the request may have been executed.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.notExecuted })
}

// hashTraceID returns a hash of a trace ID. Its seed differs from process to process, so that no client can choose two
// IDs with the same hash.
func (d *dispatcher) hashTraceID(traceID string) uint64 { return maphash.String(d.hashSeed, traceID) }
