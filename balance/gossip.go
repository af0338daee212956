package balance

import "math"

const (
	minGossipPeers    = 8    // sidecars: fewer see enough for themselves
	gossipInterval    = 50   // ms between two messages of a sidecar, if anything changed
	gossipRefresh     = 500  // ms after which unchanged state is sent again, as messages get lost
	gossipExpiry      = 1500 // ms after which a peer's last message counts no more
	gossipTimeout     = 400  // ms without any message, after which a sidecar goes by its own requests
	gossipRangeFactor = 2    // least subsets that a sidecar receives gossip on: some endpoints may be ejected
)

// gossipState is what this sidecar heard from its peers. Each sidecar has so few requests that alone it
// learns too late which endpoints fail and how full they are.
type gossipState struct {
	peers          map[int]*peer
	lastReceivedAt float64
	refreshAt      float64 // when unchanged state is sent again
	endpointByTag  map[uint16]*endpoint
	scopeBuffer    []*endpoint
}

// peer is another sidecar's last message.
type peer struct {
	clock      uint32
	receivedAt float64
	subsetSize int
	inFlight   []peerInFlight
}

// peerInFlight is how many requests a peer has at an endpoint.
type peerInFlight struct {
	endpoint *endpoint
	count    float64
}

func newGossipState() gossipState { return gossipState{peers: map[int]*peer{}} }

// gossipEnabled reports whether sidecars send each other gossip.
func (c *Config) gossipEnabled() bool { return c.Gossip && c.PeerCount >= minGossipPeers }

// fresh reports whether peers are being heard.
func (g *gossipState) fresh(now float64) bool {
	return g.lastReceivedAt > 0 && now-g.lastReceivedAt < gossipTimeout
}

// lost reports whether peers were heard once, and are no more.
func (g *gossipState) lost(now float64) bool { return g.lastReceivedAt > 0 && !g.fresh(now) }

// indexTags keeps which endpoint a tag means. Where two endpoints share one, it means neither.
func (g *gossipState) indexTags(endpoints []*endpoint) {
	g.endpointByTag = make(map[uint16]*endpoint, len(endpoints))
	for _, e := range endpoints {
		tag := gossipTag(e.ID)
		if _, taken := g.endpointByTag[tag]; taken {
			g.endpointByTag[tag] = nil
		} else {
			g.endpointByTag[tag] = e
		}
	}
}

// expirePeers takes back the requests in flight of peers that were not heard for long: they may be gone.
func (g *gossipState) expirePeers(now float64) {
	for _, p := range g.peers {
		if now-p.receivedAt > gossipExpiry {
			p.replaceInFlight(nil)
		}
	}
}

// replaceInFlight puts a peer's present requests in flight in place of those of its message before.
func (p *peer) replaceInFlight(present []peerInFlight) {
	for _, flight := range p.inFlight {
		flight.endpoint.gossip.inFlightFromPeers -= flight.count
	}
	for _, flight := range present {
		flight.endpoint.gossip.inFlightFromPeers += flight.count
	}
	p.inFlight = present
}

// gossipClock is this sidecar's clock as messages carry it.
func (b *Balancer) gossipClock() uint32 { return uint32(uint64(b.now)) }

// scheduleGossip sets the timer of the next message, at a random point so that sidecars do not send in step.
func (b *Balancer) scheduleGossip() {
	if b.cfg.gossipEnabled() {
		delay := gossipInterval * (0.5 + b.random.float64())
		b.emit(Action{Kind: SetTimer, Token: gossipTimer, Delay: delay})
	}
}

// sendGossip sends peers this sidecar's requests in flight by endpoint, and what it observed since its last
// message.
func (b *Balancer) sendGossip() {
	b.gossip.expirePeers(b.now)
	b.updateConcurrencyLimit()
	data := appendGossipHeader(make([]byte, 0, maxGossipSize), gossipHeader{
		clock:      b.gossipClock(),
		subsetSize: uint8(min(len(b.subset()), math.MaxUint8)),
		latency:    b.concurrency.latency.takeReport(),
	})
	refresh := b.now >= b.gossip.refreshAt
	if refresh {
		b.gossip.refreshAt = b.now + gossipRefresh
	}
	for _, e := range b.endpoints {
		data = e.announce(data, refresh)
	}
	b.multicast(data)
	b.scheduleGossip()
}

// announce appends an endpoint's entry if there is anything to send, and marks the endpoint if that changed.
func (e *endpoint) announce(data []byte, refresh bool) []byte {
	inFlight, seen := min(e.inFlight, maxAnnounced), e.gossip.observation
	changed := inFlight != e.gossip.announcedInFlight || seen != (observation{})
	e.gossip.changed = changed || refresh && inFlight > 0
	e.gossip.announcedInFlight = 0
	if inFlight == 0 && seen == (observation{}) || len(data)+gossipEntrySize > maxGossipSize {
		return data
	}
	e.gossip.announcedInFlight = inFlight
	e.gossip.observation = observation{}
	return appendGossipEntry(data, gossipEntry{tag: gossipTag(e.ID), inFlight: inFlight, seen: seen})
}

// multicast sends a message to the sidecars that may use an endpoint that changed: each message costs its
// receiver something, and entries on other endpoints are of no use to it.
func (b *Balancer) multicast(data []byte) {
	first := len(b.actions)
	for peer := range b.cfg.PeerCount {
		if peer != b.cfg.PeerIndex && b.isInterested(peer) {
			b.emit(Action{Kind: SendGossip, Peer: peer, Data: data})
		}
	}
	if len(b.actions)-first == b.cfg.PeerCount-1 {
		b.actions = append(b.actions[:first], Action{Kind: SendGossip, Peer: AllPeers, Data: data})
	}
}

// isInterested reports whether a peer may use an endpoint that changed, by its place on the ring.
func (b *Balancer) isInterested(peer int) bool {
	reach := b.gossipRange()
	if p := b.gossip.peers[peer]; p != nil {
		reach = max(reach, p.subsetSize)
	}
	ring, start := b.subsets.position(peer, len(b.endpoints))
	for i := range min(reach, len(ring)) {
		if ring[(start+i)%len(ring)].gossip.changed {
			return true
		}
	}
	return false
}

// gossipRange is how many endpoints from its place on the ring a sidecar receives gossip on at the least.
func (b *Balancer) gossipRange() int {
	return gossipRangeFactor * int(math.Ceil(b.subsets.minSize(len(b.endpoints))))
}

// gossipScope is the endpoints that this sidecar receives gossip on.
func (b *Balancer) gossipScope() []*endpoint {
	reach := max(b.gossipRange(), len(b.subset()))
	if reach >= len(b.endpoints) {
		return b.endpoints
	}
	ring, start := b.subsets.position(b.cfg.PeerIndex, len(b.endpoints))
	scope := b.gossip.scopeBuffer[:0]
	for i := range reach {
		scope = append(scope, ring[(start+i)%len(ring)])
	}
	b.gossip.scopeBuffer = scope
	return scope
}

// handleGossip takes in a peer's message. What is malformed, old, a duplicate or of an unknown sender is
// dropped.
func (b *Balancer) handleGossip(event GossipMessage) {
	if event.Sender == b.cfg.PeerIndex {
		return
	}
	header, entries, err := parseGossip(event.Data)
	known := event.Sender >= 0 && event.Sender < b.cfg.PeerCount && b.cfg.gossipEnabled()
	if err != nil || !known || !b.isNewGossip(event.Sender, header.clock) {
		b.stats.GossipDropped++
		return
	}
	p := b.gossip.peers[event.Sender]
	if p == nil {
		p = &peer{}
		b.gossip.peers[event.Sender] = p
	}
	p.clock, p.receivedAt, p.subsetSize = header.clock, b.now, int(header.subsetSize)
	b.gossip.lastReceivedAt = b.now
	b.stats.GossipReceived++
	justStarted := b.now < b.concurrency.startedAt+baselineAdoptionTime
	b.concurrency.latency.merge(b.now, header.latency, justStarted)
	p.replaceInFlight(b.mergeGossipEntries(event.Sender, entries))
}

// isNewGossip compares the clock of a message, which wraps around, with this sidecar's and with the last
// message's.
func (b *Balancer) isNewGossip(sender int, clock uint32) bool {
	age := int32(b.gossipClock() - clock)
	if age > gossipExpiry || age < -gossipExpiry {
		return false
	}
	p := b.gossip.peers[sender]
	return p == nil || int32(clock-p.clock) > 0
}

// mergeGossipEntries takes in what a peer saw, and returns what it has in flight.
func (b *Balancer) mergeGossipEntries(sender int, entries []byte) []peerInFlight {
	var inFlight []peerInFlight
	for ; len(entries) > 0; entries = entries[gossipEntrySize:] {
		entry := parseGossipEntry(entries)
		e := b.gossip.endpointByTag[entry.tag]
		if e == nil {
			continue
		}
		if entry.inFlight > 0 {
			inFlight = append(inFlight, peerInFlight{endpoint: e, count: float64(entry.inFlight)})
		}
		b.mergeObservation(e, sender, entry.seen)
	}
	return inFlight
}
