package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"

	"pebblelift/balance"
)

// peerConfig is that of sidecar n among many whose addresses are given; the first is reached by what is told to all.
func gossipConfig(t *testing.T, n int, allowed bool, peers ...string) *Config {
	t.Helper()
	limits := fmt.Sprintf(`"limits": {"may_tell": %v, `, allowed)
	settings := strings.Replace(testSettings, `"limits": {`, fmt.Sprintf(`"my_number": %d, "peers_total": 40, `, n)+limits, 1)
	cfg, err := ParseConfig([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","known":%s,
		"peer_listen":%q,"peers":["%s"],"peers_all":%q,"settings":%s}`,
		cachedCatalogJSON("127.0.0.1:1"), peers[n], strings.Join(peers, `","`), peers[0], settings)))
	if err != nil {
		t.Fatal(err)
	}
	return &cfg
}

// freeUDP is an address that nothing is bound to.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// runPeer runs a sidecar's loop with its socket for messages.
func runGossipLoop(t *testing.T, cfg *Config) *Loop {
	t.Helper()
	l := NewLoop(NewClock(), cfg, slog.New(slog.DiscardHandler))
	if err := l.OpenGossip(); err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { end(); <-l.ended })
	return l
}

func (l *Loop) stats() balance.Stats {
	c := make(chan balance.Stats, 1)
	l.enqueue(func() { c <- l.balancer.Stats() })
	return <-c
}

// A message reaches the module of the other sidecar as its sender's; one of an unknown sender, or too long, is
// counted as dropped.
func TestGossipReachesPeers(t *testing.T) {
	addrs := []string{freeUDPAddress(t), freeUDPAddress(t)}
	first, second := runGossipLoop(t, gossipConfig(t, 0, true, addrs...)), runGossipLoop(t, gossipConfig(t, 1, true, addrs...))
	message := func() []byte {
		var data []byte
		done := make(chan struct{})
		second.enqueue(func() {
			data = []byte{3, 0, 0, 0, 0, 0, 0, 0, 0}
			now := uint32(uint64(second.clock.Now()))
			data[1], data[2], data[3], data[4] = byte(now>>24), byte(now>>16), byte(now>>8), byte(now)
			second.execute([]balance.Action{{Kind: balance.SendGossip, Peer: -1, Data: data}})
			close(done)
		})
		receive(t, done)
		return data
	}
	data := message()
	eventually(t, "a message is taken in", func() bool { return first.stats().GossipReceived == 1 })
	stranger, err := net.Dial("udp", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write(data)
	eventually(t, "an unknown sender is dropped", func() bool { return first.stats().GossipDropped == 1 })
	second.enqueue(func() { second.gossip.conn.WriteToUDPAddrPort(make([]byte, 400), second.gossip.broadcast) })
	eventually(t, "a long message is dropped", func() bool { return first.stats().GossipDropped == 2 })
	if s := first.stats(); s.GossipReceived != 1 {
		t.Fatalf("%d messages taken in", s.GossipReceived)
	}
}

// Settings that allow no messages open no socket for them, and what the module says to others goes nowhere.
func TestNoSocketWithoutGossip(t *testing.T) {
	addr := freeUDPAddress(t)
	l := runGossipLoop(t, gossipConfig(t, 0, false, addr))
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		t.Fatalf("the address is taken: %v", err)
	}
	c.Close()
	done := make(chan struct{})
	l.enqueue(func() {
		l.execute([]balance.Action{{Kind: balance.SendGossip, Peer: -1, Data: []byte{1}}})
		close(done)
	})
	receive(t, done)
}

// The socket of a loop that has ended is closed.
func TestGossipEndsWithLoop(t *testing.T) {
	addr := freeUDPAddress(t)
	l := NewLoop(NewClock(), gossipConfig(t, 0, true, addr), slog.New(slog.DiscardHandler))
	if err := l.OpenGossip(); err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	go l.Run(ctx)
	end()
	receive(t, l.ended)
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}

// There is no name service: a peer address that is none ends the start with one plain line.
func TestInvalidPeerAddresses(t *testing.T) {
	for _, field := range []string{`"peer_listen":"x"`, `"peers":["127.0.0.1:1","host:1"]`, `"peers_all":"127.0.0.1"`} {
		raw := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",` + field + `,"settings":` + testSettings + `}`
		if _, err := ParseConfig([]byte(raw)); err == nil || strings.Contains(fmt.Sprint(err), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
