package sidecar

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/nettest"
)

// gossipConfig returns the configuration of the sidecar with the given peer index. The address of the first peer
// doubles as the broadcast address.
func gossipConfig(t *testing.T, peerIndex int, enabled bool, peers ...string) *config.Config {
	t.Helper()
	peerFields := fmt.Sprintf(`"my_number": %d, "peers_total": 40, `, peerIndex)
	limits := fmt.Sprintf(`"limits": {"may_tell": %v, `, enabled)
	settings := strings.Replace(nettest.Settings, `"limits": {`, peerFields+limits, 1)
	raw := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","known":%s,
		"peer_listen":%q,"peers":["%s"],"peers_all":%q,"settings":%s}`,
		nettest.CachedCatalogJSON("127.0.0.1:1"), peers[peerIndex], strings.Join(peers, `","`), peers[0], settings)
	cfg, err := config.Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return &cfg
}

// listenUDP opens a socket on loopback until the end of the test.
func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// freeUDPAddress returns an address that no socket is bound to.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c := listenUDP(t)
	c.Close()
	return c.LocalAddr().String()
}

// runGossipLoop runs an event loop with its gossip socket until the end of the test.
func runGossipLoop(t *testing.T, cfg *config.Config) *Loop {
	t.Helper()
	l := NewLoop(clock.New(), cfg, slog.New(slog.DiscardHandler))
	if err := l.OpenGossip(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-l.ended
	})
	return l
}

// balancerStats returns the balancer's counts, read on the event loop.
func balancerStats(l *Loop) balance.Stats {
	stats := make(chan balance.Stats, 1)
	l.enqueue(func(*dispatcher) { stats <- l.dispatcher.balancer.Stats() })
	return <-stats
}

// A gossip message reaches the balancer of a peer, which accepts it as its sender's. A message of an unknown sender and
// one that is too long are counted as dropped.
func TestGossipReachesPeers(t *testing.T) {
	thirdSocket := listenUDP(t)
	addrs := []string{freeUDPAddress(t), freeUDPAddress(t), thirdSocket.LocalAddr().String()}
	first := runGossipLoop(t, gossipConfig(t, 0, true, addrs...))
	second := runGossipLoop(t, gossipConfig(t, 1, true, addrs...))
	message := make([]byte, 9)
	sent := make(chan struct{})
	second.enqueue(func(*dispatcher) {
		message[0] = 3
		binary.BigEndian.PutUint32(message[1:], uint32(uint64(second.clock.Now())))
		second.dispatcher.execute([]balance.Action{{Kind: balance.SendGossip, Peer: balance.AllPeers, Data: message}})
		close(sent)
	})
	nettest.Receive(t, sent)
	nettest.Eventually(t, "the message is received", func() bool { return balancerStats(first).GossipReceived == 1 })
	unknownSender, err := net.Dial("udp", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	defer unknownSender.Close()
	unknownSender.Write(message)
	nettest.Eventually(t, "the message of an unknown sender is dropped", func() bool {
		return balancerStats(first).GossipDropped == 1
	})
	firstAddr, err := net.ResolveUDPAddr("udp", addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	thirdSocket.WriteTo(make([]byte, 400), firstAddr) // the sender is known, but the message is too long
	nettest.Eventually(t, "the long message is dropped", func() bool {
		return balancerStats(first).GossipDropped == 2
	})
	if n := balancerStats(first).GossipReceived; n != 1 {
		t.Fatalf("%d messages received, want 1", n)
	}
}

// If the settings do not allow gossip, no socket is opened for it, and messages of the balancer are not sent.
func TestNoSocketWithoutGossip(t *testing.T) {
	addr := freeUDPAddress(t)
	l := runGossipLoop(t, gossipConfig(t, 0, false, addr))
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		t.Fatalf("the gossip address is in use: %v", err)
	}
	c.Close()
	sent := make(chan struct{})
	l.enqueue(func(*dispatcher) {
		l.dispatcher.execute([]balance.Action{{Kind: balance.SendGossip, Peer: balance.AllPeers, Data: []byte{1}}})
		close(sent)
	})
	nettest.Receive(t, sent)
}

// The gossip socket is closed when the loop ends.
func TestGossipEndsWithLoop(t *testing.T) {
	addr := freeUDPAddress(t)
	l := NewLoop(clock.New(), gossipConfig(t, 0, true, addr), slog.New(slog.DiscardHandler))
	if err := l.OpenGossip(); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	stop()
	nettest.Receive(t, l.ended)
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}
