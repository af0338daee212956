package balance

import "math"

const (
	// allowedQueueingFraction determines the allowed latency, above which a sidecar without fresh gossip
	// detects overload: baseline + allowedQueueingFraction*(1-baseline). Latencies are fractions of the
	// latency objective of the request's class. The baseline is the smallest mean latency so far. The second
	// term of the sum is the latency that queueing may add to the baseline.
	allowedQueueingFraction = 0.25
	// countedInFlightFraction is the fraction of the load in flight that counts when a sidecar estimates
	// the latency of its responses by Little's law, as countedInFlightFraction*load/rate. The load is the
	// sum of 1/(latency objective) over the sidecar's attempts in flight, and the rate is its rate of
	// successful responses. So the estimate is a fraction of the latency objective.
	countedInFlightFraction = 0.85
	// assumedResponses is the number of responses that is added to the recent successful responses of a
	// sidecar when their rate is estimated, so that a sidecar with few recent responses gets a usable rate.
	// The latency of responses is estimated from this rate.
	assumedResponses = 2
	// maxEstimatedLatency is the upper bound on the latency that a sidecar estimates from its attempts in
	// flight to detect overload, as a multiple of the latency objective of the request's class.
	maxEstimatedLatency = 2
	// immediateShedGain determines how far the fraction of the load to shed follows the overload at once:
	// without fresh gossip the fraction is baseShedFraction + immediateShedGain*overload, kept between 0
	// and the smaller of 2*baseShedFraction and maxShedFraction. The overload is the estimated latency
	// minus the allowed latency, as a fraction of the latency objective; a negative overload lowers the
	// fraction. See baseShedGain for baseShedFraction.
	immediateShedGain = 4
	// baseShedGain determines how fast the base shed fraction, a fraction of the load that persists between
	// requests, changes: without fresh gossip each arriving request adds baseShedGain*overload and keeps
	// the fraction between 0 and maxShedFraction. The overload is the estimated latency minus the allowed
	// latency, as a fraction of the latency objective; a negative overload lowers the fraction. With little
	// traffic the change is larger; see lowTrafficRequests.
	baseShedGain = 0.04
	// lowTrafficRequests is the number of arriving requests, per longest latency objective of all classes,
	// below which a sidecar has little traffic. With little traffic, each request changes the base shed
	// fraction more, by the factor lowTrafficRequests/(requests per longest objective), but at most by the
	// factor lowTrafficRequests.
	lowTrafficRequests = 5
	// minRequestRate is the lower bound, in requests per ms, on the rate of requests where it is a divisor.
	minRequestRate = 1e-9
	// maxShedFraction is the largest fraction of the load, from 0 to 1, that a sidecar decides to shed. It
	// is below 1 because responses are needed to see that an overload has ended.
	maxShedFraction = 0.95
	// maxQuotaRatio is the upper bound on the ratio of a tenant's quota (the fraction Tenant.QuotaShare of
	// all requests to this sidecar) to the number of the tenant's requests. The ratio is below 1 for a
	// tenant over its quota. A higher ratio raises the shed value of the tenant's requests, and requests of
	// low shed value are rejected first.
	maxQuotaRatio = 2
	// similarValueFactor is the ratio up to which the shed values of two requests count as similar. The
	// shed value is what a request adds to the goal, per ms of the mean latency of its class. Requests of
	// similar shed value are rejected with equal probability, so that a tenant slightly over its quota does
	// not bear all of the shedding.
	similarValueFactor = 1.25
	// minRetryAfter is the lower bound on the Retry-After of a rejected request, as a fraction of the
	// latency objective of the request's class. Config.MaxRetryAfter, the longest Retry-After that clients
	// follow, may be shorter and then takes precedence.
	minRetryAfter = 0.05
	// maxRetryAfter is the upper bound on the Retry-After of a rejected request, as a fraction of the
	// latency objective of the request's class. After a longer wait the client's retry would be too late.
	maxRetryAfter = 0.25
	// minMeanLatency is the lower bound, in ms, on the mean latency of a class where the value of the
	// class's requests is divided by the mean latency. It avoids a division by zero before the first
	// response of the class.
	minMeanLatency = 1e-3
	// retryTimeoutRatio is the fraction of the longest timeout of first requests of a class below which a
	// request's timeout shows that the request is a client's retry. The timeout of a retry is what is left of
	// the client's deadline. With Config.ClientsMarkRetries, the request must also be marked as a retry. Such
	// a retry may be rejected if the latency objective, counted from the client's first request, has passed.
	retryTimeoutRatio = 0.99
)

// loadShedder decides which fraction of the load to reject before any attempt. It uses only what this sidecar
// observes itself.
type loadShedder struct {
	longestObjective float64   // longest latency objective of all classes, ms
	responseRate     rateMeter // rate of successful responses
	untoldRate       rateMeter // rate of attempts that ended too early to tell something
	untoldLoad       rateMeter // mean load in flight of such attempts
	baseShedFraction float64   // fraction of the load to shed; it persists after the overload

	// overload is the latency beyond the allowed latency, as a fraction of the objective. With gossip,
	// overload is the load beyond the concurrency limit; see fleetShedFraction.
	overload float64
}

func newLoadShedder(longestObjective float64) loadShedder {
	return loadShedder{
		longestObjective: longestObjective,
		responseRate:     newRateMeter(longestObjective),
		untoldRate:       newRateMeter(longestObjective),
		untoldLoad:       newRateMeter(longestObjective),
	}
}

// recordUntold records an attempt that ended too early to tell something, with its time in flight as a
// fraction of the latency objective. Its client must not make the fleet look full.
func (s *loadShedder) recordUntold(now, fraction float64) {
	s.untoldRate.add(now, 1)
	s.untoldLoad.add(now, fraction)
}

// update sets the overload and the base shed fraction by the current load, and returns the fraction of the
// load to shed now. It estimates the latency of responses by Little's law, as the attempts in flight divided
// by the response rate. This estimate shows overload before the slow responses themselves arrive.
func (s *loadShedder) update(now, inFlight, requestRate float64, latency *latencyTracker) float64 {
	estimated := countedInFlightFraction * inFlight / s.responseRate.rate(now, assumedResponses)
	allowed := latency.baseline + allowedQueueingFraction*(1-latency.baseline)
	bounded := math.Min(estimated, 2*latency.shortTerm) // requests may be in flight together by chance
	s.overload = math.Min(bounded, maxEstimatedLatency) - allowed
	told := 1 - math.Min(1, s.untoldRate.rate(now, 0)/math.Max(requestRate, minRequestRate))
	lowTrafficFactor := clamp(lowTrafficRequests/(requestRate*s.longestObjective), 1, lowTrafficRequests)
	s.baseShedFraction = clamp(s.baseShedFraction+baseShedGain*lowTrafficFactor*told*s.overload,
		0, maxShedFraction)
	// A sidecar whose base shed fraction is 0 must not shed because of requests in flight together by chance.
	limit := math.Min(maxShedFraction, 2*s.baseShedFraction)
	return clamp(s.baseShedFraction+immediateShedGain*s.overload, 0, limit)
}

// admit reports whether a request may be sent. It sheds load that the fleet cannot serve within the latency
// objectives, before any attempt is made.
func (b *Balancer) admit(r *request) bool {
	shed := b.shedFraction()
	if b.pastObjective(r) && b.shedder.baseShedFraction >= r.class.LateWeight {
		b.stats.PastObjective++
		return false
	}
	if shed > 0 && b.random.float64() < b.shedProbability(r, shed) {
		b.stats.Shed++
		return false
	}
	return true
}

// shedFraction returns the fraction of the load to shed now. With fresh gossip the fraction follows from the
// fleet's requests in flight, otherwise from what this sidecar observes itself. While gossip is lost, the
// larger of both fractions is returned.
func (b *Balancer) shedFraction() float64 {
	shed := b.shedder.update(b.now, b.overloadSignal(), b.requestRate.rate(b.now, 0), &b.latency)
	switch {
	case b.gossip.isFresh(b.now):
		shed = b.fleetShedFraction()
		b.shedder.baseShedFraction = shed
	case b.gossip.isLost(b.now):
		shed = math.Max(shed, b.fleetShedFraction())
	}
	return shed
}

// overloadSignal returns the load in flight that counts as a sign of overload. Attempts that hang at a few
// ejected endpoints are a fault of these endpoints and do not count. If most of the load is at ejected
// endpoints, the cause is overload, and all of the load counts.
func (b *Balancer) overloadSignal() float64 {
	healthy, ejected := b.inFlightLoad()
	healthy = math.Max(0, healthy-b.shedder.untoldLoad.rate(b.now, 0))
	if ejected > healthy {
		return healthy + ejected
	}
	return healthy
}

// inFlightLoad returns the load of the attempts in flight, each counted as 1 divided by its latency
// objective: at endpoints that were not ejected since their last response (healthy) and at all others
// (ejected).
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

// pastObjective reports whether the request is a client's retry whose latency objective, counted from the
// client's first request, has passed. A timeout shorter than the timeout of first requests is what is left of
// the client's deadline. The timeouts of marked retries do not count for the longest timeout of first
// requests, as some clients give each retry the whole timeout.
func (b *Balancer) pastObjective(r *request) bool {
	longest := &r.classStats.longestTimeout
	if !b.cfg.ClientsMarkRetries || !r.IsRetry {
		*longest = math.Max(*longest, r.Timeout)
	}
	if b.cfg.ClientsMarkRetries && !r.IsRetry {
		return false
	}
	return r.Timeout < retryTimeoutRatio*(*longest) && r.Timeout <= r.class.Deadline-r.class.LatencyObjective
}

// shedProbability returns the probability with which to reject a request so that the given fraction of the
// work is shed. Requests of the classes and tenants with the lowest shed value are rejected first.
func (b *Balancer) shedProbability(r *request, shed float64) float64 {
	demand := b.demand.summarize()
	ownValue := b.shedValue(r.classStats, r.tenant, &demand)
	totalWork, lowerValueWork, similarValueWork := 0.0, 0.0, 1e-3
	for c := range b.demand.classes {
		class := &b.demand.classes[c]
		for t := range b.demand.tenants {
			tenant := &b.demand.tenants[t]
			work := class.requested * class.meanLatency * tenant.requested
			totalWork += work
			if value := b.shedValue(class, tenant, &demand); value*similarValueFactor < ownValue {
				lowerValueWork += work
			} else if value < ownValue*similarValueFactor {
				similarValueWork += work
			}
		}
	}
	return (shed*totalWork - lowerValueWork) / similarValueWork
}

// shedValue returns what a request of a class and tenant adds to the goal, per unit of its work. The goal
// weighs the worst-served class and the worst-served tenant separately.
func (b *Balancer) shedValue(class *classStats, tenant *serviceTally, demand *demandSummary) float64 {
	goal := &b.cfg.Goal
	value := (goal.Overall + goal.WorstWindow) * class.priorityWeight / demand.value
	if class == demand.worstClass {
		value += goal.WorstClass / class.requested
	}
	value *= b.quotaWeight(tenant, demand.requests)
	if tenant == demand.worstTenant {
		value += goal.WorstTenant * class.priorityWeight / demand.value * demand.requests / tenant.requested
	}
	return value / math.Max(class.meanLatency, minMeanLatency)
}

// quotaWeight returns the factor by which a tenant's quota changes the value of the tenant's requests. The
// part of the traffic within the quota counts in full and the rest at OverQuotaWeight. The quota is the
// tenant's share of all requests of this sidecar.
func (b *Balancer) quotaWeight(t *serviceTally, requests float64) float64 {
	if t.quotaShare <= 0 {
		return 1
	}
	quotaRatio := math.Min(t.quotaShare*requests/t.requested, maxQuotaRatio)
	return b.cfg.OverQuotaWeight + (1-b.cfg.OverQuotaWeight)*quotaRatio
}

// retryAfter returns the Retry-After of a rejected request in ms, or 0 for none. The wait is the time by
// which responses are too slow now. After a longer wait the client's retry would be late and its work wasted.
func (b *Balancer) retryAfter(r *request) float64 {
	if !b.cfg.RetryAfter {
		return 0
	}
	delay := r.class.LatencyObjective * clamp(b.shedder.overload, minRetryAfter, maxRetryAfter)
	if b.cfg.MaxRetryAfter > 0 {
		delay = math.Min(delay, b.cfg.MaxRetryAfter)
	}
	return delay
}
