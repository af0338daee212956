package balance

import (
	"encoding/binary"
	"math"
)

// This file is what many sidecars tell each other of the servers: each sees so few requests that alone
// it learns too late which servers fail and how full they are. Where nothing is heard, all goes by the
// sidecar's own requests.
//
// A message, big-endian: u8 the version, u32 the sender's clock in milliseconds modulo 2^32, u8 how many
// servers it rotates over, u8 how many answers it got since its last message, u8 their mean time and u8 the
// least mean that it knows of (both in hundredths of an aim, see latency), then for each server at which the
// sender has requests, or that failed or came back since its last message: u16 its tag (see tagOf), u8 the
// sender's requests at it now (high four bits), whether it answered (bit 3), whether it could not be reached
// (bit 2) and how often it failed (low two bits). Those of other versions are dropped.
const (
	gossipVersion           = 3
	gossipHeaderSize        = 9
	gossipEntrySize         = 3
	maxGossipSize           = 256  // bytes, by the protocol
	gossipInterval          = 50   // ms between two messages of a sidecar, where there is news
	gossipRefresh           = 500  // ms after which what stands is told again, as messages get lost
	ejectionExtension       = 800  // ms at most for which a server rests on, told that it failed others again
	gossipRangeFactor       = 2    // times its least subset that a sidecar is told of: some of it may rest
	gossipExpiry            = 1500 // ms after which what was told counts no more
	gossipTimeout           = 400  // ms without any message after which a sidecar goes by its own requests
	fleetShareSamples       = 50   // requests over which its part of what all have at servers is taken
	minGossipPeers          = 8    // sidecars: fewer see enough for themselves
	answeredFlag            = 8
	unreachableFlag         = 4
	evidenceExpiry          = 4000 // ms after which failures at a server are forgotten
	fleetEjectionFailures   = 3    // failures that all sidecars saw before a server is rested
	maxFleetFailures        = 6    // ... and the most that count: one that is back must not stay rested for long
	failureDecay            = 0.7  // part of them that is left after each answer
	atCapacityLoad          = 1.3  // requests at a server, by its size, above which it is passed over
	initialConcurrencyLimit = 0.7  // requests at all servers, by their sizes, above which load is shed at first
	fullShedLoad            = 1.8  // ... and all of it that may be; all three grow with the learned limit

	latencyDecayTime         = 400  // ms over which the mean time of all sidecars' answers is taken
	minLatencySamples        = 20   // answers in it, fewer of which tell nothing
	maxLatencyFactor         = 2.5  // times the least mean that one answer counts at most: a slow server is no load
	latencyUnitsPerObjective = 100  // of messages, in an aim
	baselineAdoptionTime     = 5000 // ms in which a new sidecar takes over what others know as the least mean
	latencyTolerance         = 0.03 // part of the aim beyond the least mean up to which answers are quick
	minLimitUsage            = 0.75 // part of the limit that must be in use to raise it
	limitIncreaseRate        = 0.5  // part by which it rises in a second while answers are quick
	limitDecreaseRate        = 0.9  // ... and falls while they are slow
	limitFloorFactor         = 1.2  // part of what lately was in service under which it falls no further than its start
	peakServiceDecayTime     = 3e4  // ms in which that is forgotten
)

// shareTimer is the token of the timer of messages.
const gossipTimer = pollTimer + 1

// evidence is what all sidecars heard from have lately seen of a server, this one included.
type outlierEvidence struct {
	failures, updatedAt float64 // failures, fewer with each answer
	lastReporter        int     // who told of the last one
	corroborated        bool    // more than one have told of them
	unreachable         bool    // some of them made no connection
}

// news is what this sidecar has to tell of a server.
type observation struct {
	failures              float64
	answered, unreachable bool
}

// peer is another sidecar's last message.
type peer struct {
	clock      uint32
	receivedAt float64
	subsetSize int // how many servers it rotates over
	inFlight   []peerInFlight
}

type peerInFlight struct {
	endpoint *endpoint
	count    float64
}

// tagOf names a server in messages; IDs are the same at every sidecar.
func gossipTag(id EndpointID) uint16 { return uint16(mix64(uint64(id))) }

// tagServers keeps whom a tag means. Where two share one, it means neither.
func (b *Balancer) rebuildTags() {
	b.endpointByTag = make(map[uint16]*endpoint, len(b.endpoints))
	for _, s := range b.endpoints {
		tag := gossipTag(s.ID)
		if _, twice := b.endpointByTag[tag]; twice {
			b.endpointByTag[tag] = nil
		} else {
			b.endpointByTag[tag] = s
		}
	}
}

func (b *Balancer) gossipEnabled() bool { return b.cfg.Gossip && b.cfg.PeerCount >= minGossipPeers }

// shareLater sets the timer of the next message, at a random point so that sidecars do not tell in step.
func (b *Balancer) scheduleGossip() {
	if b.gossipEnabled() {
		b.emit(Action{Kind: SetTimer, Token: gossipTimer, Delay: gossipInterval * (0.5 + b.random())})
	}
}

// share tells others what this sidecar has at servers, and what came of it since the last time. Only those
// are told that may use a server of which there is news: each message costs its receiver something, and what
// is told of other servers tells it nothing. What stands is told again from time to time.
func (b *Balancer) gossip() {
	b.expireSilentPeers()
	b.updateConcurrencyLimit()
	data := binary.BigEndian.AppendUint32([]byte{gossipVersion}, b.gossipClock())
	data = b.latency.appendTo(append(data, uint8(min(len(b.subset()), math.MaxUint8))))
	again := b.now >= b.refreshAt
	if again {
		b.refreshAt = b.now + gossipRefresh
	}
	for _, s := range b.endpoints {
		held := min(s.inFlight, 15)
		s.gossipPending = held != s.announcedInFlight || s.pendingObservation != (observation{}) || again && held > 0
		s.announcedInFlight = 0
		if held == 0 && s.pendingObservation == (observation{}) || len(data)+gossipEntrySize > maxGossipSize {
			continue
		}
		s.announcedInFlight = held
		entry := uint8(held)<<4 | uint8(math.Min(s.pendingObservation.failures, unreachableFlag-1))
		if s.pendingObservation.answered {
			entry |= answeredFlag
		}
		if s.pendingObservation.unreachable {
			entry |= unreachableFlag
		}
		data = append(binary.BigEndian.AppendUint16(data, gossipTag(s.ID)), entry)
		s.pendingObservation = observation{}
	}
	b.sendGossip(data)
	b.scheduleGossip()
}

// post sends a message to the sidecars that may use one of the servers concerned.
func (b *Balancer) sendGossip(data []byte) {
	first := len(b.actions)
	for n := range b.cfg.PeerCount {
		if n != b.cfg.PeerIndex && b.isInterested(n) {
			b.emit(Action{Kind: SendGossip, Peer: n, Data: data})
		}
	}
	if len(b.actions)-first == b.cfg.PeerCount-1 {
		b.actions = append(b.actions[:first], Action{Kind: SendGossip, Peer: -1, Data: data})
	}
}

// concerns: a sidecar may use one of the servers concerned, by its place in the ring.
func (b *Balancer) isInterested(number int) bool {
	reach := b.gossipRange()
	if p := b.knownPeers[number]; p != nil {
		reach = max(reach, p.subsetSize)
	}
	ring, start := b.ringPosition(number)
	for i := range min(reach, len(ring)) {
		if ring[(start+i)%len(ring)].gossipPending {
			return true
		}
	}
	return false
}

// reach is how far from its place in the ring a sidecar is told of servers at the least.
func (b *Balancer) gossipRange() int { return gossipRangeFactor * int(math.Ceil(b.minSubsetSize())) }

// around is the servers that this sidecar is told of.
func (b *Balancer) gossipScope() []*endpoint {
	reach := max(b.gossipRange(), len(b.subset()))
	if reach >= len(b.endpoints) {
		return b.endpoints
	}
	ring, start := b.ringPosition(b.cfg.PeerIndex)
	b.scopeBuffer = b.scopeBuffer[:0]
	for i := range reach {
		b.scopeBuffer = append(b.scopeBuffer, ring[(start+i)%len(ring)])
	}
	return b.scopeBuffer
}

func (b *Balancer) gossipClock() uint32 { return uint32(uint64(b.now)) }

// forgetSilent takes back what sidecars told that have not been heard for long: they may be gone.
func (b *Balancer) expireSilentPeers() {
	for _, p := range b.knownPeers {
		if b.now-p.receivedAt > gossipExpiry {
			p.replaceInFlight(nil)
		}
	}
}

// take puts what a sidecar holds at servers in place of what it told before.
func (p *peer) replaceInFlight(now []peerInFlight) {
	for _, h := range p.inFlight {
		h.endpoint.inFlightFromPeers -= h.count
	}
	for _, h := range now {
		h.endpoint.inFlightFromPeers += h.count
	}
	p.inFlight = now
}

// onMessage takes in what another sidecar tells. What is malformed, old, told twice or from nobody known is
// dropped.
func (b *Balancer) handleGossip(ev GossipMessage) {
	if ev.Sender == b.cfg.PeerIndex {
		return
	}
	d := ev.Data
	if ev.Sender < 0 || ev.Sender >= b.cfg.PeerCount || !b.gossipEnabled() || len(d) > maxGossipSize || len(d) < gossipHeaderSize ||
		d[0] != gossipVersion || (len(d)-gossipHeaderSize)%gossipEntrySize != 0 {
		b.stats.GossipDropped++
		return
	}
	sent := binary.BigEndian.Uint32(d[1:])
	p := b.knownPeers[ev.Sender]
	age := int32(b.gossipClock() - sent)
	if age > gossipExpiry || age < -gossipExpiry || p != nil && int32(sent-p.clock) <= 0 {
		b.stats.GossipDropped++
		return
	}
	if p == nil {
		p = &peer{}
		b.knownPeers[ev.Sender] = p
	}
	p.clock, p.receivedAt, p.subsetSize, b.lastGossipAt = sent, b.now, int(d[5]), b.now
	b.stats.GossipReceived++
	b.mergeLatency(d[6], d[7], d[8])
	var now []peerInFlight
	for d = d[gossipHeaderSize:]; len(d) > 0; d = d[gossipEntrySize:] {
		s := b.endpointByTag[binary.BigEndian.Uint16(d)]
		if s == nil {
			continue
		}
		if n := d[2] >> 4; n > 0 {
			now = append(now, peerInFlight{s, float64(n)})
		}
		b.mergeObservation(s, ev.Sender, observation{float64(d[2] & (unreachableFlag - 1)), d[2]&answeredFlag != 0, d[2]&unreachableFlag != 0})
	}
	p.replaceInFlight(now)
}

// saw takes in what this sidecar saw of a server, for itself and to tell. An answer is news after failures.
func (b *Balancer) recordObservation(s *endpoint, n observation) {
	s.pendingObservation.failures += n.failures
	s.pendingObservation.answered = s.pendingObservation.answered || n.answered && s.outlierEvidence.failures > 0
	s.pendingObservation.unreachable = s.pendingObservation.unreachable || n.unreachable
	b.mergeObservation(s, b.cfg.PeerIndex, n)
}

// witness adds to what is known of a server. Where all sidecars together got hardly anything but failures
// and more than one tells of them, it rests before this one has paid for the lesson itself, and on while
// others try it in vain; once others are answered it rests no more.
func (b *Balancer) mergeObservation(s *endpoint, from int, n observation) {
	e, others := &s.outlierEvidence, from != b.cfg.PeerIndex
	if b.now-e.updatedAt > evidenceExpiry {
		*e = outlierEvidence{}
	}
	e.updatedAt = b.now
	if n.failures > 0 {
		e.corroborated = e.corroborated || e.failures > 0 && from != e.lastReporter
		e.failures, e.lastReporter, e.unreachable = math.Min(e.failures+n.failures, maxFleetFailures), from, e.unreachable || n.unreachable
	}
	lost := b.isDown(s)
	if n.answered {
		e.failures *= failureDecay
	}
	switch failing := b.isFailing(s); {
	case !others:
	case failing && n.failures > 0 && b.ejected(s):
		s.ejectedUntil = math.Max(s.ejectedUntil, b.now+ejectionExtension*(0.25+0.75*b.random()))
	case failing && n.failures > 0 && !b.mostEjected():
		b.eject(s)
	case !failing && n.answered && b.ejected(s):
		s.ejectedUntil = b.now
	}
	if lost && !b.isDown(s) && !b.warmingUp(s) { // it is back, and the list has yet to tell
		b.beginSlowStart(s, b.now)
	}
}

// failing: more than one sidecar lately got hardly anything but failures from the server.
func (b *Balancer) isFailing(s *endpoint) bool {
	return s.outlierEvidence.failures >= fleetEjectionFailures && s.outlierEvidence.corroborated && b.now-s.outlierEvidence.updatedAt <= evidenceExpiry
}

// lostAll: it fails, and takes no connections: its process died.
func (b *Balancer) isDown(s *endpoint) bool { return s.outlierEvidence.unreachable && b.isFailing(s) }

// mostRest: where half of the servers rest, what fails is hardly single servers.
func (b *Balancer) mostEjected() bool {
	n, around := 0, b.gossipScope()
	for _, s := range around {
		if b.ejected(s) {
			n++
		}
	}
	return 2*n >= len(around)
}

// informed: others tell what they have at the servers.
func (b *Balancer) hasFreshGossip() bool {
	return b.lastGossipAt > 0 && b.now-b.lastGossipAt < gossipTimeout
}

// deaf: others told something, and no more.
func (b *Balancer) gossipLost() bool { return b.lastGossipAt > 0 && !b.hasFreshGossip() }

// able is how much a server can hold, by its size and warmth.
func (b *Balancer) capacity(s *endpoint) float64 {
	if b.warmingUp(s) {
		return s.NominalCapacity * b.slowStartFraction(s)
	}
	return s.NominalCapacity
}

// full: all sidecars together have so much at the server that more would wait for too long. One that fails is
// empty, but no better.
func (b *Balancer) atCapacity(s *endpoint) bool {
	return b.isFailing(s) || s.inFlightFromPeers+float64(s.inFlight)+1 > math.Max(2, atCapacityLoad*b.concurrencyLimit/initialConcurrencyLimit*b.capacity(s))
}

// crowding is what this sidecar, and what all sidecars together have at the servers in use, and what these
// can hold by their sizes. Those that hang hold ever more and have a bound to what they count.
func (b *Balancer) fleetLoad() (own, all, can float64) {
	can = 1e-3
	for _, s := range b.gossipScope() {
		if s.Lifecycle != Ready || b.ejected(s) || b.isFailing(s) {
			continue
		}
		able := b.capacity(s)
		own += float64(s.inFlight)
		all += math.Min(s.inFlightFromPeers+float64(s.inFlight), 2*fullShedLoad*b.concurrencyLimit/initialConcurrencyLimit*able)
		can += able
	}
	return own, all, can
}

// fleetShed is the part of the load to shed, by what all sidecars together have at the servers in use. Where
// nobody is heard any more, the others are held to have as much more than usual as this sidecar, less what
// meets by chance: its own answers tell of a crowd only when the servers are too full already.
func (b *Balancer) fleetShedFraction() float64 {
	own, has, can := b.fleetLoad()
	if b.gossipLost() {
		has = math.Max(0, own-math.Sqrt(own)) * b.fleetInFlight / math.Max(b.ownInFlight, 1e-3)
	} else {
		b.ownInFlight += (own - b.ownInFlight) / fleetShareSamples
		b.fleetInFlight += (has - b.fleetInFlight) / fleetShareSamples
	}
	b.overload = initialConcurrencyLimit * (has/can/b.concurrencyLimit - 1)
	return clamp(b.overload/(fullShedLoad-initialConcurrencyLimit), 0, maxShedFraction)
}

// latency is the recent mean time of all sidecars' answers, each as a part of its aim, and the least it was.
type fleetLatency struct {
	samples, sum, updatedAt float64 // answers and the sum of their times, decayed
	baseline                float64
	ownSamples, ownSum      float64 // this sidecar's since its last message
}

// count takes in n answers of a mean time.
func (l *fleetLatency) add(now, n, mean float64) {
	left := math.Exp((l.updatedAt - now) / latencyDecayTime)
	l.samples, l.sum, l.updatedAt = l.samples*left+n, l.sum*left+n*math.Min(mean, maxLatencyFactor*l.baseline), now
}

// saw takes in an answer of this sidecar's, for itself and to tell.
func (l *fleetLatency) recordOwn(now, took float64) {
	l.add(now, 1, took)
	l.ownSamples, l.ownSum = l.ownSamples+1, l.ownSum+math.Min(took, maxLatencyFactor*l.baseline)
}

// tell adds to a message what there is to tell of answers.
func (l *fleetLatency) appendTo(data []byte) []byte {
	unit := func(v float64) uint8 { return uint8(math.Min(v*latencyUnitsPerObjective+0.5, math.MaxUint8)) }
	n, mean := math.Min(l.ownSamples, math.MaxUint8), l.ownSum/math.Max(l.ownSamples, 1)
	data = append(data, uint8(n), unit(mean), unit(l.baseline))
	l.ownSamples, l.ownSum = 0, 0
	return data
}

// hearLatency takes in what another sidecar tells of answers. Who has just started has yet to see how quick
// they can be, and takes that over.
func (b *Balancer) mergeLatency(answers, mean, least uint8) {
	if least > 0 && b.now < b.startedAt+baselineAdoptionTime {
		b.latency.baseline += (float64(least)/latencyUnitsPerObjective - b.latency.baseline) / fleetShareSamples
	}
	b.latency.add(b.now, float64(answers), float64(mean)/latencyUnitsPerObjective)
}

// learnLimit learns how many requests servers bear for their sizes, by the answers of all sidecars: ratings
// are on a scale of their own, and requests that wait for something else fill no server. While answers take
// hardly longer than the least, more requests do no harm; then servers queue. By Little's law what they hold,
// times the least over the present mean time, is in service: so much they can do, and if answers are slow at
// less, something else than load makes them so. Choked servers do less, so that holds under the start only.
func (b *Balancer) updateConcurrencyLimit() {
	l, since := &b.latency, b.now-b.limitUpdatedAt
	b.limitUpdatedAt = b.now
	l.add(b.now, 0, 0)
	if l.samples < minLatencySamples || !b.hasFreshGossip() {
		return
	}
	_, has, can := b.fleetLoad()
	mean := l.sum / l.samples
	l.baseline = clamp(mean*(1+1/math.Sqrt(l.samples)), 1.0/latencyUnitsPerObjective, l.baseline) // few are quick by chance
	b.utilization += (has/can - b.utilization) * -math.Expm1(-since/latencyDecayTime)
	b.peakInService = math.Max(b.peakInService*math.Exp(-since/peakServiceDecayTime), b.utilization*l.baseline/math.Max(mean, l.baseline))
	switch slower := (mean - l.baseline) / (1 - l.baseline); {
	case slower > 2*latencyTolerance:
		least := math.Min(math.Min(b.concurrencyLimit, initialConcurrencyLimit), limitFloorFactor*b.peakInService)
		b.concurrencyLimit = math.Max(least, b.concurrencyLimit*math.Exp(-limitDecreaseRate*since/1000))
	case slower < latencyTolerance && b.utilization > minLimitUsage*b.concurrencyLimit:
		b.concurrencyLimit *= math.Exp(limitIncreaseRate * since / 1000)
	}
}
