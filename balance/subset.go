package balance

import (
	"math"
	"sort"
)

const (
	connectionsPerEndpoint           = 16  // that it is to hold when each sidecar uses its least subset
	connectionsPerEndpointWithGossip = 5   // fewer are enough where gossip shows the fleet's load
	minSubset                        = 3   // endpoints: enough to retry when some of them fail together
	subsetPerRequest                 = 0.5 // endpoints for each request within the longest objective
	ringCount                        = 8   // so that neighbors in one ring have different ones in the others
)

// subsetRing places sidecars deterministically on rings of all endpoints. A sidecar uses a stretch of its
// ring only: with connections from every sidecar to every endpoint, these would have too many.
type subsetRing struct {
	peerIndex   int
	peerCount   int
	perEndpoint float64
	peersMatter bool // else only this sidecar's own ring is needed
	rings       [ringCount][]*endpoint
	buffer      []*endpoint // the present subset
}

func newSubsetRing(cfg *Config) subsetRing {
	s := subsetRing{
		peerIndex:   cfg.PeerIndex,
		peerCount:   cfg.PeerCount,
		perEndpoint: connectionsPerEndpoint,
		peersMatter: cfg.gossipEnabled(),
	}
	if s.peersMatter {
		s.perEndpoint = connectionsPerEndpointWithGossip
	}
	return s
}

// rebuild takes in a new endpoint list.
func (s *subsetRing) rebuild(endpoints []*endpoint) {
	for i := range s.rings {
		if i == s.peerIndex%ringCount || s.peersMatter {
			s.rings[i] = sortRing(append(s.rings[i][:0], endpoints...), i)
		}
	}
}

// sortRing puts endpoints in the order of a ring, which is another in each.
func sortRing(ring []*endpoint, number int) []*endpoint {
	salt := mix64(uint64(number) + 1)
	sort.SliceStable(ring, func(i, j int) bool {
		return mix64(uint64(ring[i].ID)+salt) < mix64(uint64(ring[j].ID)+salt)
	})
	return ring
}

// minSize is how wide a subset is without any traffic.
func (s *subsetRing) minSize(endpointCount int) float64 {
	return math.Max(minSubset, s.perEndpoint*float64(endpointCount)/float64(s.peerCount))
}

// position returns a sidecar's ring and where in it its subset starts.
func (s *subsetRing) position(peer, endpointCount int) (ring []*endpoint, start int) {
	peersOnRing := math.Ceil(float64(s.peerCount) / ringCount)
	start = int(float64(endpointCount) * math.Mod(float64(peer/ringCount)/peersOnRing, 1))
	return s.rings[peer%ringCount], start
}

// subset is what this sidecar rotates over. It is as wide as its traffic asks for, and goes on past members
// that are ejected.
func (b *Balancer) subset() []*endpoint {
	byTraffic := subsetPerRequest * b.requestRate.rate(b.now, 0) * b.longestObjective
	width := math.Max(b.subsets.minSize(len(b.endpoints)), byTraffic)
	if width >= float64(len(b.endpoints)) {
		return b.endpoints
	}
	ring, start := b.subsets.position(b.cfg.PeerIndex, len(b.endpoints))
	subset := b.subsets.buffer[:0]
	for i := 0; i < len(ring) && width > 0; i++ {
		e := ring[(start+i)%len(ring)]
		subset = append(subset, e)
		if e.Lifecycle == Ready && !e.outlier.ejected(b.now) {
			width--
		}
	}
	b.subsets.buffer = subset
	return subset
}
