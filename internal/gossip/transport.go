// Package gossip carries the messages between sidecars in UDP datagrams.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/config"
)

const (
	// UnknownSender is the sender of a message from an address that belongs to no sidecar.
	UnknownSender   = -1
	maxDatagramSize = 256                   // bytes, by the protocol
	sendTimeout     = 10 * time.Millisecond // a datagram may be lost, but the event loop must not wait for it
	readRetryDelay  = 100 * time.Millisecond
)

// Transport is a socket for messages to and from the other sidecars.
type Transport struct {
	conn        *net.UDPConn
	broadcast   netip.AddrPort
	peers       []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
}

// Open opens the socket.
func Open(c config.Gossip) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	t := &Transport{conn: conn, broadcast: c.Broadcast, peers: c.Peers, indexByAddr: map[netip.AddrPort]int{}}
	for i, addr := range c.Peers {
		t.indexByAddr[addr] = i
	}
	return t, nil
}

// Close closes the socket, which ends Receive.
func (t *Transport) Close() error { return t.conn.Close() }

// Send sends a message to one peer or to balance.AllPeers. One that cannot be sent is dropped without an error, as
// any message may be lost.
func (t *Transport) Send(peer int, data []byte) {
	addr := t.address(peer)
	if !addr.IsValid() || len(data) > maxDatagramSize {
		return
	}
	t.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	t.conn.WriteToUDPAddrPort(data, addr)
}

// address returns an invalid address for a peer that is not known.
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

// Receive hands each message to handle, with its sender's peer index, until the socket is closed. It goes on
// after a failed read, as the socket is still usable.
func (t *Transport) Receive(handle func(sender int, data []byte)) {
	buf := make([]byte, maxDatagramSize+1) // one byte more shows what is too long
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryDelay)
			continue
		}
		handle(t.sender(from), append([]byte(nil), buf[:n]...))
	}
}

func (t *Transport) sender(from netip.AddrPort) int {
	index, known := t.indexByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	if !known {
		return UnknownSender
	}
	return index
}
