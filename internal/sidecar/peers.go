package sidecar

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"pebblelift/balance"
)

const (
	maxDatagramSize = 256                   // bytes, by the protocol
	sendTimeout     = 10 * time.Millisecond // a datagram may be lost, the loop must not wait for it
	unknownPeer     = -1
	readRetryDelay  = 100 * time.Millisecond // pause after a read that failed: the socket is not lost by it
)

// peers is the socket on which sidecars tell each other what they know.
type gossipTransport struct {
	conn           *net.UDPConn
	broadcast      netip.AddrPort
	addresses      []netip.AddrPort
	indexByAddress map[netip.AddrPort]int
}

// OpenPeers opens the socket for messages between sidecars, if the settings allow any and there are others.
func (l *Loop) OpenGossip() error {
	c := l.config
	if !c.Profile.Balancer.Gossip || !c.PeerListen.IsValid() {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	l.gossip = &gossipTransport{conn: conn, broadcast: c.PeerBroadcast, addresses: c.Peers, indexByAddress: map[netip.AddrPort]int{}}
	for i, addr := range c.Peers {
		l.gossip.indexByAddress[addr] = i
	}
	return nil
}

func (p *gossipTransport) close() { p.conn.Close() }

// post sends a datagram to one sidecar or to all. Like one that gets lost, one that cannot be sent is no fault.
func (p *gossipTransport) send(to int, data []byte) {
	if p == nil {
		return
	}
	addr := p.broadcast
	if to >= 0 && to < len(p.addresses) {
		addr = p.addresses[to]
	} else if to >= 0 {
		return
	}
	if !addr.IsValid() || len(data) > maxDatagramSize {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	p.conn.WriteToUDPAddrPort(data, addr)
}

// hear hands the module each datagram that comes, with its sender's number, until the socket is closed.
func (l *Loop) receiveGossip() {
	buf := make([]byte, maxDatagramSize+1) // one byte more shows what is too long
	for {
		n, from, err := l.gossip.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		number, known := l.gossip.indexByAddress[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			number = unknownPeer
		}
		data := append([]byte(nil), buf[:n]...)
		l.enqueue(func() { l.dispatch(balance.GossipMessage{Sender: number, Data: data}) })
	}
}
