package balance

import (
	"math"
	"sort"
)

// initialCurrentWeight bounds the random current weight of a new endpoint: sidecars that begin together must
// not pick in step.
const initialCurrentWeight = 100

// handleEndpointUpdate takes in the endpoint list, or polls discovery again where a watch has ended.
func (b *Balancer) handleEndpointUpdate(event EndpointUpdate) {
	switch event.Kind {
	case WatchFailed:
		b.schedulePoll(b.polls.delayAfterFailure(b.now))
	case WatchStalled:
		b.schedulePoll(b.polls.delayAfterStall(b.now))
	case SourceChanged:
		b.poll()
	case Snapshot, CachedSnapshot:
		b.markUnlistedRemoved(event.Endpoints)
		b.applyEndpoints(event.Endpoints)
	case Delta:
		b.applyEndpoints(event.Endpoints)
	}
}

func (b *Balancer) applyEndpoints(entries []Endpoint) {
	b.polls.succeeded()
	for i := range entries {
		b.updateEndpoint(&entries[i])
	}
	b.dropRemoved()
	b.gossip.indexTags(b.endpoints)
	b.subsets.rebuild(b.endpoints)
}

// markUnlistedRemoved marks what a whole list does not name.
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

// updateEndpoint takes in one entry. A restart clears the endpoint's outlier state.
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

func (b *Balancer) addEndpoint(id EndpointID) *endpoint {
	e := &endpoint{
		rotation: rotationState{currentWeight: initialCurrentWeight * b.random.float64()},
		warmUp:   warmUpState{since: math.Inf(-1)},
	}
	b.endpointByID[id] = e
	b.endpoints = append(b.endpoints, e)
	return e
}

// dropRemoved forgets removed endpoints and sorts the others.
func (b *Balancer) dropRemoved() {
	kept := b.endpoints[:0]
	for _, e := range b.endpoints {
		if e.Lifecycle == Removed {
			delete(b.endpointByID, e.ID)
		} else {
			kept = append(kept, e)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	b.endpoints = kept
}
