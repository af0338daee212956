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
	case Snapshot, CachedSnapshot:
		b.markUnlistedRemoved(event.Endpoints)
		b.applyEndpoints(event.Endpoints)
	case Delta:
		b.applyEndpoints(event.Endpoints)
	}
}

// applyEndpoints applies entries of the endpoint list and rebuilds what depends on the list.
func (b *Balancer) applyEndpoints(entries []Endpoint) {
	b.pollSchedule.recordSuccess()
	for i := range entries {
		b.updateEndpoint(&entries[i])
	}
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

// updateEndpoint applies one entry of the endpoint list. A restart, seen by a later start time, clears the
// endpoint's outlier state and starts its warm-up. An unusable capacity is replaced with 1.
func (b *Balancer) updateEndpoint(entry *Endpoint) {
	e := b.endpointByID[entry.ID]
	if e == nil {
		if entry.Lifecycle == Removed {
			return
		}
		e = b.addEndpoint(entry.ID)
	}
	if entry.StartedAt > e.StartedAt {
		e.outlier.clear()
		e.rotation.currentWeight = 0
		b.beginSlowStart(e, math.Min(entry.StartedAt, b.now))
	}
	e.Endpoint = *entry
	if !(e.NominalCapacity > 0) || math.IsInf(e.NominalCapacity, 1) {
		e.NominalCapacity = 1
	}
}

// addEndpoint adds an endpoint that is not warming up.
func (b *Balancer) addEndpoint(id EndpointID) *endpoint {
	e := &endpoint{
		rotation: rotationState{currentWeight: maxInitialCurrentWeight * b.random.float64()},
		warmUp:   warmUpState{start: math.Inf(-1)},
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
