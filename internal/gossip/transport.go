// Package gossip sends and receives the messages between sidecars as UDP datagrams.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/budget"
	"pebblelift/internal/config"
	"pebblelift/internal/transient"
)

const (
	// UnknownSender is the sender index that Receive passes for a message from an address that belongs to no peer.
	UnknownSender = -1

	// maxDatagramSize is the largest gossip message that the protocol permits, in bytes.
	maxDatagramSize = 256

	// sendTimeout is the longest time that sending a gossip message may take. A datagram may be lost, but the event
	// loop must not wait for it.
	sendTimeout = 10 * time.Millisecond

	// strangerInterval and strangerBurst limit the messages from unknown senders: so many at once, then one in each
	// interval. Beyond that, Receive drops them and rests for strangerPause after each.
	strangerInterval = 5 * time.Millisecond
	strangerBurst    = 50
	strangerPause    = time.Millisecond
)

// Transport is a UDP socket for messages to and from the other sidecars.
type Transport struct {
	conn        *net.UDPConn
	broadcast   netip.AddrPort         // address that reaches all peers
	peers       []netip.AddrPort       // by peer index
	indexByAddr map[netip.AddrPort]int // peer index by address
	strangers   budget.TokenBucket     // limits the messages from unknown senders
}

// Open opens the socket at the configured listen address. The error says why the socket could not be opened.
func Open(c config.Gossip) (*Transport, error) {
	var conn *net.UDPConn
	err := transient.Listen(func() (err error) {
		conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &Transport{
		conn: conn, broadcast: c.Broadcast, peers: c.Peers, indexByAddr: map[netip.AddrPort]int{},
		strangers: budget.TokenBucket{Interval: strangerInterval, Burst: strangerBurst},
	}
	for i, addr := range c.Peers {
		t.indexByAddr[addr] = i
	}
	return t, nil
}

// Close closes the socket and thereby ends Receive.
func (t *Transport) Close() error { return t.conn.Close() }

// Send sends a message to one peer, given by its index, or to balance.AllPeers. A message that cannot be sent or is too
// large is dropped without an error, because any message may get lost.
func (t *Transport) Send(peer int, data []byte) {
	addr := t.address(peer)
	if !addr.IsValid() || len(data) > maxDatagramSize {
		return
	}
	t.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	t.conn.WriteToUDPAddrPort(data, addr)
}

// address returns the address of a peer or of balance.AllPeers. For an unknown peer it returns the zero AddrPort.
func (t *Transport) address(peer int) netip.AddrPort {
	switch {
	case peer == balance.AllPeers:
		return t.broadcast
	case peer >= 0 && peer < len(t.peers):
		return t.peers[peer]
	default:
		return netip.AddrPort{}
	}
}

// Receive calls handle with each message and its sender's peer index, or UnknownSender, until the socket is closed.
// It continues after a failed read, because the socket remains usable. Most messages of unknown senders are dropped
// while there are many of them.
func (t *Transport) Receive(handle func(sender int, data []byte)) {
	buf := make([]byte, maxDatagramSize+1) // the extra byte reveals datagrams that are too large
	for backoff := (transient.Backoff{}); ; {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			backoff.Wait(context.Background())
			continue
		}
		backoff.Reset()
		sender := t.sender(from)
		if sender == UnknownSender && t.strangers.TakeWithin(time.Now(), strangerPause) > 0 {
			time.Sleep(strangerPause)
			continue
		}
		handle(sender, append([]byte(nil), buf[:n]...))
	}
}

// sender returns the peer index of the sidecar at an address, or UnknownSender.
func (t *Transport) sender(from netip.AddrPort) int {
	index, known := t.indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return UnknownSender
	}
	return index
}
