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
	maxDatagram = 256                   // bytes, by the protocol
	postTimeout = 10 * time.Millisecond // a datagram may be lost, the loop must not wait for it
	unknownPeer = -1
	readPause   = 100 * time.Millisecond // pause after a read that failed: the socket is not lost by it
)

// peers is the socket on which sidecars tell each other what they know.
type peers struct {
	conn    *net.UDPConn
	all     netip.AddrPort
	addrs   []netip.AddrPort
	numbers map[netip.AddrPort]int
}

// OpenPeers opens the socket for messages between sidecars, if the settings allow any and there are others.
func (l *Loop) OpenPeers() error {
	c := l.profile
	if !c.Profile.Config.Messages || !c.PeerListen.IsValid() {
		return nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.PeerListen))
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	l.peers = &peers{conn: conn, all: c.PeersAll, addrs: c.Peers, numbers: map[netip.AddrPort]int{}}
	for i, addr := range c.Peers {
		l.peers.numbers[addr] = i
	}
	return nil
}

func (p *peers) close() { p.conn.Close() }

// post sends a datagram to one sidecar or to all. Like one that gets lost, one that cannot be sent is no fault.
func (p *peers) post(to int, data []byte) {
	if p == nil {
		return
	}
	addr := p.all
	if to >= 0 && to < len(p.addrs) {
		addr = p.addrs[to]
	} else if to >= 0 {
		return
	}
	if !addr.IsValid() || len(data) > maxDatagram {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(postTimeout))
	p.conn.WriteToUDPAddrPort(data, addr)
}

// hear hands the module each datagram that comes, with its sender's number, until the socket is closed.
func (l *Loop) hear() {
	buf := make([]byte, maxDatagram+1) // one byte more shows what is too long
	for {
		n, from, err := l.peers.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readPause)
			continue
		}
		number, known := l.peers.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			number = unknownPeer
		}
		data := append([]byte(nil), buf[:n]...)
		l.post(func() { l.tell(balance.Message{From: number, Data: data}) })
	}
}
