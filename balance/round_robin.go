package balance

import "math"

// boundedLoadFactor determines which endpoints count as overloaded when an endpoint is picked for a
// request: those that the request would raise above boundedLoadFactor times their share of the requests in
// flight at all candidates (the new request included), rounded up to whole requests. The share is
// proportional to the weight. An overloaded endpoint is picked only if all candidates are overloaded.
const boundedLoadFactor = 0.7

// pickEndpoint picks an endpoint for the next attempt of a request by smooth weighted round robin. A retry
// goes to the healthiest untried endpoint, whose current weight is lowered like that of any picked endpoint.
// It returns nil if no endpoint may have the attempt now.
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

// candidates assigns weights for this pick to the endpoints of the subset, and returns them with the sum of
// their weights. If no endpoint of the subset is eligible (for example because the retry of an idempotency
// key must stay in a cell), all endpoints are candidates. If all eligible endpoints are ejected or unhealthy,
// they remain candidates, as a fault at all endpoints is probably not their own.
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

// assignWeights sets the weights of the endpoints for this pick, adds them to the current weights and returns
// their sum. For a retry the current weights stay as they are.
func (b *Balancer) assignWeights(pool []*endpoint, r *request, includeUnhealthy bool) float64 {
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
		if !b.eligible(r, e) || !includeUnhealthy && b.unhealthyFor(r, e) {
			continue
		}
		e.rotation.weight = weight
		total += weight
		e.rotation.loadKnown = b.hasFreshReport(e)
		anyReport = anyReport || e.rotation.loadKnown
	}
	firstAttempt := len(r.attempts) == 0
	for _, e := range pool {
		// Without any load report, this sidecar's own requests in flight are the best information.
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

// unhealthyFor reports whether the request should avoid the endpoint: it is ejected, or it is not healthy
// enough for a request that must not run twice.
func (b *Balancer) unhealthyFor(r *request, e *endpoint) bool {
	if e.outlier.ejected(b.now) {
		return true
	}
	return r.class.Idempotency == NonIdempotent && e.outlier.healthMultiplier(b.now) < nonIdempotentMinHealth
}

// boundedLoad holds sums over the candidates whose number of requests in flight is known.
type boundedLoad struct {
	inFlight float64 // requests in flight, including the one that an endpoint is picked for
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

// overloaded reports whether an endpoint would exceed its bounded share of the requests in flight, is at
// capacity, or has an unknown load. Such an endpoint may be slow, hung or filled by other sidecars even if it
// returns no errors. An overloaded endpoint keeps its current weight for later picks.
func (b *Balancer) overloaded(e *endpoint, load boundedLoad) bool {
	if !e.rotation.loadKnown {
		return true
	}
	boundedShare := math.Ceil(boundedLoadFactor * load.inFlight * e.rotation.weight / load.weight)
	if b.knownInFlight(e)+1 > boundedShare {
		return true
	}
	return b.gossip.isFresh(b.now) && b.atCapacity(e)
}

// ranksBefore reports whether endpoint e is picked rather than the best endpoint so far, where either both
// endpoints are overloaded or neither. Among overloaded endpoints a first attempt goes to the endpoint with
// the fewest requests in flight for its weight. Otherwise a first attempt goes to the endpoint with the
// higher current weight, and a retry to the endpoint with the better health or, at equal health, with the
// higher current weight.
func (b *Balancer) ranksBefore(e, best *endpoint, retry, overloaded bool) bool {
	if overloaded && !retry {
		return (b.knownInFlight(e)+1)*best.rotation.weight < (b.knownInFlight(best)+1)*e.rotation.weight
	}
	higherCurrentWeight := e.rotation.currentWeight > best.rotation.currentWeight
	if !retry {
		return higherCurrentWeight
	}
	health, bestHealth := e.outlier.healthMultiplier(b.now), best.outlier.healthMultiplier(b.now)
	return health > bestHealth || health == bestHealth && higherCurrentWeight
}

// knownInFlight returns the number of requests in flight at an endpoint. With a fresh load report, the number
// is the reported number plus the attempts that this sidecar has sent since the report. Without a fresh
// report, the number is this sidecar's attempts in flight.
func (b *Balancer) knownInFlight(e *endpoint) float64 {
	if b.hasFreshReport(e) {
		return e.healthCheck.inFlight + e.healthCheck.sentSinceReport
	}
	return float64(e.inFlight)
}
