package balance

import "math"

const (
	initialConcurrencyLimit = 0.7  // requests in flight, per capacity, above which load is shed at first
	fullShedLoad            = 1.8  // at which all is shed that may be, at the initial limit
	atCapacityLoad          = 1.3  // at one endpoint above which it is passed over, at the initial limit
	minAtCapacity           = 2    // requests that are never too many at one endpoint
	fleetShareSamples       = 50   // requests over which this sidecar's part of the fleet's load is taken
	latencyTolerance        = 0.03 // of the objective above the baseline up to which responses are fast
	minLimitUsage           = 0.75 // of the limit that must be in use to raise it
	limitIncreaseRate       = 0.5  // per second, while responses are fast
	limitDecreaseRate       = 0.9  // per second, while they are slow
	limitFloorFactor        = 1.2  // of what lately was in service, under which the limit does not fall
	peakServiceDecayTime    = 3e4  // ms in which that is forgotten
	minCapacity             = 1e-3 // keeps capacities above zero
)

// concurrencyLimiter learns how many requests endpoints can hold for their nominal capacities, from the
// responses of all sidecars: an adaptive concurrency limit.
type concurrencyLimiter struct {
	limit         float64
	startedAt     float64
	updatedAt     float64
	utilization   float64 // recent mean of the requests in flight, per capacity
	peakInService float64 // the most of it that lately was in service at once
	latency       fleetLatency
	ownInFlight   float64 // mean of this sidecar's requests in flight while there was gossip
	fleetInFlight float64 // and of those of all sidecars
}

func newConcurrencyLimiter() concurrencyLimiter {
	return concurrencyLimiter{
		limit:   initialConcurrencyLimit,
		latency: fleetLatency{baseline: initialBaseline},
	}
}

func (l *concurrencyLimiter) start(now float64) { l.startedAt, l.updatedAt = now, now }

// scaled returns a load that holds at the initial limit, scaled to the present one.
func (l *concurrencyLimiter) scaled(load float64) float64 {
	return load * l.limit / initialConcurrencyLimit
}

// recordShare takes in how much of the fleet's load is this sidecar's.
func (l *concurrencyLimiter) recordShare(load fleetLoad) {
	l.ownInFlight += (load.own - l.ownInFlight) / fleetShareSamples
	l.fleetInFlight += (load.total - l.fleetInFlight) / fleetShareSamples
}

// extrapolate estimates the fleet's requests in flight from this sidecar's, less what meets by chance.
func (l *concurrencyLimiter) extrapolate(own float64) float64 {
	return math.Max(0, own-math.Sqrt(own)) * l.fleetInFlight / math.Max(l.ownInFlight, minCapacity)
}

// adjust moves the limit by the latency of all sidecars' responses. While they take hardly longer than the
// baseline, more requests do no harm; then endpoints queue. By Little's law what they hold, times the
// baseline over the present mean latency, is in service: so much they can do, and if responses are slow at
// less, something else than load makes them so. Overloaded endpoints do less, so that floor is bounded by the
// initial limit.
func (l *concurrencyLimiter) adjust(elapsed, utilization float64) {
	mean := l.latency.sum / l.latency.samples
	fewByChance := 1 + 1/math.Sqrt(l.latency.samples)
	l.latency.baseline = clamp(mean*fewByChance, 1.0/latencyUnitsPerObjective, l.latency.baseline)
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

// updateConcurrencyLimit adjusts the limit if gossip brought enough samples.
func (b *Balancer) updateConcurrencyLimit() {
	elapsed := b.now - b.concurrency.updatedAt
	b.concurrency.updatedAt = b.now
	b.concurrency.latency.add(b.now, 0, 0)
	if b.concurrency.latency.samples < minLatencySamples || !b.gossip.fresh(b.now) {
		return
	}
	load := b.fleetLoad()
	b.concurrency.adjust(elapsed, load.total/load.capacity)
}

// fleetLoad is what is in flight at the endpoints in use, and what these can hold.
type fleetLoad struct {
	own      float64 // requests of this sidecar
	total    float64 // and of all sidecars
	capacity float64
}

// fleetLoad leaves out endpoints that get no requests. Those that hang hold ever more, so there is a bound to
// what each counts.
func (b *Balancer) fleetLoad() fleetLoad {
	load := fleetLoad{capacity: minCapacity}
	for _, e := range b.gossipScope() {
		if e.Lifecycle != Ready || e.outlier.ejected(b.now) || e.evidence.failing(b.now) {
			continue
		}
		capacity := b.presentCapacity(e)
		load.own += float64(e.inFlight)
		load.total += math.Min(e.fleetInFlight(), b.concurrency.scaled(2*fullShedLoad)*capacity)
		load.capacity += capacity
	}
	return load
}

// fleetInFlight is how many requests all sidecars have at the endpoint, as far as gossip says.
func (e *endpoint) fleetInFlight() float64 { return e.gossip.inFlightFromPeers + float64(e.inFlight) }

// presentCapacity is an endpoint's nominal capacity, lowered while it warms up.
func (b *Balancer) presentCapacity(e *endpoint) float64 {
	if b.slowStart.warmingUp(e, b.now) {
		return e.NominalCapacity * b.slowStart.capacityFraction(e, b.now)
	}
	return e.NominalCapacity
}

// atCapacity reports whether all sidecars together have so much at the endpoint that more would wait for too
// long. A failing endpoint counts as full, though it may be empty.
func (b *Balancer) atCapacity(e *endpoint) bool {
	most := math.Max(minAtCapacity, b.concurrency.scaled(atCapacityLoad)*b.presentCapacity(e))
	return e.evidence.failing(b.now) || e.fleetInFlight()+1 > most
}

// fleetShedFraction is the fraction of the load to shed by what all sidecars have in flight. Where gossip is
// lost, the other sidecars are assumed to have grown as much as this one: its own responses show overload
// only when the endpoints are too full already.
func (b *Balancer) fleetShedFraction() float64 {
	load := b.fleetLoad()
	total := load.total
	if b.gossip.lost(b.now) {
		total = b.concurrency.extrapolate(load.own)
	} else {
		b.concurrency.recordShare(load)
	}
	overload := initialConcurrencyLimit * (total/load.capacity/b.concurrency.limit - 1)
	b.shedder.overload = overload
	return clamp(overload/(fullShedLoad-initialConcurrencyLimit), 0, maxShedFraction)
}
