package balance

import (
	"math"
	"sort"
)

// maxInitialCurrentWeight is the upper bound of the random current weight with which a new endpoint enters
// the smooth weighted round robin, in units of endpoint weight (an endpoint of nominal capacity 1 has the
// weight baseWeight). The randomness keeps sidecars that start together from picking the same endpoints at
// the same time.
const maxInitialCurrentWeight = 100

const (
	// maxListDelay, in ms, is how long after an endpoint's restart discovery may still state its earlier
	// start.
	maxListDelay = 10 * 1000.0
	// maxRegistrationDelay, in ms, is how long after its start a new endpoint may still be missing in the
	// list.
	maxRegistrationDelay = 60 * 1000.0
)

// handleEndpointUpdate applies an endpoint list or a change of it, or calls discovery again after a call or
// watch has ended or discovery has a new address.
func (b *Balancer) handleEndpointUpdate(event EndpointUpdate) {
	switch event.Kind {
	case WatchFailed, WatchOverdue:
		b.schedulePoll(b.pollSchedule.delayAfterFailure(b.now))
	case WatchStalled:
		b.schedulePoll(b.pollSchedule.delayAfterStall(b.now))
	case WatchOpened:
		b.pollSchedule.recordOpened()
	case SourceChanged:
		b.pollSchedule.changeSource(b.now)
		b.poll()
	case CachedSnapshot:
		b.markUnlistedRemoved(event.Endpoints)
		b.applyEndpoints(event.Endpoints, math.Inf(-1))
	case Snapshot:
		b.markUnlistedRemoved(event.Endpoints)
		b.applyEndpoints(event.Endpoints, b.now)
	case Delta:
		b.applyEndpoints(event.Endpoints, b.now)
	}
}

// applyEndpoints applies entries of the endpoint list and rebuilds what depends on the list. listedAt is when
// discovery stated the entries, in ms; -Inf if that is unknown.
func (b *Balancer) applyEndpoints(entries []Endpoint, listedAt float64) {
	b.pollSchedule.recordSuccess()
	for i := range entries {
		b.updateEndpoint(&entries[i], listedAt)
	}
	b.listedAt = listedAt
	b.dropRemoved()
	b.gossip.indexTags(b.endpoints)
	b.subsets.rebuild(b.endpoints)
}

// markUnlistedRemoved marks the endpoints that a complete endpoint list does not contain as removed.
func (b *Balancer) markUnlistedRemoved(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, e := range b.endpoints {
		if !listed[e.ID] {
			e.Lifecycle = Removed
		}
	}
}

// updateEndpoint applies one entry of the endpoint list. A restart, seen by another start time, clears the
// endpoint's outlier state and starts its warm-up. An unusable capacity is replaced with 1.
func (b *Balancer) updateEndpoint(entry *Endpoint, listedAt float64) {
	e := b.endpointByID[entry.ID]
	if e == nil {
		if entry.Lifecycle == Removed {
			return
		}
		e = b.addEndpoint(entry.ID)
	}
	if entry.StartedAt > 0 && entry.StartedAt != e.StartedAt {
		e.outlier.clear()
		e.rotation.currentWeight = 0
		b.beginSlowStart(e, b.plausibleStart(e, entry.StartedAt))
	}
	e.Endpoint = *entry
	e.listedAt = listedAt
	if !(e.NominalCapacity > 0) || math.IsInf(e.NominalCapacity, 1) {
		e.NominalCapacity = 1
	}
}

// plausibleStart returns when an endpoint started, by this sidecar's clock. The wall clocks of machines can
// differ by an hour, so a start that discovery must have told of earlier is taken for one that happens now:
// the endpoint would otherwise pass for warm.
func (b *Balancer) plausibleStart(e *endpoint, startedAt float64) float64 {
	earliest := b.listedAt - maxRegistrationDelay
	if !math.IsInf(e.listedAt, -1) {
		earliest = e.listedAt - maxListDelay
	}
	if startedAt < earliest || startedAt > b.now {
		return b.now
	}
	return startedAt
}

// addEndpoint adds an endpoint that is not warming up.
func (b *Balancer) addEndpoint(id EndpointID) *endpoint {
	e := &endpoint{
		rotation: rotationState{currentWeight: maxInitialCurrentWeight * b.random.float64()},
		warmUp:   warmUpState{start: math.Inf(-1)},
		listedAt: math.Inf(-1),
	}
	b.endpointByID[id] = e
	b.endpoints = append(b.endpoints, e)
	return e
}

// dropRemoved drops the removed endpoints and sorts the others by ID.
func (b *Balancer) dropRemoved() {
	remaining := b.endpoints[:0]
	for _, e := range b.endpoints {
		if e.Lifecycle == Removed {
			delete(b.endpointByID, e.ID)
		} else {
			remaining = append(remaining, e)
		}
	}
	sort.Slice(remaining, func(i, j int) bool { return remaining[i].ID < remaining[j].ID })
	b.endpoints = remaining
}
