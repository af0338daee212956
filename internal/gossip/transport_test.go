package gossip

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"pebblelift/internal/config"
	"pebblelift/internal/nettest"
)

// newSocket opens a UDP socket on loopback.
func newSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket
}

// address returns the address of a socket.
func address(socket *net.UDPConn) netip.AddrPort { return socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Guards against a stranger whose datagrams, sent without pause, take the event loop's time and keep out the messages of
// peers.
func TestStrangersAreLimited(t *testing.T) {
	peer, stranger := newSocket(t), newSocket(t)
	transport, err := Open(config.Gossip{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Peers: []netip.AddrPort{address(peer)},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	to := address(transport.conn)
	var fromPeer, fromStrangers atomic.Int64
	started := time.Now()
	go transport.Receive(func(sender int, _ []byte) {
		if sender == UnknownSender {
			fromStrangers.Add(1)
		} else {
			fromPeer.Add(1)
		}
	})
	flood := make(chan struct{})
	go func() {
		defer close(flood)
		for time.Since(started) < 300*time.Millisecond {
			stranger.WriteToUDPAddrPort([]byte("x"), to)
		}
	}()
	nettest.Eventually(t, "a message of the peer arrives", func() bool {
		peer.WriteToUDPAddrPort([]byte("y"), to)
		return fromPeer.Load() > 0
	})
	<-flood
	most := int64(strangerBurst + time.Since(started)/strangerInterval + 1)
	if n := fromStrangers.Load(); n == 0 || n > most {
		t.Errorf("%d messages of strangers were handled, want 1 to %d", n, most)
	}
	transport.Send(0, []byte("z"))
	peer.SetReadDeadline(time.Now().Add(nettest.Timeout))
	if n, _, err := peer.ReadFromUDPAddrPort(make([]byte, 10)); err != nil || n != 1 {
		t.Errorf("the peer received %d bytes and error %v, want 1 byte", n, err)
	}
}
