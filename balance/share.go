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
	shareVersion = 3
	shareHeader  = 9
	shareEntry   = 3
	mostMessage  = 256  // bytes, by the protocol
	shareEvery   = 50   // ms between two messages of a sidecar, where there is news
	shareAgain   = 500  // ms after which what stands is told again, as messages get lost
	restOn       = 800  // ms at most for which a server rests on, told that it failed others again
	shareBeyond  = 2    // times its least subset that a sidecar is told of: some of it may rest
	shareStale   = 1500 // ms after which what was told counts no more
	deafAfter    = 400  // ms without any message after which a sidecar goes by its own requests
	partSpan     = 50   // requests over which its part of what all have at servers is taken
	manyPeers    = 8    // sidecars: fewer see enough for themselves
	answered     = 8
	away         = 4
	evidenceSpan = 4000 // ms after which failures at a server are forgotten
	fleetStrikes = 3    // failures that all sidecars saw before a server is rested
	mostStrikes  = 6    // ... and the most that count: one that is back must not stay rested for long
	forgive      = 0.7  // part of them that is left after each answer
	fullAt       = 1.3  // requests at a server, by its size, above which it is passed over
	shedFrom     = 0.7  // requests at all servers, by their sizes, above which load is shed at first
	shedAll      = 1.8  // ... and all of it that may be; all three grow with the learned limit

	latencySpan   = 400  // ms over which the mean time of all sidecars' answers is taken
	latencyEnough = 20   // answers in it, fewer of which tell nothing
	latencyMost   = 2.5  // times the least mean that one answer counts at most: a slow server is no load
	latencyUnit   = 100  // of messages, in an aim
	settled       = 5000 // ms in which a new sidecar takes over what others know as the least mean
	limitSlow     = 0.03 // part of the aim beyond the least mean up to which answers are quick
	limitUsed     = 0.75 // part of the limit that must be in use to raise it
	limitRise     = 0.5  // part by which it rises in a second while answers are quick
	limitFall     = 0.9  // ... and falls while they are slow
	queuePart     = 1.2  // part of what lately was in service under which it falls no further than its start
	serviceSpan   = 3e4  // ms in which that is forgotten
)

// shareTimer is the token of the timer of messages.
const shareTimer = listTimer + 1

// evidence is what all sidecars heard from have lately seen of a server, this one included.
type evidence struct {
	streak, at float64 // failures, fewer with each answer
	accuser    int     // who told of the last one
	agreed     bool    // more than one have told of them
	away       bool    // some of them made no connection
}

// news is what this sidecar has to tell of a server.
type news struct {
	failed         float64
	answered, away bool
}

// peer is another sidecar's last message.
type peer struct {
	stamp uint32
	at    float64
	reach int // how many servers it rotates over
	held  []held
}

type held struct {
	s *server
	n float64
}

// tagOf names a server in messages; IDs are the same at every sidecar.
func tagOf(id ServerID) uint16 { return uint16(mix(uint64(id))) }

// tagServers keeps whom a tag means. Where two share one, it means neither.
func (b *Balancer) tagServers() {
	b.byTag = make(map[uint16]*server, len(b.servers))
	for _, s := range b.servers {
		tag := tagOf(s.ID)
		if _, twice := b.byTag[tag]; twice {
			b.byTag[tag] = nil
		} else {
			b.byTag[tag] = s
		}
	}
}

func (b *Balancer) shares() bool { return b.cfg.Messages && b.cfg.Peers >= manyPeers }

// shareLater sets the timer of the next message, at a random point so that sidecars do not tell in step.
func (b *Balancer) shareLater() {
	if b.shares() {
		b.emit(Action{Kind: SetTimer, Token: shareTimer, At: shareEvery * (0.5 + b.random())})
	}
}

// share tells others what this sidecar has at servers, and what came of it since the last time. Only those
// are told that may use a server of which there is news: each message costs its receiver something, and what
// is told of other servers tells it nothing. What stands is told again from time to time.
func (b *Balancer) share() {
	b.forgetSilent()
	b.learnLimit()
	data := binary.BigEndian.AppendUint32([]byte{shareVersion}, b.stamp())
	data = b.latency.tell(append(data, uint8(min(len(b.subset()), math.MaxUint8))))
	again := b.now >= b.tellAgain
	if again {
		b.tellAgain = b.now + shareAgain
	}
	for _, s := range b.servers {
		held := min(s.inFlight, 15)
		s.concerned = held != s.told || s.news != (news{}) || again && held > 0
		s.told = 0
		if held == 0 && s.news == (news{}) || len(data)+shareEntry > mostMessage {
			continue
		}
		s.told = held
		entry := uint8(held)<<4 | uint8(math.Min(s.news.failed, away-1))
		if s.news.answered {
			entry |= answered
		}
		if s.news.away {
			entry |= away
		}
		data = append(binary.BigEndian.AppendUint16(data, tagOf(s.ID)), entry)
		s.news = news{}
	}
	b.post(data)
	b.shareLater()
}

// post sends a message to the sidecars that may use one of the servers concerned.
func (b *Balancer) post(data []byte) {
	first := len(b.out)
	for n := range b.cfg.Peers {
		if n != b.cfg.Number && b.concerns(n) {
			b.emit(Action{Kind: Post, Peer: n, Data: data})
		}
	}
	if len(b.out)-first == b.cfg.Peers-1 {
		b.out = append(b.out[:first], Action{Kind: Post, Peer: -1, Data: data})
	}
}

// concerns: a sidecar may use one of the servers concerned, by its place in the ring.
func (b *Balancer) concerns(number int) bool {
	reach := b.reach()
	if p := b.heard[number]; p != nil {
		reach = max(reach, p.reach)
	}
	ring, start := b.place(number)
	for i := range min(reach, len(ring)) {
		if ring[(start+i)%len(ring)].concerned {
			return true
		}
	}
	return false
}

// reach is how far from its place in the ring a sidecar is told of servers at the least.
func (b *Balancer) reach() int { return shareBeyond * int(math.Ceil(b.leastSubset())) }

// around is the servers that this sidecar is told of.
func (b *Balancer) around() []*server {
	reach := max(b.reach(), len(b.subset()))
	if reach >= len(b.servers) {
		return b.servers
	}
	ring, start := b.place(b.cfg.Number)
	b.told = b.told[:0]
	for i := range reach {
		b.told = append(b.told, ring[(start+i)%len(ring)])
	}
	return b.told
}

func (b *Balancer) stamp() uint32 { return uint32(uint64(b.now)) }

// forgetSilent takes back what sidecars told that have not been heard for long: they may be gone.
func (b *Balancer) forgetSilent() {
	for _, p := range b.heard {
		if b.now-p.at > shareStale {
			p.take(nil)
		}
	}
}

// take puts what a sidecar holds at servers in place of what it told before.
func (p *peer) take(now []held) {
	for _, h := range p.held {
		h.s.elsewhere -= h.n
	}
	for _, h := range now {
		h.s.elsewhere += h.n
	}
	p.held = now
}

// onMessage takes in what another sidecar tells. What is malformed, old, told twice or from nobody known is
// dropped.
func (b *Balancer) onMessage(ev Message) {
	if ev.From == b.cfg.Number {
		return
	}
	d := ev.Data
	if ev.From < 0 || ev.From >= b.cfg.Peers || !b.shares() || len(d) > mostMessage || len(d) < shareHeader ||
		d[0] != shareVersion || (len(d)-shareHeader)%shareEntry != 0 {
		b.stats.Dropped++
		return
	}
	sent := binary.BigEndian.Uint32(d[1:])
	p := b.heard[ev.From]
	age := int32(b.stamp() - sent)
	if age > shareStale || age < -shareStale || p != nil && int32(sent-p.stamp) <= 0 {
		b.stats.Dropped++
		return
	}
	if p == nil {
		p = &peer{}
		b.heard[ev.From] = p
	}
	p.stamp, p.at, p.reach, b.heardAt = sent, b.now, int(d[5]), b.now
	b.stats.Heard++
	b.hearLatency(d[6], d[7], d[8])
	var now []held
	for d = d[shareHeader:]; len(d) > 0; d = d[shareEntry:] {
		s := b.byTag[binary.BigEndian.Uint16(d)]
		if s == nil {
			continue
		}
		if n := d[2] >> 4; n > 0 {
			now = append(now, held{s, float64(n)})
		}
		b.witness(s, ev.From, news{float64(d[2] & (away - 1)), d[2]&answered != 0, d[2]&away != 0})
	}
	p.take(now)
}

// saw takes in what this sidecar saw of a server, for itself and to tell. An answer is news after failures.
func (b *Balancer) saw(s *server, n news) {
	s.news.failed += n.failed
	s.news.answered = s.news.answered || n.answered && s.evidence.streak > 0
	s.news.away = s.news.away || n.away
	b.witness(s, b.cfg.Number, n)
}

// witness adds to what is known of a server. Where all sidecars together got hardly anything but failures
// and more than one tells of them, it rests before this one has paid for the lesson itself, and on while
// others try it in vain; once others are answered it rests no more.
func (b *Balancer) witness(s *server, from int, n news) {
	e, others := &s.evidence, from != b.cfg.Number
	if b.now-e.at > evidenceSpan {
		*e = evidence{}
	}
	e.at = b.now
	if n.failed > 0 {
		e.agreed = e.agreed || e.streak > 0 && from != e.accuser
		e.streak, e.accuser, e.away = math.Min(e.streak+n.failed, mostStrikes), from, e.away || n.away
	}
	lost := b.lostAll(s)
	if n.answered {
		e.streak *= forgive
	}
	switch failing := b.failing(s); {
	case !others:
	case failing && n.failed > 0 && b.resting(s):
		s.restUntil = math.Max(s.restUntil, b.now+restOn*(0.25+0.75*b.random()))
	case failing && n.failed > 0 && !b.mostRest():
		b.rest(s)
	case !failing && n.answered && b.resting(s):
		s.restUntil = b.now
	}
	if lost && !b.lostAll(s) && !b.cold(s) { // it is back, and the list has yet to tell
		b.chill(s, b.now)
	}
}

// failing: more than one sidecar lately got hardly anything but failures from the server.
func (b *Balancer) failing(s *server) bool {
	return s.evidence.streak >= fleetStrikes && s.evidence.agreed && b.now-s.evidence.at <= evidenceSpan
}

// lostAll: it fails, and takes no connections: its process died.
func (b *Balancer) lostAll(s *server) bool { return s.evidence.away && b.failing(s) }

// mostRest: where half of the servers rest, what fails is hardly single servers.
func (b *Balancer) mostRest() bool {
	n, around := 0, b.around()
	for _, s := range around {
		if b.resting(s) {
			n++
		}
	}
	return 2*n >= len(around)
}

// informed: others tell what they have at the servers.
func (b *Balancer) informed() bool { return b.heardAt > 0 && b.now-b.heardAt < deafAfter }

// deaf: others told something, and no more.
func (b *Balancer) deaf() bool { return b.heardAt > 0 && !b.informed() }

// able is how much a server can hold, by its size and warmth.
func (b *Balancer) able(s *server) float64 {
	if b.cold(s) {
		return s.Rating * b.warmth(s)
	}
	return s.Rating
}

// full: all sidecars together have so much at the server that more would wait for too long. One that fails is
// empty, but no better.
func (b *Balancer) full(s *server) bool {
	return b.failing(s) || s.elsewhere+float64(s.inFlight)+1 > math.Max(2, fullAt*b.limit/shedFrom*b.able(s))
}

// crowding is what this sidecar, and what all sidecars together have at the servers in use, and what these
// can hold by their sizes. Those that hang hold ever more and have a bound to what they count.
func (b *Balancer) crowding() (own, all, can float64) {
	can = 1e-3
	for _, s := range b.around() {
		if s.State != Ready || b.resting(s) || b.failing(s) {
			continue
		}
		able := b.able(s)
		own += float64(s.inFlight)
		all += math.Min(s.elsewhere+float64(s.inFlight), 2*shedAll*b.limit/shedFrom*able)
		can += able
	}
	return own, all, can
}

// fleetShed is the part of the load to shed, by what all sidecars together have at the servers in use. Where
// nobody is heard any more, the others are held to have as much more than usual as this sidecar, less what
// meets by chance: its own answers tell of a crowd only when the servers are too full already.
func (b *Balancer) fleetShed() float64 {
	own, has, can := b.crowding()
	if b.deaf() {
		has = math.Max(0, own-math.Sqrt(own)) * b.allHeld / math.Max(b.ownHeld, 1e-3)
	} else {
		b.ownHeld += (own - b.ownHeld) / partSpan
		b.allHeld += (has - b.allHeld) / partSpan
	}
	b.over = shedFrom * (has/can/b.limit - 1)
	return bound(b.over/(shedAll-shedFrom), 0, maxShed)
}

// latency is the recent mean time of all sidecars' answers, each as a part of its aim, and the least it was.
type latency struct {
	n, sum, at    float64 // answers and the sum of their times, decayed
	least         float64
	ownN, ownTime float64 // this sidecar's since its last message
}

// count takes in n answers of a mean time.
func (l *latency) count(now, n, mean float64) {
	left := math.Exp((l.at - now) / latencySpan)
	l.n, l.sum, l.at = l.n*left+n, l.sum*left+n*math.Min(mean, latencyMost*l.least), now
}

// saw takes in an answer of this sidecar's, for itself and to tell.
func (l *latency) saw(now, took float64) {
	l.count(now, 1, took)
	l.ownN, l.ownTime = l.ownN+1, l.ownTime+math.Min(took, latencyMost*l.least)
}

// tell adds to a message what there is to tell of answers.
func (l *latency) tell(data []byte) []byte {
	unit := func(v float64) uint8 { return uint8(math.Min(v*latencyUnit+0.5, math.MaxUint8)) }
	n, mean := math.Min(l.ownN, math.MaxUint8), l.ownTime/math.Max(l.ownN, 1)
	data = append(data, uint8(n), unit(mean), unit(l.least))
	l.ownN, l.ownTime = 0, 0
	return data
}

// hearLatency takes in what another sidecar tells of answers. Who has just started has yet to see how quick
// they can be, and takes that over.
func (b *Balancer) hearLatency(answers, mean, least uint8) {
	if least > 0 && b.now < b.started+settled {
		b.latency.least += (float64(least)/latencyUnit - b.latency.least) / partSpan
	}
	b.latency.count(b.now, float64(answers), float64(mean)/latencyUnit)
}

// learnLimit learns how many requests servers bear for their sizes, by the answers of all sidecars: ratings
// are on a scale of their own, and requests that wait for something else fill no server. While answers take
// hardly longer than the least, more requests do no harm; then servers queue. By Little's law what they hold,
// times the least over the present mean time, is in service: so much they can do, and if answers are slow at
// less, something else than load makes them so. Choked servers do less, so that holds under the start only.
func (b *Balancer) learnLimit() {
	l, since := &b.latency, b.now-b.learnedAt
	b.learnedAt = b.now
	l.count(b.now, 0, 0)
	if l.n < latencyEnough || !b.informed() {
		return
	}
	_, has, can := b.crowding()
	mean := l.sum / l.n
	l.least = bound(mean*(1+1/math.Sqrt(l.n)), 1.0/latencyUnit, l.least) // few are quick by chance
	b.crowd += (has/can - b.crowd) * -math.Expm1(-since/latencySpan)
	b.inService = math.Max(b.inService*math.Exp(-since/serviceSpan), b.crowd*l.least/math.Max(mean, l.least))
	switch slower := (mean - l.least) / (1 - l.least); {
	case slower > 2*limitSlow:
		least := math.Min(math.Min(b.limit, shedFrom), queuePart*b.inService)
		b.limit = math.Max(least, b.limit*math.Exp(-limitFall*since/1000))
	case slower < limitSlow && b.crowd > limitUsed*b.limit:
		b.limit *= math.Exp(limitRise * since / 1000)
	}
}
