package upstream

import (
	"context"
	"math"
	"net/http"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/headers"
)

// healthCheckTimeout is the time in ms within which an endpoint must respond to a health check.
const healthCheckTimeout = 1000.0

// Do sends an attempt to its endpoint and returns the outcome. When ctx ends, Do cancels the attempt, closes its
// connection and returns soon after.
func (p *Pool) Do(ctx context.Context, a *Attempt) (r Response) {
	rt := newRoundTrip(ctx, a.Request.Method)
	defer func() { r.ConnectionIdle = rt.connectionIdle }()
	c, err := p.acquire(ctx, a.Endpoint, rt)
	if err != nil {
		return failure(balance.ConnectFailed, err)
	}
	now := p.options.Clock.Now()
	if !p.tryStart(a, now) {
		p.release(c, rt)
		return failure(balance.NotSent, ErrNotSent)
	}
	defer context.AfterFunc(ctx, func() { p.closeIfCurrent(c, rt) })() // also ends a blocked write
	if complete, err := p.write(c, rt, a, now); err != nil {
		p.closeIfCurrent(c, rt)
		if complete { // the endpoint may execute a request once it has received the last byte
			return failure(balance.Reset, err)
		}
		return failure(balance.ConnectFailed, err)
	}
	select {
	case r := <-rt.result:
		return r
	case <-ctx.Done():
		p.closeIfCurrent(c, rt)
		rt.releaseUndelivered()
		return failure(balance.Canceled, ctx.Err())
	}
}

// tryStart claims the start of an attempt whose connection is established and reports whether its request may be sent.
// Connecting can take long: meanwhile the deadline may have passed, the endpoint's drain grace may have ended, the
// endpoint may have forgotten the idempotency key (Attempt.StartBefore), or the attempt may have been canceled.
func (p *Pool) tryStart(a *Attempt, now float64) bool {
	if now >= a.StartBefore || now >= a.Deadline || a.Endpoint.drainGraceExpired(now, p.options.DrainGrace) {
		return false
	}
	return a.ClaimStart()
}

// write sends the request and reports whether it was completely written.
func (p *Pool) write(c *conn, rt *roundTrip, a *Attempt, now float64) (complete bool, err error) {
	c.SetWriteDeadline(p.options.Clock.Time(a.Deadline))
	data := a.Request.encode(c.addr, a.Deadline-now)
	rt.writeStarted.Store(true)
	n, err := c.Write(data)
	close(rt.writeEnded)
	return n == len(data), err
}

// HealthCheck sends a GET request for path to an endpoint. The load report is read from the header field of the
// response or, if there is none, from the body.
func (p *Pool) HealthCheck(ctx context.Context, e *Endpoint, path string) Response {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(healthCheckTimeout))
	defer cancel()
	r := p.Do(ctx, &Attempt{
		Endpoint:    e,
		Request:     Request{Method: http.MethodGet, Target: path},
		Deadline:    p.options.Clock.Now() + healthCheckTimeout,
		StartBefore: math.Inf(1),
	})
	defer r.Release()
	if r.Result == balance.OK && len(r.LoadReport) == 0 {
		r.LoadReport = headers.ParseLoadReport(string(r.Body), p.options.ReportFields)
	}
	return r
}
