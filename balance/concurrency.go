package balance

import "math"

const (
	// initialConcurrencyLimit is the concurrency limit of a sidecar that starts: the requests in flight, per
	// unit of nominal capacity, above which load is shed.
	initialConcurrencyLimit = 0.7
	// fullShedLoad is the number of requests in flight, per unit of nominal capacity, at which the whole load
	// (up to maxShedFraction) is shed. The value holds at the initial concurrency limit and scales with the
	// limit.
	fullShedLoad = 1.8
	// atCapacityLoad is the number of requests in flight, per unit of nominal capacity, above which a single
	// endpoint is at capacity. The value holds at the initial concurrency limit and scales with the limit.
	atCapacityLoad = 1.3
	// minRequestsAtCapacity is the number of requests that any single endpoint may have in flight, however
	// small its capacity is, before it is at capacity.
	minRequestsAtCapacity = 2
	// fleetShareSamples is the number of arriving requests over which this sidecar's and the fleet's requests
	// in flight are averaged (exponential moving averages). The ratio of these averages is this sidecar's
	// share of the load.
	fleetShareSamples = 50
	// latencyTolerance is the fraction of the span between the baseline latency and the latency objective by
	// which the mean latency may exceed the baseline while responses count as fast. Above twice this fraction
	// responses count as slow.
	latencyTolerance = 0.03
	// minLimitUsage is the fraction of the concurrency limit that must be in use for the limit to be raised.
	minLimitUsage = 0.75
	// limitIncreaseRate is the exponential growth rate of the concurrency limit, per second, while responses
	// are fast.
	limitIncreaseRate = 0.5
	// limitDecreaseRate is the exponential decay rate of the concurrency limit, per second, while responses
	// are slow.
	limitDecreaseRate = 0.9
	// limitFloorFactor is the multiple of the recent peak of requests in service (not queued), per unit of
	// nominal capacity, below which the concurrency limit does not fall. The initial concurrency limit is an
	// upper bound on this floor.
	limitFloorFactor = 1.2
	// peakServiceDecayTime is the time constant, in ms, of the exponential decay of the recent peak of
	// requests in service (not queued).
	peakServiceDecayTime = 3e4
	// minLoadDivisor keeps divisors that are sums of nominal capacities or numbers of requests in flight
	// above zero.
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

// scaleToLimit converts a load that holds at the initial concurrency limit to the current limit.
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
