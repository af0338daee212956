package balance

import "math"

const (
	// minGossipPeers is the minimum number of sidecars, this one included, for which sidecars send each
	// other gossip. In smaller fleets each sidecar sees enough of the endpoints by itself.
	minGossipPeers = 8

	// gossipInterval is the mean time in ms between two gossip messages of a sidecar; the actual times are
	// random, from 0.5 to 1.5 times the mean. A message without any change for a peer is not sent to this
	// peer.
	gossipInterval = 50

	// gossipRefresh is the time in ms after which a sidecar gossips its requests in flight again although
	// they have not changed, because messages can be lost.
	gossipRefresh = 500

	// gossipExpiry is the time in ms after which the requests in flight from the last gossip message of a
	// peer (another sidecar) no longer count, as the peer may have died. A message whose clock differs from
	// this sidecar's clock by more than gossipExpiry is dropped.
	gossipExpiry = 1500

	// gossipTimeout is the time in ms since the last gossip message of any peer (another sidecar) after which
	// gossip counts as lost. While gossip is lost, the sidecar estimates the load of the fleet from its own
	// requests alone.
	gossipTimeout = 400

	// minGossipScopeFactor is the minimum number of endpoints about which a sidecar receives gossip, as a
	// multiple of the minimum size of its subset (the size without traffic). The factor is above 1 because
	// a subset grows while some of its endpoints are ejected.
	minGossipScopeFactor = 2
)

// gossipState is what this sidecar has received from its peers. From its own few requests alone, a sidecar
// would learn too late which endpoints fail and how loaded they are.
type gossipState struct {
	peers          map[int]*peer        // peers from which a message was accepted, by Config.PeerIndex
	lastReceivedAt float64              // time of the last message of any peer, in ms; 0 if there was none
	refreshAt      float64              // instant at which unchanged requests in flight are sent again, in ms
	endpointByTag  map[uint16]*endpoint // by gossipTag; nil where endpoints share a tag
	scopeBuffer    []*endpoint          // reused by gossipScope
}

// peer is what the last message of another sidecar said.
type peer struct {
	clock      uint32         // the sender's clock, in ms modulo 2^32
	receivedAt float64        // time of reception on this sidecar's clock, in ms
	subsetSize int            // number of endpoints that the sender uses
	inFlight   []peerInFlight // the sender's requests in flight
}

// peerInFlight is the number of requests that a peer has in flight at an endpoint.
type peerInFlight struct {
	endpoint *endpoint
	count    float64
}

func newGossipState() gossipState { return gossipState{peers: map[int]*peer{}} }

// gossipEnabled reports whether sidecars send each other gossip: the settings allow gossip and there are at
// least minGossipPeers sidecars.
func (c *Config) gossipEnabled() bool { return c.Gossip && c.PeerCount >= minGossipPeers }

// isFresh reports whether a message of any peer was received less than gossipTimeout ago.
func (g *gossipState) isFresh(now float64) bool {
	return g.lastReceivedAt > 0 && now-g.lastReceivedAt < gossipTimeout
}

// isLost reports whether messages were received before, but none less than gossipTimeout ago.
func (g *gossipState) isLost(now float64) bool { return g.lastReceivedAt > 0 && !g.isFresh(now) }

// indexTags maps each tag to its endpoint. A tag that several endpoints share is mapped to nil.
func (g *gossipState) indexTags(endpoints []*endpoint) {
	g.endpointByTag = make(map[uint16]*endpoint, len(endpoints))
	for _, e := range endpoints {
		tag := gossipTag(e.ID)
		if _, duplicate := g.endpointByTag[tag]; duplicate {
			g.endpointByTag[tag] = nil
		} else {
			g.endpointByTag[tag] = e
		}
	}
}

// expirePeers drops the requests in flight of each peer whose last message has expired, as the peer may have
// died.
func (g *gossipState) expirePeers(now float64) {
	for _, p := range g.peers {
		if now-p.receivedAt > gossipExpiry {
			p.replaceInFlight(nil)
		}
	}
}

// replaceInFlight replaces the requests in flight from a peer's previous message with the newly reported
// requests in flight.
func (p *peer) replaceInFlight(reported []peerInFlight) {
	for _, entry := range p.inFlight {
		entry.endpoint.gossip.inFlightFromPeers -= entry.count
	}
	for _, entry := range reported {
		entry.endpoint.gossip.inFlightFromPeers += entry.count
	}
	p.inFlight = reported
}

// gossipClock returns this sidecar's clock as messages carry it, in ms modulo 2^32.
func (b *Balancer) gossipClock() uint32 { return uint32(uint64(b.now)) }

// scheduleGossip sets the timer for the next message. The delay is random, so that the sidecars send at
// different times.
func (b *Balancer) scheduleGossip() {
	if b.cfg.gossipEnabled() {
		delay := gossipInterval * (0.5 + b.random.float64())
		b.emit(Action{Kind: SetTimer, Token: gossipTimer, Delay: delay})
	}
}

// sendGossip sends to peers this sidecar's requests in flight by endpoint, and this sidecar's observations of
// endpoints since its previous message.
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
		data = e.appendGossip(data, refresh)
	}
	b.multicast(data)
	b.scheduleGossip()
}

// appendGossip appends the endpoint's entry if there is anything to send and the message has room for it.
// It marks the endpoint as changed if the entry tells peers something new or is due for a refresh.
func (e *endpoint) appendGossip(data []byte, refresh bool) []byte {
	inFlight, observed := min(e.inFlight, maxAnnouncedInFlight), e.gossip.observation
	changed := inFlight != e.gossip.announcedInFlight || observed != (observation{})
	e.gossip.changed = changed || refresh && inFlight > 0
	e.gossip.announcedInFlight = 0
	if inFlight == 0 && observed == (observation{}) || len(data)+gossipEntrySize > maxGossipSize {
		return data
	}
	e.gossip.announcedInFlight = inFlight
	e.gossip.observation = observation{}
	return appendGossipEntry(data,
		gossipEntry{tag: gossipTag(e.ID), inFlight: inFlight, observation: observed})
}

// multicast sends a message to the peers that may use an endpoint marked as changed. Other peers do not get
// the message, which has a cost for each receiver, because they have no use for entries on endpoints that
// they do not use. A message to all peers is sent as one broadcast.
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

// isInterested reports whether a peer may use an endpoint marked as changed, by the peer's ring position.
func (b *Balancer) isInterested(peer int) bool {
	scopeSize := b.minGossipScope()
	if p := b.gossip.peers[peer]; p != nil {
		scopeSize = max(scopeSize, p.subsetSize)
	}
	ring, start := b.subsets.ringPosition(peer, len(b.endpoints))
	for i := range min(scopeSize, len(ring)) {
		if ring[(start+i)%len(ring)].gossip.changed {
			return true
		}
	}
	return false
}

// minGossipScope returns the minimum number of endpoints about which a sidecar receives gossip. They are the
// endpoints from the sidecar's position on its ring onwards.
func (b *Balancer) minGossipScope() int {
	return minGossipScopeFactor * int(math.Ceil(b.subsets.minSize(len(b.endpoints))))
}

// gossipScope returns the endpoints about which this sidecar receives gossip. The result is valid until the
// next call.
func (b *Balancer) gossipScope() []*endpoint {
	scopeSize := max(b.minGossipScope(), len(b.subset()))
	if scopeSize >= len(b.endpoints) {
		return b.endpoints
	}
	ring, start := b.subsets.ringPosition(b.cfg.PeerIndex, len(b.endpoints))
	scope := b.gossip.scopeBuffer[:0]
	for i := range scopeSize {
		scope = append(scope, ring[(start+i)%len(ring)])
	}
	b.gossip.scopeBuffer = scope
	return scope
}

// handleGossip applies a peer's message. A message that is malformed, old, a duplicate or of an unknown
// sender is dropped and counted.
func (b *Balancer) handleGossip(event GossipMessage) {
	if event.Sender == b.cfg.PeerIndex {
		return
	}
	header, entries, err := parseGossip(event.Data)
	validSender := event.Sender >= 0 && event.Sender < b.cfg.PeerCount && b.cfg.gossipEnabled()
	if err != nil || !validSender || !b.isNewGossip(event.Sender, header.clock) {
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
	b.concurrency.latency.mergeReport(b.now, header.latency, justStarted)
	p.replaceInFlight(b.mergeGossipEntries(event.Sender, entries))
}

// isNewGossip reports whether a message is recent and newer than the sender's last message. It compares the
// clock of the message, which wraps around, with this sidecar's clock and with the clock of the sender's last
// message.
func (b *Balancer) isNewGossip(sender int, clock uint32) bool {
	age := int32(b.gossipClock() - clock)
	if age > gossipExpiry || age < -gossipExpiry {
		return false
	}
	p := b.gossip.peers[sender]
	return p == nil || int32(clock-p.clock) > 0
}

// mergeGossipEntries applies what a peer saw at endpoints, and returns the peer's requests in flight.
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
		b.mergeObservation(e, sender, entry.observation)
	}
	return inFlight
}
