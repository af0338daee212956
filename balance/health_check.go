package balance

import (
	"math"
	"slices"
)

const (
	// healthCheckBudget is the largest total penalty for the health checks before one request, as a
	// fraction of the service level: at most healthCheckBudget/Penalties.HealthCheck endpoints are checked.
	healthCheckBudget = 0.03

	// minHealthCheckCost is the value that replaces the penalty Penalties.HealthCheck, if the penalty is
	// lower, when the number of health checks per request is limited to healthCheckBudget/penalty. The
	// penalty is a fraction of the service level and may be 0. This lower bound on the penalty avoids a
	// division by zero and limits the health checks to healthCheckBudget/minHealthCheckCost per request.
	minHealthCheckCost = 1e-3

	// maxHealthCheckWait is the longest time for which the first attempt of a request waits for the results
	// of health checks, as a fraction of the latency objective of the request's class.
	maxHealthCheckWait = 0.05

	// loadReportLifetime is the age up to which an endpoint's load report is used when an endpoint is
	// picked, as a fraction of the longest latency objective of all classes.
	loadReportLifetime = 0.05

	// maxAllBusyProbability is the highest acceptable probability that all endpoints checked before a
	// request are busy (have any request in flight). So many endpoints are checked that (fraction of busy
	// endpoints)^(number of checks) is at most maxAllBusyProbability, if healthCheckBudget allows.
	maxAllBusyProbability = 0.01

	// minBusyFraction is a lower bound for the estimated fraction of endpoints that are busy (have any
	// request in flight). It keeps the logarithm of the fraction, by which the number of health checks is
	// computed, finite.
	minBusyFraction = 0.01

	// maxBusyFraction is an upper bound for the estimated fraction of endpoints that are busy (have any
	// request in flight). It keeps the logarithm of the fraction, a divisor when the number of health
	// checks is computed, away from zero.
	maxBusyFraction = 0.99

	// busyFractionSamples is the number of load reports over which the fraction of busy endpoints (those
	// with any request in flight) is averaged, by an exponential moving average. The fraction determines
	// the number of health checks before a request.
	busyFractionSamples = 50
)

// healthChecker decides which endpoints to check before a request's first attempt. The balancer checks
// endpoints before requests only if load reports come in the results of health checks.
type healthChecker struct {
	busyFraction float64    // recent fraction of the load reports that showed any request in flight
	waiting      []*request // requests that wait for their health checks
}

// fanout returns how many endpoints to check before a request, so that it is unlikely that all of them are
// busy. The cost is the penalty of one health check; the budget for health checks bounds the result.
func (h *healthChecker) fanout(cost float64) int {
	affordable := healthCheckBudget / math.Max(cost, minHealthCheckCost)
	busy := clamp(h.busyFraction, minBusyFraction, maxBusyFraction)
	wanted := math.Ceil(math.Log(maxAllBusyProbability) / math.Log(busy))
	return int(math.Min(affordable, wanted))
}

// startHealthChecks starts the health checks before a request's first attempt, at the endpoints that are next
// in the rotation. A check that is already pending serves this request too.
func (b *Balancer) startHealthChecks(r *request) {
	if !b.cfg.HealthChecks || b.cfg.ReportSource != ReportHealthCheck {
		return
	}
	fanout := b.healthChecks.fanout(b.cfg.Penalties.HealthCheck)
	pool := b.subset()
	for len(r.checkedEndpoints) < fanout {
		next := b.nextToCheck(r, pool)
		if next == nil {
			break
		}
		r.checkedEndpoints = append(r.checkedEndpoints, next)
		if !next.healthCheck.pending {
			next.healthCheck.pending = true
			b.emit(Action{Kind: HealthCheck, Endpoint: next.ID})
		}
	}
	// A request without any checked endpoint is not added to the waiting list: it has no result to wait for,
	// so its first attempt is not delayed. Requests leave the list only when a health check result arrives;
	// without any further result, the request would stay on the list forever.
	if len(r.checkedEndpoints) == 0 {
		return
	}
	r.checkWaitUntil = b.now + maxHealthCheckWait*r.class.LatencyObjective
	b.healthChecks.waiting = append(b.healthChecks.waiting, r)
}

// nextToCheck returns the endpoint of the pool that is next in the rotation, is eligible for the request, not
// ejected and not among the request's checked endpoints. It returns nil if there is no such endpoint.
func (b *Balancer) nextToCheck(r *request, pool []*endpoint) *endpoint {
	var next *endpoint
	for _, e := range pool {
		if !b.eligible(r, e) || e.outlier.ejected(b.now) || slices.Contains(r.checkedEndpoints, e) {
			continue
		}
		if next == nil || e.rotation.currentWeight > next.rotation.currentWeight {
			next = e
		}
	}
	return next
}

// handleHealthCheckResult records the load report of a health check. An endpoint that did not respond is
// ejected: its process may be running, but this sidecar cannot reach it.
func (b *Balancer) handleHealthCheckResult(event HealthCheckResult) {
	e := b.endpointByID[event.Endpoint]
	if e == nil {
		return
	}
	e.healthCheck.pending = false
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

// recordLoadReport records how many requests an endpoint has in flight, if the report says so.
func (b *Balancer) recordLoadReport(e *endpoint, report []float32) {
	for i, field := range b.cfg.ReportFields {
		if i >= len(report) || field != FieldInFlight {
			continue
		}
		if value := report[i]; value >= 0 && value <= math.MaxFloat32 {
			e.healthCheck.inFlight, e.healthCheck.reportedAt, e.healthCheck.sentSinceReport =
				float64(value), b.now, 0
			busy := math.Min(e.healthCheck.inFlight, 1)
			b.healthChecks.busyFraction += (busy - b.healthChecks.busyFraction) / busyFractionSamples
		}
	}
}

// hasFreshReport reports whether the endpoint's last load report is recent enough to be used.
func (b *Balancer) hasFreshReport(e *endpoint) bool {
	return e.healthCheck.reportedAt > 0 &&
		b.now-e.healthCheck.reportedAt <= loadReportLifetime*b.longestObjective
}

// awaitsHealthChecks reports whether a request still waits for its health checks. The wait ends with the last
// result or at checkWaitUntil, whichever comes first.
func (b *Balancer) awaitsHealthChecks(r *request) bool {
	for _, e := range r.checkedEndpoints {
		if e.healthCheck.pending && b.now < r.checkWaitUntil {
			return true
		}
	}
	r.checkWaitUntil = 0
	return false
}

// resumeWaiting processes the requests that wait for health checks, and removes the requests that no longer
// wait from the list.
func (b *Balancer) resumeWaiting() {
	waiting := b.healthChecks.waiting
	b.healthChecks.waiting = waiting[:0]
	for _, r := range waiting {
		b.processRequest(r)
		if !r.closed && r.checkWaitUntil > b.now {
			b.healthChecks.waiting = append(b.healthChecks.waiting, r)
		}
	}
}
