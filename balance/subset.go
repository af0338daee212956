package balance

import (
	"math"
	"sort"
)

const (
	// sidecarsPerEndpoint determines the minimum size of a sidecar's subset when there is no gossip:
	// sidecarsPerEndpoint*(number of endpoints)/(number of sidecars). If all subsets have this size, each
	// endpoint is used by sidecarsPerEndpoint sidecars on average, which hold connections to it.
	sidecarsPerEndpoint = 16
	// sidecarsPerEndpointWithGossip determines the minimum size of a sidecar's subset when sidecars send
	// gossip: sidecarsPerEndpointWithGossip*(number of endpoints)/(number of sidecars). If all subsets have
	// this size, each endpoint is used by sidecarsPerEndpointWithGossip sidecars on average. Fewer sidecars
	// are enough than without gossip, because gossip shows the load of the whole fleet.
	sidecarsPerEndpointWithGossip = 5
	// minSubsetSize is the minimum number of endpoints in a sidecar's subset: enough to retry when some of
	// the endpoints fail together.
	minSubsetSize = 3
	// subsetEndpointsPerRequest is the number of endpoints in a sidecar's subset for each request that
	// arrives at the sidecar within the longest latency objective of all classes. A subset grows beyond its
	// minimum size if the sidecar's traffic calls for more endpoints.
	subsetEndpointsPerRequest = 0.5
	// ringCount is the number of rings of endpoints, on which each sidecar takes a place by its peer index.
	// Each ring has all endpoints in another order, so that endpoints that are neighbors on one ring have
	// other neighbors on the other rings.
	ringCount = 8
)

// subsetRings selects a sidecar's subset by deterministic subsetting. Each sidecar has a fixed position on
// one of several rings of all endpoints, and its subset consists of the endpoints from this position onwards.
// If every sidecar used every endpoint, the endpoints would have too many connections.
type subsetRings struct {
	peerIndex           int
	peerCount           int
	sidecarsPerEndpoint float64
	needsPeerRings      bool // whether the rings of peers are needed, not only this sidecar's own ring
	rings               [ringCount][]*endpoint
	buffer              []*endpoint // the current subset; reused by each call of Balancer.subset
}

func newSubsetRings(cfg *Config) subsetRings {
	s := subsetRings{
		peerIndex:           cfg.PeerIndex,
		peerCount:           cfg.PeerCount,
		sidecarsPerEndpoint: sidecarsPerEndpoint,
		needsPeerRings:      cfg.gossipEnabled(),
	}
	if s.needsPeerRings {
		s.sidecarsPerEndpoint = sidecarsPerEndpointWithGossip
	}
	return s
}

// rebuild fills the rings from a new endpoint list.
func (s *subsetRings) rebuild(endpoints []*endpoint) {
	for i := range s.rings {
		if i == s.peerIndex%ringCount || s.needsPeerRings {
			s.rings[i] = sortRing(append(s.rings[i][:0], endpoints...), i)
		}
	}
}

// sortRing sorts endpoints in place by a hash of their IDs that differs from ring to ring, and returns them.
func sortRing(ring []*endpoint, ringIndex int) []*endpoint {
	salt := mix64(uint64(ringIndex) + 1)
	sort.SliceStable(ring, func(i, j int) bool {
		return mix64(uint64(ring[i].ID)+salt) < mix64(uint64(ring[j].ID)+salt)
	})
	return ring
}

// minSize returns the size of a subset without traffic, as a number of endpoints.
func (s *subsetRings) minSize(endpointCount int) float64 {
	return math.Max(minSubsetSize, s.sidecarsPerEndpoint*float64(endpointCount)/float64(s.peerCount))
}

// ringPosition returns a sidecar's ring and the index on the ring at which the sidecar's subset starts.
func (s *subsetRings) ringPosition(peer, endpointCount int) (ring []*endpoint, start int) {
	peersOnRing := math.Ceil(float64(s.peerCount) / ringCount)
	start = int(float64(endpointCount) * math.Mod(float64(peer/ringCount)/peersOnRing, 1))
	return s.rings[peer%ringCount], start
}

// subset returns the endpoints that this sidecar picks from. The subset grows with the sidecar's traffic.
// Endpoints that are ejected or not ready do not count in the size of the subset, so the subset extends past
// these endpoints.
func (b *Balancer) subset() []*endpoint {
	sizeByTraffic := subsetEndpointsPerRequest * b.requestRate.rate(b.now, 0) * b.longestObjective
	size := math.Max(b.subsets.minSize(len(b.endpoints)), sizeByTraffic)
	if size >= float64(len(b.endpoints)) {
		return b.endpoints
	}
	ring, start := b.subsets.ringPosition(b.cfg.PeerIndex, len(b.endpoints))
	subset := b.subsets.buffer[:0]
	for i := 0; i < len(ring) && size > 0; i++ {
		e := ring[(start+i)%len(ring)]
		subset = append(subset, e)
		if e.Lifecycle == Ready && !e.outlier.ejected(b.now) {
			size--
		}
	}
	b.subsets.buffer = subset
	return subset
}
