package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/sidecar"
	"pebblelift/internal/sockopt"
	"pebblelift/internal/transient"
)

const (
	// rejectionTimeout limits the write of a rejectionResponse, and separately the wait for the client to close its
	// connection after the response.
	rejectionTimeout = 500 * time.Millisecond
	// dropsPerTurn is after how many connections whose clients have left the accept loop gives way.
	dropsPerTurn = 64
	// rejectionResponse is the HTTP response on a connection that exceeds the connection limit.
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// acceptAll accepts connections until the listener is closed. Whatever else makes accept fail passes by itself, so it is
// waited out.
func (s *Server) acceptAll(ln net.Listener) {
	for backoff := (transient.Backoff{}); ; {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.stats.acceptErrors.Add(1)
			s.log.Warn("accept", "err", err)
			backoff.Wait(context.Background())
			continue
		}
		backoff.Reset()
		if s.dropIfLeft(c) {
			continue
		}
		s.admit(c)
		if s.accepts.TakeWithin(time.Now(), time.Nanosecond) > 0 {
			runtime.Gosched() // while connections flood in, those that are open get their turn
		}
	}
}

// dropIfLeft closes a connection whose client has left while it waited to be accepted, so that others do not wait behind the
// work for it. It reports whether it has.
func (s *Server) dropIfLeft(c net.Conn) bool {
	if left, known := sockopt.PeerHasClosed(c); !left || !known {
		return false
	}
	c.Close()
	if s.stats.left.Add(1)%dropsPerTurn == 0 {
		runtime.Gosched()
	}
	return true
}

// admit serves a connection, or rejects it if there is no slot or no memory for it.
func (s *Server) admit(nc net.Conn) {
	c := newConn(s, nc)
	if !s.reserveConnection(c) {
		s.stats.rejectedConnections.Add(1)
		c.cancel()
		rejectInBackground(nc, s.rejections)
		return
	}
	s.stats.accepted.Add(1)
	c.addUse(func(use *sidecar.ClientUse) { use.Connections++ })
	go c.serve()
}

// reserveConnection reserves a slot and the memory of a connection. Connections that wait with the response to a message
// that is not served are answered and give up their slots, and stalled messages their memory. It reports whether all is
// reserved.
func (s *Server) reserveConnection(c *conn) bool {
	for !s.memory.TryReserve(budget.Connections, connectionCost) {
		if !s.cutHeld() && !s.table.evictStalled() {
			return false
		}
	}
	for !s.table.add(c) {
		if !s.cutHeld() && !s.hastenHeld() {
			s.memory.Release(budget.Connections, connectionCost)
			return false
		}
	}
	return true
}

// rejectInBackground rejects a connection in the background. If too many connections are already being rejected, it
// does not wait for the client to read the response, which a reset may then discard.
func rejectInBackground(c net.Conn, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
		go func() {
			rejectConnection(c, rejectionTimeout)
			<-slots
		}()
	default:
		rejectConnection(c, 0)
	}
}

// rejectConnection responds with 503, then reads until the client closes the connection or the given time has passed.
// Closing a connection with unread bytes would reset it before the client has read the response.
func rejectConnection(c net.Conn, linger time.Duration) {
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(rejectionTimeout)) // never expires: the kernel buffers so few bytes
	c.SetReadDeadline(time.Now().Add(linger))
	io.WriteString(c, rejectionResponse)
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	io.CopyN(io.Discard, onlyReader{c}, maxLingerBytes)
}
