package balance

import "math"

// boundedLoadFactor bounds the load of an endpoint: above this multiple of its share of the requests in
// flight it is passed over.
const boundedLoadFactor = 0.7

// pickEndpoint picks by smooth weighted round robin over the endpoints that may have the request. A retry
// goes to the healthiest untried one, which is charged in the rotation too. It returns nil if there is none.
func (b *Balancer) pickEndpoint(r *request) *endpoint {
	pool, totalWeight := b.candidates(r)
	load := b.boundedLoad(pool)
	retry := len(r.attempts) > 0
	var best *endpoint
	bestOver := false
	for _, e := range pool {
		if e.rotation.weight == 0 || !b.slowStartAllows(e) {
			continue
		}
		over := b.overloaded(e, load)
		if best == nil || bestOver && !over || over == bestOver && b.ranksBefore(e, best, retry, over) {
			best, bestOver = e, over
		}
	}
	if best != nil {
		best.rotation.currentWeight = math.Max(best.rotation.currentWeight-totalWeight, -totalWeight)
	}
	return best
}

// candidates weighs the endpoints of the subset for this pick. If no endpoint of the subset is eligible, as
// an idempotency key stays in a cell, all endpoints are candidates; and if all are ejected, so are these, as
// the cause is hardly theirs.
func (b *Balancer) candidates(r *request) (pool []*endpoint, totalWeight float64) {
	pool = b.subset()
	totalWeight = b.assignWeights(pool, r, false)
	if totalWeight == 0 && len(pool) < len(b.endpoints) {
		pool = b.endpoints
		totalWeight = b.assignWeights(pool, r, false)
	}
	if totalWeight == 0 {
		totalWeight = b.assignWeights(pool, r, true)
	}
	return pool, totalWeight
}

// assignWeights sets the weights of this pick, grows the current weights and returns the sum of weights. A
// retry leaves the rotation where it is.
func (b *Balancer) assignWeights(pool []*endpoint, r *request, evenUnhealthy bool) float64 {
	total, weightInUse := 0.0, 0.0
	anyReport := false
	for _, e := range pool {
		e.rotation.weight = 0
		if e.Lifecycle != Ready {
			continue
		}
		weight := b.weightOf(e)
		if !e.outlier.ejected(b.now) {
			weightInUse += weight / e.outlier.healthMultiplier(b.now)
		}
		if !b.eligible(r, e) || !evenUnhealthy && b.unhealthyFor(r, e) {
			continue
		}
		e.rotation.weight = weight
		total += weight
		e.rotation.loadKnown = b.hasFreshReport(e)
		anyReport = anyReport || e.rotation.loadKnown
	}
	firstAttempt := len(r.attempts) == 0
	for _, e := range pool {
		// Without any report, the own requests in flight are all there is.
		e.rotation.loadKnown = e.rotation.loadKnown || !anyReport
		if firstAttempt {
			e.rotation.currentWeight = math.Min(e.rotation.currentWeight+e.rotation.weight, total)
		}
	}
	if firstAttempt && weightInUse > 0 {
		b.slowStart.weightInUse = weightInUse
	}
	return total
}

func (b *Balancer) unhealthyFor(r *request, e *endpoint) bool {
	if e.outlier.ejected(b.now) {
		return true
	}
	return r.class.Idempotency == NonIdempotent && e.outlier.healthMultiplier(b.now) < nonIdempotentMinHealth
}

// boundedLoad is the sum over the candidates whose load is known.
type boundedLoad struct {
	inFlight float64 // with the present request
	weight   float64
}

func (b *Balancer) boundedLoad(candidates []*endpoint) boundedLoad {
	load := boundedLoad{inFlight: 1}
	for _, e := range candidates {
		if e.rotation.weight > 0 && e.rotation.loadKnown {
			load.inFlight += b.knownInFlight(e)
			load.weight += e.rotation.weight
		}
	}
	return load
}

// overloaded reports whether an endpoint has more than its share of the requests in flight: it is slow, hung
// or filled by others, whatever its errors say. It keeps its current weight for later.
func (b *Balancer) overloaded(e *endpoint, load boundedLoad) bool {
	if !e.rotation.loadKnown {
		return true
	}
	share := math.Ceil(boundedLoadFactor * load.inFlight * e.rotation.weight / load.weight)
	if b.knownInFlight(e)+1 > share {
		return true
	}
	return b.gossip.fresh(b.now) && b.atCapacity(e)
}

// ranksBefore reports whether an endpoint is picked rather than the best so far. Where all are overloaded, a
// first attempt goes to the least loaded.
func (b *Balancer) ranksBefore(e, best *endpoint, retry, over bool) bool {
	if over && !retry {
		return (b.knownInFlight(e)+1)*best.rotation.weight < (b.knownInFlight(best)+1)*e.rotation.weight
	}
	ahead := e.rotation.currentWeight > best.rotation.currentWeight
	if !retry {
		return ahead
	}
	health, bestHealth := e.outlier.healthMultiplier(b.now), best.outlier.healthMultiplier(b.now)
	return health > bestHealth || health == bestHealth && ahead
}

// knownInFlight is how many requests an endpoint has: by a fresh report and what was sent since, or this
// sidecar's.
func (b *Balancer) knownInFlight(e *endpoint) float64 {
	if b.hasFreshReport(e) {
		return e.check.inFlight + e.check.sentSinceReport
	}
	return float64(e.inFlight)
}
