package balance

import "math"

const (
	queueAllowance      = 0.25 // of the objective beyond the baseline latency: more of a queue is overload
	trustedLoadFraction = 0.85 // of the requests in flight that is held against the rate of responses
	assumedResponses    = 2    // beside the recent responses of a sidecar that has hardly any
	maxEstimatedLatency = 2    // objectives
	immediateShedGain   = 4    // fraction of the load to shed at once, per objective of overload
	baseShedGain        = 0.04 // and lastingly, more for each request
	lowTrafficRequests  = 5    // requests within an objective, under which each counts for more
	maxShedFraction     = 0.95 // never all: responses are needed to see that the overload is gone
	maxQuotaFraction    = 2    // a tenant counts as at most this far under its quota
	similarValueFactor  = 1.25 // values within this factor are shed alike: no tenant pays for a tiny excess
	minRetryAfter       = 0.05 // of the objective
	maxRetryAfter       = 0.25 // of the objective: a later retry of the client would be too late
	minMeanLatency      = 1e-3 // ms
	clearlyShorter      = 0.99 // of the longest timeout: a timeout under this is not a first try's
)

// loadShedder decides, from what this sidecar sees by itself, which fraction of the load to reject before any
// attempt.
type loadShedder struct {
	longestObjective float64
	responseRate     rateMeter
	baseFraction     float64 // of the load that is shed lastingly
	overload         float64 // what responses take beyond what they may, as a fraction of the objective
}

func newLoadShedder(longestObjective float64) loadShedder {
	return loadShedder{longestObjective: longestObjective, responseRate: newRateMeter(longestObjective)}
}

// update follows the load and returns the fraction to shed now. By Little's law the attempts in flight over
// the rate of responses give how long responses take, sooner than these do.
func (s *loadShedder) update(now, inFlight, requestRate float64, latency *latencyTracker) float64 {
	estimated := trustedLoadFraction * inFlight / s.responseRate.rate(now, assumedResponses)
	allowed := latency.baseline + queueAllowance*(1-latency.baseline)
	seen := math.Min(estimated, 2*latency.shortTerm) // some requests are in flight together by chance
	s.overload = math.Min(seen, maxEstimatedLatency) - allowed
	haste := clamp(lowTrafficRequests/(requestRate*s.longestObjective), 1, lowTrafficRequests)
	s.baseFraction = clamp(s.baseFraction+baseShedGain*haste*s.overload, 0, maxShedFraction)
	most := math.Min(maxShedFraction, 2*s.baseFraction) // not by chance alone
	return clamp(s.baseFraction+immediateShedGain*s.overload, 0, most)
}

// admit sheds load that the fleet cannot serve within its objectives, before anything is sent.
func (b *Balancer) admit(r *request) bool {
	shed := b.shedFraction()
	if b.pastObjective(r) && b.shedder.baseFraction >= r.class.LateWeight {
		b.stats.PastObjective++
		return false
	}
	if shed > 0 && b.random.float64() < b.shedProbability(r, shed) {
		b.stats.Shed++
		return false
	}
	return true
}

// shedFraction is the fraction of the load to shed now: by the fleet's requests in flight where there is
// fresh gossip, else by what this sidecar sees.
func (b *Balancer) shedFraction() float64 {
	shed := b.shedder.update(b.now, b.countedLoad(), b.requestRate.rate(b.now, 0), &b.latency)
	switch {
	case b.gossip.fresh(b.now):
		shed = b.fleetShedFraction()
		b.shedder.baseFraction = shed
	case b.gossip.lost(b.now):
		shed = math.Max(shed, b.fleetShedFraction())
	}
	return shed
}

// countedLoad is the load in flight that counts for overload. Hung attempts at a few endpoints are a fault
// of these; at most of the endpoints they are overload.
func (b *Balancer) countedLoad() float64 {
	healthy, ejected := b.inFlightLoad()
	if ejected > healthy {
		return healthy + ejected
	}
	return healthy
}

// inFlightLoad is what is in flight, each attempt as one over its objective, at endpoints that were not
// ejected since they last answered and at the others.
func (b *Balancer) inFlightLoad() (healthy, ejected float64) {
	for _, e := range b.endpoints {
		if e.outlier.ejectedUntil == 0 {
			healthy += e.objectiveLoad
		} else {
			ejected += e.objectiveLoad
		}
	}
	return healthy, ejected
}

// pastObjective reports whether the request is a client's retry whose objective has passed. Its timeout
// shows that: if it is shorter than that of first tries, it is what is left of the deadline. The timeouts of
// marked retries are not learned from, as some clients give each retry the whole timeout.
func (b *Balancer) pastObjective(r *request) bool {
	longest := &r.classStats.longestTimeout
	if !b.cfg.ClientsMarkRetries || !r.IsRetry {
		*longest = math.Max(*longest, r.Timeout)
	}
	if b.cfg.ClientsMarkRetries && !r.IsRetry {
		return false
	}
	return r.Timeout < clearlyShorter*(*longest) && r.Timeout <= r.class.Deadline-r.class.LatencyObjective
}

// shedProbability spreads the load to shed over classes and tenants: first goes what adds least to the goal
// for its work. The goal weighs the worst-served class and tenant on their own.
func (b *Balancer) shedProbability(r *request, shed float64) float64 {
	demand := b.demand.summarize()
	own := b.shedValue(r.classStats, r.tenant, &demand)
	total, below, similar := 0.0, 0.0, 1e-3
	for c := range b.demand.classes {
		class := &b.demand.classes[c]
		for t := range b.demand.tenants {
			tenant := &b.demand.tenants[t]
			work := class.requested * class.meanLatency * tenant.requested
			total += work
			if value := b.shedValue(class, tenant, &demand); value*similarValueFactor < own {
				below += work
			} else if value < own*similarValueFactor {
				similar += work
			}
		}
	}
	return (shed*total - below) / similar
}

// shedValue is what a request of a class and tenant adds to the goal, for its work.
func (b *Balancer) shedValue(class *classStats, tenant *serviceTally, demand *demandSummary) float64 {
	goal := &b.cfg.Goal
	value := (goal.Overall + goal.WorstWindow) * class.priorityWeight / demand.value
	if class == demand.worstClass {
		value += goal.WorstClass / class.requested
	}
	value *= b.quotaFraction(tenant, demand.requests)
	if tenant == demand.worstTenant {
		value += goal.WorstTenant * class.priorityWeight / demand.value * demand.requests / tenant.requested
	}
	return value / math.Max(class.meanLatency, minMeanLatency)
}

// quotaFraction is the part of a tenant's traffic that counts in full, by its share of this sidecar's
// requests.
func (b *Balancer) quotaFraction(t *serviceTally, requests float64) float64 {
	if t.quotaShare <= 0 {
		return 1
	}
	within := math.Min(t.quotaShare*requests/t.requested, maxQuotaFraction)
	return b.cfg.OverQuotaWeight + (1-b.cfg.OverQuotaWeight)*within
}

// retryAfter is when a rejected client should retry: after the time by which responses take too long now. A
// longer wait would make the retry too late, and its work a waste.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	after := r.class.LatencyObjective * clamp(b.shedder.overload, minRetryAfter, maxRetryAfter)
	if b.cfg.MaxRetryAfter > 0 {
		after = math.Min(after, b.cfg.MaxRetryAfter)
	}
	return after
}
