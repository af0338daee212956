package balance

import "math"

const (
	// initialConcurrencyLimit is the concurrency limit with which a sidecar starts. With gossip, load is shed
	// while the load exceeds the limit. The load is the number of requests that all sidecars have in flight
	// at the endpoints about which the sidecar receives gossip. This number is divided by the sum of the
	// nominal capacities of the endpoints (Endpoint.NominalCapacity; 1 if not known).
	initialConcurrencyLimit = 0.7
	// fullShedLoad is the load at which the fraction of the load to shed reaches 1, before maxShedFraction
	// bounds the fraction. The fraction rises linearly from 0 at the concurrency limit. The load is the
	// number of requests that all sidecars have in flight at the endpoints about which the sidecar receives
	// gossip. This number is divided by the sum of the nominal capacities of the endpoints
	// (Endpoint.NominalCapacity; 1 if not known). The value is given for initialConcurrencyLimit; at another
	// limit it is multiplied by limit/initialConcurrencyLimit.
	fullShedLoad = 1.8
	// atCapacityLoad is the largest number of requests in flight of all sidecars at one endpoint, divided
	// by the endpoint's nominal capacity (Endpoint.NominalCapacity; 1 if not known). An endpoint that one
	// more request would raise above this number is at capacity and is picked only if all candidates are
	// overloaded. The value is given for initialConcurrencyLimit; at another limit it is multiplied by
	// limit/initialConcurrencyLimit.
	atCapacityLoad = 1.3
	// minRequestsAtCapacity is the number of requests that all sidecars together may have in flight at an
	// endpoint before the endpoint is at capacity, however small its nominal capacity is. An endpoint at
	// capacity is picked only if all candidates are overloaded.
	minRequestsAtCapacity = 2
	// fleetShareSamples is the number of arriving requests over which a sidecar averages its own and the
	// fleet's requests in flight, by exponential moving averages, while gossip is fresh. The ratio of these
	// averages is the sidecar's share of the load. While gossip is lost, the fleet's requests in flight are
	// estimated from this share.
	fleetShareSamples = 50
	// latencyTolerance is the slowness below which the responses of all sidecars count as fast, so that the
	// concurrency limit may rise. The slowness is (mean-baseline)/(1-baseline), where mean and baseline are
	// the recent and the smallest mean latency of these responses, as fractions of the latency objective.
	// Above 2*latencyTolerance responses count as slow, and the limit falls.
	latencyTolerance = 0.03
	// minLimitUsage is the fraction of the concurrency limit that the recent mean load must exceed for the
	// limit to be raised. The load is the requests in flight of all sidecars per unit of nominal capacity.
	minLimitUsage = 0.75
	// limitIncreaseRate is the exponential growth rate of the concurrency limit, per second: the limit is
	// multiplied by exp(limitIncreaseRate*seconds) while the responses of all sidecars are fast and more
	// than the fraction minLimitUsage of the limit is in use. The limit has no fixed upper bound.
	limitIncreaseRate = 0.5
	// limitDecreaseRate is the exponential decay rate of the concurrency limit, per second: the limit is
	// multiplied by exp(-limitDecreaseRate*seconds) while the responses of all sidecars are slow, down to
	// the floor that limitFloorFactor determines.
	limitDecreaseRate = 0.9
	// limitFloorFactor is the multiple of the recent peak of the load in service below which the
	// concurrency limit does not fall. The load in service is the requests of all sidecars that endpoints
	// work on (in flight, but not queued), per unit of nominal capacity. The floor is at most
	// initialConcurrencyLimit.
	limitFloorFactor = 1.2
	// peakServiceDecayTime is the time constant, in ms, with which the recent peak of the load in service
	// decays: without a new peak it is multiplied by exp(-elapsed/peakServiceDecayTime). The load in
	// service is the requests of all sidecars that are in flight, but not queued, per unit of nominal
	// capacity. The peak determines the floor of the concurrency limit.
	peakServiceDecayTime = 3e4
	// minLoadDivisor avoids divisions by zero: the sum of the nominal capacities of endpoints starts at
	// this value, and the mean number of a sidecar's own requests in flight is at least this value where it
	// is a divisor.
	minLoadDivisor = 1e-3
)

// concurrencyLimiter is an adaptive concurrency limit. From the responses of all sidecars it learns how many
// requests in flight endpoints can hold per unit of their nominal capacity.
type concurrencyLimiter struct {
	limit         float64 // requests in flight per unit of nominal capacity
	startedAt     float64 // start of the balancer, in ms
	updatedAt     float64 // time of the last call of updateConcurrencyLimit, in ms
	utilization   float64 // recent mean of the fleet's requests in flight, per unit of nominal capacity
	peakInService float64 // recent peak of the requests in service, per unit of nominal capacity
	latency       fleetLatency
	ownInFlight   float64 // mean of this sidecar's requests in flight while gossip was fresh
	fleetInFlight float64 // mean of all sidecars' requests in flight while gossip was fresh
}

func newConcurrencyLimiter() concurrencyLimiter {
	return concurrencyLimiter{
		limit:   initialConcurrencyLimit,
		latency: fleetLatency{baseline: initialBaseline},
	}
}

func (l *concurrencyLimiter) start(now float64) { l.startedAt, l.updatedAt = now, now }

// scaleToLimit converts a load that is given for initialConcurrencyLimit to the current limit.
func (l *concurrencyLimiter) scaleToLimit(load float64) float64 {
	return load * l.limit / initialConcurrencyLimit
}

// recordFleetShare updates the means of this sidecar's and of the fleet's requests in flight.
func (l *concurrencyLimiter) recordFleetShare(load fleetLoad) {
	l.ownInFlight += (load.own - l.ownInFlight) / fleetShareSamples
	l.fleetInFlight += (load.total - l.fleetInFlight) / fleetShareSamples
}

// estimateFleetInFlight estimates the fleet's requests in flight from this sidecar's number and its share of
// the load. One standard deviation is subtracted, as some requests are in flight together by chance.
func (l *concurrencyLimiter) estimateFleetInFlight(own float64) float64 {
	return math.Max(0, own-math.Sqrt(own)) * l.fleetInFlight / math.Max(l.ownInFlight, minLoadDivisor)
}

// adjustLimit adapts the limit to the mean latency of all sidecars' responses. While the mean is close to the
// baseline latency, more requests do no harm and the limit may rise. When the mean is well above the
// baseline, requests queue at the endpoints and the limit falls.
//
// By Little's law the utilization times the ratio of baseline to mean latency is the load in service, without
// the queues. Endpoints have served the peak of this load, so responses that are slow at a lower load have
// another cause, and the peak is a floor for the limit. Overloaded endpoints serve less than before, so the
// floor is at most the initial limit.
func (l *concurrencyLimiter) adjustLimit(elapsed, utilization float64) {
	mean := l.latency.sum / l.latency.samples
	smallSampleFactor := 1 + 1/math.Sqrt(l.latency.samples) // few responses may be fast by chance
	l.latency.baseline = clamp(mean*smallSampleFactor, 1.0/latencyUnitsPerObjective, l.latency.baseline)
	baseline := l.latency.baseline
	l.utilization += (utilization - l.utilization) * -math.Expm1(-elapsed/latencyDecayTime)
	inService := l.utilization * baseline / math.Max(mean, baseline)
	l.peakInService = math.Max(l.peakInService*math.Exp(-elapsed/peakServiceDecayTime), inService)

	slowness := (mean - baseline) / (1 - baseline)
	switch {
	case slowness > 2*latencyTolerance:
		floor := math.Min(math.Min(l.limit, initialConcurrencyLimit), limitFloorFactor*l.peakInService)
		l.limit = math.Max(floor, l.limit*math.Exp(-limitDecreaseRate*elapsed/1000))
	case slowness < latencyTolerance && l.utilization > minLimitUsage*l.limit:
		l.limit *= math.Exp(limitIncreaseRate * elapsed / 1000)
	}
}

// updateConcurrencyLimit adjusts the limit if gossip is fresh and there are enough recent responses.
func (b *Balancer) updateConcurrencyLimit() {
	elapsed := b.now - b.concurrency.updatedAt
	b.concurrency.updatedAt = b.now
	b.concurrency.latency.add(b.now, 0, 0)
	if b.concurrency.latency.samples < minLatencySamples || !b.gossip.isFresh(b.now) {
		return
	}
	load := b.fleetLoad()
	b.concurrency.adjustLimit(elapsed, load.total/load.capacity)
}

// fleetLoad holds the number of requests in flight at the endpoints in use, and the capacity of these
// endpoints.
type fleetLoad struct {
	own      float64 // requests in flight of this sidecar
	total    float64 // requests in flight of all sidecars
	capacity float64 // sum of the nominal capacities, lowered for endpoints that warm up
}

// fleetLoad sums up the load and the capacity of the endpoints in this sidecar's gossip scope. It leaves out
// endpoints that are not ready, ejected or failing, as these get no requests. The count of requests at each
// endpoint is bounded, because requests pile up at an endpoint that hangs.
func (b *Balancer) fleetLoad() fleetLoad {
	load := fleetLoad{capacity: minLoadDivisor}
	for _, e := range b.gossipScope() {
		if e.Lifecycle != Ready || e.outlier.ejected(b.now) || e.evidence.isFailing(b.now) {
			continue
		}
		capacity := b.effectiveCapacity(e)
		load.own += float64(e.inFlight)
		load.total += math.Min(e.fleetInFlight(), b.concurrency.scaleToLimit(2*fullShedLoad)*capacity)
		load.capacity += capacity
	}
	return load
}

// fleetInFlight returns the number of requests that all sidecars have in flight at the endpoint, as far as
// known from gossip.
func (e *endpoint) fleetInFlight() float64 { return e.gossip.inFlightFromPeers + float64(e.inFlight) }

// effectiveCapacity returns an endpoint's nominal capacity, lowered while the endpoint warms up.
func (b *Balancer) effectiveCapacity(e *endpoint) float64 {
	if b.slowStart.warmingUp(e, b.now) {
		return e.NominalCapacity * b.slowStart.capacityFraction(e, b.now)
	}
	return e.NominalCapacity
}

// atCapacity reports whether all sidecars together have so many requests in flight at the endpoint that one
// more would wait too long. A failing endpoint is always at capacity, although it may have nothing in flight.
func (b *Balancer) atCapacity(e *endpoint) bool {
	limit := math.Max(minRequestsAtCapacity,
		b.concurrency.scaleToLimit(atCapacityLoad)*b.effectiveCapacity(e))
	return e.evidence.isFailing(b.now) || e.fleetInFlight()+1 > limit
}

// fleetShedFraction returns the fraction of the load to shed, from the requests that all sidecars have in
// flight. While gossip is lost, it assumes that the other sidecars' load has grown as much as this sidecar's
// load, because this sidecar's responses would show an overload only after the endpoints are overloaded.
func (b *Balancer) fleetShedFraction() float64 {
	load := b.fleetLoad()
	total := load.total
	if b.gossip.isLost(b.now) {
		total = b.concurrency.estimateFleetInFlight(load.own)
	} else {
		b.concurrency.recordFleetShare(load)
	}
	overload := initialConcurrencyLimit * (total/load.capacity/b.concurrency.limit - 1)
	b.shedder.overload = overload
	return clamp(overload/(fullShedLoad-initialConcurrencyLimit), 0, maxShedFraction)
}
