package balance

import (
	"bytes"
	"testing"
)

// gossipConfig returns the configuration of one of 40 sidecars that may send gossip.
func gossipConfig(peerIndex int) Config {
	cfg := baseConfig()
	cfg.Gossip = true
	cfg.PeerCount = 40
	cfg.PeerIndex = peerIndex
	cfg.Seed = uint64(peerIndex + 1)
	return cfg
}

// sentGossip fires the gossip timer and returns the message that is sent, or nil if there is none.
func (h *harness) sentGossip() []byte {
	h.t.Helper()
	for _, a := range h.handle(Timer{Token: gossipTimer}) {
		if a.Kind == SendGossip {
			return append([]byte(nil), a.Data...)
		}
	}
	return nil
}

// sendsGossipTo fires the gossip timer and reports whether a message goes to the peer.
func (h *harness) sendsGossipTo(peer int) bool {
	h.t.Helper()
	for _, a := range h.handle(Timer{Token: gossipTimer}) {
		if a.Kind == SendGossip && a.Peer == peer {
			return true
		}
	}
	return false
}

// gossipReceivers fires the gossip timer and returns the peers to which a message goes.
func (h *harness) gossipReceivers() map[int]bool {
	h.t.Helper()
	receivers := map[int]bool{}
	for _, a := range h.handle(Timer{Token: gossipTimer}) {
		if a.Kind == SendGossip {
			receivers[a.Peer] = true
		}
	}
	return receivers
}

// receiveFailures delivers gossip of a peer that saw a number of errors at an endpoint.
func (h *harness) receiveFailures(sender int, e *endpoint, count int) {
	h.t.Helper()
	h.receiveConnectionFailures(sender, e, count, false)
}

// receiveConnectionFailures delivers gossip of a peer that saw a number of failures at an endpoint: failed
// connection attempts if unreachable is set, other errors if not.
func (h *harness) receiveConnectionFailures(sender int, e *endpoint, count int, unreachable bool) {
	h.t.Helper()
	peer, peerEndpoint := h.newPeer(sender, e)
	for range count {
		peer.b.recordObservation(peerEndpoint, observation{failures: 1, unreachable: unreachable})
	}
	h.handle(GossipMessage{Sender: sender, Data: peer.sentGossip()})
}

// receiveSuccess delivers gossip of a peer that got a response from an endpoint.
func (h *harness) receiveSuccess(sender int, e *endpoint) {
	h.t.Helper()
	peer, peerEndpoint := h.newPeer(sender, e)
	peerEndpoint.evidence.failures = 1 // responses are gossiped after failures only
	peer.b.recordObservation(peerEndpoint, observation{responded: true})
	h.handle(GossipMessage{Sender: sender, Data: peer.sentGossip()})
}

// newPeer returns another sidecar with the same endpoints and clock, and its state of the given endpoint.
func (h *harness) newPeer(peerIndex int, e *endpoint) (*harness, *endpoint) {
	h.t.Helper()
	var endpoints []Endpoint
	for _, known := range h.b.endpoints {
		endpoints = append(endpoints, known.Endpoint)
	}
	peer := newHarness(h.t, gossipConfig(peerIndex), endpoints...)
	peer.now = h.now
	peer.b.now = h.now
	return peer, peer.b.endpointByID[e.ID]
}

// A message goes to the sidecars that use an endpoint in the message, and to the sidecars that received the
// previous message and would otherwise keep the state from that message. Guards against needless cost: each
// message costs its receiver something, and each of 300 sidecars received gossip of all others, few of which
// used any of its endpoints.
func TestGossipGoesToInterestedPeersOnly(t *testing.T) {
	const peers = 300
	config := func(peerIndex int) Config {
		cfg := gossipConfig(peerIndex)
		cfg.PeerCount = peers
		return cfg
	}
	h := newHarness(t, config(0), newEndpoints(200)...)
	busy := h.b.subset()[1]
	busy.inFlight = 1
	first := h.gossipReceivers()
	for n := 1; n < peers; n++ {
		uses := false
		for _, e := range newHarness(t, config(n), newEndpoints(200)...).b.subset() {
			uses = uses || e.ID == busy.ID
		}
		if uses && !first[n] {
			t.Errorf("sidecar %d uses the endpoint and receives no gossip", n)
		}
	}
	if len(first) == 0 || len(first) > peers/10 || first[AllPeers] || first[0] {
		t.Errorf("gossip about one endpoint goes to %d of %d sidecars, want 1 to %d, without the sender",
			len(first), peers, peers/10)
	}
	busy.inFlight = 0
	if second := h.gossipReceivers(); len(second) != len(first) {
		t.Errorf("gossip about a request went to %d sidecars at its start and to %d at its end, want equal",
			len(first), len(second))
	}
	if third := h.gossipReceivers(); len(third) > 0 {
		t.Errorf("gossip without changes went to %d sidecars, want none", len(third))
	}
}

// Unchanged requests in flight are gossiped again, because messages can be lost, but only after gossipRefresh
// and not at each gossip timer.
func TestGossipIsRefreshedPeriodically(t *testing.T) {
	h := newHarness(t, gossipConfig(0), newEndpoints(8)...)
	h.b.endpoints[2].inFlight = 3
	first := h.sentGossip()
	refreshes := 0
	var last []byte
	for range 20 {
		h.now += gossipRefresh / 10
		if data := h.sentGossip(); data != nil {
			refreshes++
			last = data
		}
	}
	if first == nil || refreshes < 1 || refreshes > 2 ||
		!bytes.Equal(first[gossipHeaderSize:], last[gossipHeaderSize:]) {
		t.Fatalf("first message %v, then %d refreshes in 20 timers, the last %v; "+
			"want 1 or 2 with equal entries", first, refreshes, last)
	}
}

// A sidecar that uses more endpoints than others, because it is busy or some endpoints are ejected, receives
// gossip about all of them once its own messages state the size of its subset.
func TestBusySidecarsReceiveWiderGossip(t *testing.T) {
	const busyPeer = 9
	cfg := gossipConfig(0)
	cfg.PeerCount = 300
	h := newHarness(t, cfg, newEndpoints(200)...)
	ring, start := h.b.subsets.ringPosition(busyPeer, len(h.b.endpoints))
	far := ring[(start+h.b.minGossipScope()+3)%len(ring)]
	far.inFlight = 1
	before := h.sendsGossipTo(busyPeer)

	cfg.PeerIndex = busyPeer
	peer := newHarness(t, cfg, newEndpoints(200)...)
	for range 3 {
		for _, e := range peer.b.subset() {
			e.outlier.ejectedUntil = peer.now + 1000
		}
	}
	peer.b.endpoints[0].inFlight = 1
	h.handle(GossipMessage{Sender: busyPeer, Data: peer.sentGossip()})
	far.inFlight = 2
	if after := h.sendsGossipTo(busyPeer); before || !after {
		t.Fatalf("gossip about a far endpoint: sent %v before the peer used it, want false; "+
			"then %v, want true", before, after)
	}
}

// An invalid or duplicate message is dropped as a whole and changes nothing.
func TestInvalidGossipIsDropped(t *testing.T) {
	peer := newHarness(t, gossipConfig(1), newEndpoints(4)...)
	for _, e := range peer.b.endpoints {
		e.inFlight = 9
	}
	valid := peer.sentGossip()
	tooLong := append(valid[:len(valid):len(valid)], bytes.Repeat(valid[gossipHeaderSize:], 40)...)
	nextVersion := append([]byte{gossipVersion + 1}, valid[1:]...)
	previousVersion := append([]byte{gossipVersion - 1}, valid[1:]...)
	wrongClock := append([]byte{gossipVersion, 0xff, 0xff, 0, 0}, valid[5:]...)
	for name, message := range map[string]GossipMessage{
		"negative sender":         {Sender: -1, Data: valid},
		"sender beyond the peers": {Sender: 40, Data: valid},
		"empty":                   {Sender: 1},
		"truncated":               {Sender: 1, Data: valid[:len(valid)-1]},
		"version only":            {Sender: 1, Data: valid[:1]},
		"too long":                {Sender: 1, Data: tooLong},
		"next version":            {Sender: 1, Data: nextVersion},
		"previous version":        {Sender: 1, Data: previousVersion},
		"wrong clock":             {Sender: 1, Data: wrongClock},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, gossipConfig(0), newEndpoints(4)...)
			actions := h.handle(message)
			if len(actions) != 0 || h.b.Stats().GossipDropped != 1 || h.b.gossip.isFresh(h.b.now) {
				t.Errorf("%d messages dropped, want 1; actions %v, want none; fresh gossip %v, want false",
					h.b.Stats().GossipDropped, actions, h.b.gossip.isFresh(h.b.now))
			}
			for _, e := range h.b.endpoints {
				if e.gossip.inFlightFromPeers != 0 {
					t.Errorf("endpoint %d has %v requests of peers in flight, want 0",
						e.ID, e.gossip.inFlightFromPeers)
				}
			}
		})
	}
	h := newHarness(t, gossipConfig(0), newEndpoints(2)...) // knows only two of the sender's four endpoints
	h.handle(GossipMessage{Sender: 1, Data: valid})
	h.handle(GossipMessage{Sender: 1, Data: valid})
	h.handle(GossipMessage{Sender: 0, Data: valid}) // the receiver's own peer index
	stats := h.b.Stats()
	inFlight := h.b.endpoints[0].gossip.inFlightFromPeers
	if stats.GossipReceived != 1 || stats.GossipDropped != 1 || inFlight != 9 || len(h.b.endpoints) != 2 {
		t.Errorf("after a duplicate message: %+v, want 1 received and 1 dropped; "+
			"%v requests of peers in flight, want 9; %d endpoints, want 2",
			stats, inFlight, len(h.b.endpoints))
	}
}

// Each message costs its receiver something, so nothing is sent if gossip is disabled, if there are too few
// sidecars, or if nothing has changed.
func TestOnlyChangesAreGossiped(t *testing.T) {
	for name, modify := range map[string]func(*Config){
		"gossip disabled": func(cfg *Config) { cfg.Gossip = false },
		"too few peers":   func(cfg *Config) { cfg.PeerCount = minGossipPeers - 1 },
	} {
		cfg := gossipConfig(0)
		modify(&cfg)
		if h := newHarness(t, cfg, newEndpoints(4)...); len(h.actions) != 0 {
			t.Errorf("%s: actions %+v at the start, want none", name, h.actions)
		}
	}
	h := newHarness(t, gossipConfig(0), newEndpoints(4)...)
	if len(h.actions) != 1 || h.actions[0].Token != gossipTimer {
		t.Fatalf("actions %+v at the start, want the gossip timer", h.actions)
	}
	idle := h.sentGossip()
	id, _ := h.request(idempotentClass)
	inFlight := h.sentGossip()
	h.finishAttempt(id, 0, OK, 10)
	ended, idleAgain := h.sentGossip(), h.sentGossip()
	if idle != nil || len(inFlight) != gossipHeaderSize+gossipEntrySize ||
		len(ended) != gossipHeaderSize || idleAgain != nil {
		t.Fatalf("sent %v when idle, want nothing; %v with a request in flight, want one entry; "+
			"%v after its end, want the header; then %v, want nothing", idle, inFlight, ended, idleAgain)
	}
}
