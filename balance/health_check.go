package balance

import (
	"math"
	"slices"
)

const (
	healthCheckSpend   = 0.03 // part of the service level that the checks before a request may cost
	minHealthCheckCost = 1e-3
	healthCheckWait    = 0.05 // of the objective that a first attempt waits for checks
	reportFreshness    = 0.05 // of the longest objective for which load reports are believed
	allBusyProbability = 0.01 // that all checked endpoints are busy, at which no more are checked
	minBusyFraction    = 0.01
	maxBusyFraction    = 0.99
	busySamples        = 50 // reports over which the busy fraction is taken
)

// healthChecker checks endpoints before a first attempt, where only health checks bring load reports.
type healthChecker struct {
	busyFraction float64    // recent part of the checked endpoints that held any requests
	waiting      []*request // for their checks
}

// fanout is how many endpoints to check so that hardly ever all of them are busy, within what checks may
// cost.
func (h *healthChecker) fanout(cost float64) int {
	affordable := healthCheckSpend / math.Max(cost, minHealthCheckCost)
	busy := clamp(h.busyFraction, minBusyFraction, maxBusyFraction)
	wanted := math.Ceil(math.Log(allBusyProbability) / math.Log(busy))
	return int(math.Min(affordable, wanted))
}

// startHealthChecks checks the endpoints that are next in the rotation before a first attempt.
func (b *Balancer) startHealthChecks(r *request) {
	if !b.cfg.HealthChecks || b.cfg.ReportSource != ReportHealthCheck {
		return
	}
	fanout := b.healthChecks.fanout(b.cfg.Penalties.HealthCheck)
	pool := b.subset()
	for len(r.checked) < fanout {
		next := b.nextToCheck(r, pool)
		if next == nil {
			break
		}
		r.checked = append(r.checked, next)
		if !next.check.pending {
			next.check.pending = true
			b.emit(Action{Kind: HealthCheck, Endpoint: next.ID})
		}
	}
	if len(r.checked) == 0 { // nothing to wait for, and no result that would end the wait
		return
	}
	r.checksUntil = b.now + healthCheckWait*r.class.LatencyObjective
	b.healthChecks.waiting = append(b.healthChecks.waiting, r)
}

func (b *Balancer) nextToCheck(r *request, pool []*endpoint) *endpoint {
	var next *endpoint
	for _, e := range pool {
		if !b.eligible(r, e) || e.outlier.ejected(b.now) || slices.Contains(r.checked, e) {
			continue
		}
		if next == nil || e.rotation.currentWeight > next.rotation.currentWeight {
			next = e
		}
	}
	return next
}

// handleHealthCheckResult takes in a load report. An endpoint that does not respond may run, but nothing gets
// through to it from here.
func (b *Balancer) handleHealthCheckResult(event HealthCheckResult) {
	e := b.endpointByID[event.Endpoint]
	if e == nil {
		return
	}
	e.check.pending = false
	if event.Result == OK {
		b.recordLoadReport(e, event.LoadReport)
		if e.outlier.unreachable {
			e.outlier.unreachable, e.outlier.ejections, e.outlier.ejectedUntil = false, 0, 0
		}
	} else {
		b.eject(e)
		e.outlier.unreachable = true
	}
	b.resumeWaiting()
}

// recordLoadReport takes in how many requests an endpoint holds.
func (b *Balancer) recordLoadReport(e *endpoint, report []float32) {
	for i, field := range b.cfg.ReportFields {
		if i >= len(report) || field != FieldInFlight {
			continue
		}
		if value := report[i]; value >= 0 && value <= math.MaxFloat32 {
			e.check.inFlight, e.check.reportedAt, e.check.sentSinceReport = float64(value), b.now, 0
			busy := math.Min(e.check.inFlight, 1)
			b.healthChecks.busyFraction += (busy - b.healthChecks.busyFraction) / busySamples
		}
	}
}

func (b *Balancer) hasFreshReport(e *endpoint) bool {
	return e.check.reportedAt > 0 && b.now-e.check.reportedAt <= reportFreshness*b.longestObjective
}

// awaitsHealthChecks reports whether a request still waits for its health checks; it never waits for long.
func (b *Balancer) awaitsHealthChecks(r *request) bool {
	for _, e := range r.checked {
		if e.check.pending && b.now < r.checksUntil {
			return true
		}
	}
	r.checksUntil = 0
	return false
}

// resumeWaiting looks at the requests that wait for health checks and keeps those that still do.
func (b *Balancer) resumeWaiting() {
	waiting := b.healthChecks.waiting
	b.healthChecks.waiting = waiting[:0]
	for _, r := range waiting {
		b.advance(r)
		if !r.closed && r.checksUntil > b.now {
			b.healthChecks.waiting = append(b.healthChecks.waiting, r)
		}
	}
}
