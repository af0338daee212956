package upstream

import (
	"context"
	"math"
	"net/http"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/headers"
)

const healthCheckTimeout = 1000.0 // ms

// Do carries out an attempt. It returns when the attempt has ended, or soon after ctx has, which cancels the attempt
// and closes its connection.
func (p *Pool) Do(ctx context.Context, a *Attempt) (r Response) {
	x := newRoundTrip(a.Request.Method)
	defer func() { r.ConnectionIdle = x.connectionIdle }()
	c, err := p.acquire(ctx, a.Endpoint, x)
	if err != nil {
		return failed(balance.ConnectFailed, err)
	}
	now := p.options.Clock.Now()
	if !p.mayStart(a, now) {
		p.release(c, x)
		return failed(balance.NotSent, ErrTooLate)
	}
	defer context.AfterFunc(ctx, func() { p.abandon(c, x) })() // also while the write is held up
	if whole, err := p.write(c, x, a, now); err != nil {
		p.abandon(c, x)
		if whole { // the endpoint runs a request once it has its last byte
			return failed(balance.Reset, err)
		}
		return failed(balance.ConnectFailed, err)
	}
	select {
	case r := <-x.done:
		return r
	case <-ctx.Done():
		p.abandon(c, x)
		return failed(balance.Canceled, ctx.Err())
	}
}

// mayStart reports whether an attempt may begin now that its connection is up. That may have taken long: meanwhile the
// endpoint may have begun to drain, and the request's time or the time in which its key is known may have passed.
func (p *Pool) mayStart(a *Attempt, now float64) bool {
	if now >= a.StartBefore || now >= a.Deadline || a.Endpoint.drainGraceOver(now, p.options.DrainGrace) {
		return false
	}
	return a.Claim()
}

// write sends the request. It reports whether all of it has left.
func (p *Pool) write(c *conn, x *roundTrip, a *Attempt, now float64) (whole bool, err error) {
	c.SetWriteDeadline(p.options.Clock.Time(a.Deadline))
	text := a.Request.encode(c.addr, a.Deadline-now)
	x.started.Store(true)
	n, err := c.Write(text)
	close(x.written)
	return n == len(text), err
}

// HealthCheck asks an endpoint how it is. The load report comes in a header field or as the body.
func (p *Pool) HealthCheck(ctx context.Context, e *Endpoint, path string) Response {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(healthCheckTimeout))
	defer cancel()
	r := p.Do(ctx, &Attempt{
		Endpoint:    e,
		Request:     Request{Method: http.MethodGet, Target: path},
		Deadline:    p.options.Clock.Now() + healthCheckTimeout,
		StartBefore: math.Inf(1),
	})
	if r.Result == balance.OK && len(r.LoadReport) == 0 {
		r.LoadReport = headers.ParseLoadReport(string(r.Body), p.options.ReportFields)
	}
	return r
}
