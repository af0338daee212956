package downstream

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/internal/config"
	"pebblelift/internal/sidecar"
	"pebblelift/internal/transient"
)

const (
	// rejectionTimeout limits the write of a rejectionResponse, and separately the wait for the client to close its
	// connection after the response.
	rejectionTimeout = 500 * time.Millisecond
	// rejectionResponse is the HTTP response on a connection that exceeds the connection limit.
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// drainMode says which idle connections of a listener are to be ended.
type drainMode int32

const (
	drainNone   drainMode = iota // ends no connection
	drainReused                  // ends idle connections that have served a request; their clients reconnect
	drainAll                     // ends all idle connections
)

// limitedListener limits the number of open connections of a listener, because connections to endpoints and to
// discovery need file descriptors too. Connections beyond the limit are answered with 503 and closed.
type limitedListener struct {
	net.Listener
	slots           chan struct{} // holds one value for each open connection
	rejectionSlots  chan struct{} // holds one value for each rejection in the background
	accepted        atomic.Int64  // connections accepted since the start, without the rejected ones
	rejected        atomic.Int64  // connections rejected since the start
	drainMode       atomic.Int32  // the current drainMode
	readAheadBudget atomic.Int64  // bytes that may still be read ahead on all connections together
	drained         chan struct{} // closed once drainMode is drainAll and all connections are closed
	closeDrained    func()        // closes drained, at the first call only

	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// newLimitedListener returns a listener that accepts connections of ln, of which at most maxConnections may be open
// at a time. Read-ahead on all connections together is limited to readAheadBytes.
func newLimitedListener(ln net.Listener, maxConnections int, readAheadBytes int64) *limitedListener {
	l := &limitedListener{
		Listener:       ln,
		slots:          make(chan struct{}, maxConnections),
		rejectionSlots: make(chan struct{}, config.MaxConcurrentRejections),
		drained:        make(chan struct{}),
		open:           map[*trackedConn]struct{}{},
	}
	l.closeDrained = sync.OnceFunc(func() { close(l.drained) })
	l.readAheadBudget.Store(readAheadBytes)
	return l
}

// stats returns the current counts of clients' connections.
func (l *limitedListener) stats() sidecar.ConnectionStats {
	return sidecar.ConnectionStats{Open: len(l.slots), Accepted: l.accepted.Load(), Rejected: l.rejected.Load()}
}

// Accept returns the next connection for which there is a slot. It rejects connections for which there is none.
func (l *limitedListener) Accept() (net.Conn, error) {
	for backoff := (transient.Backoff{}); ; {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil { // whatever else makes accept fail passes by itself
			backoff.Wait(context.Background())
			continue
		}
		backoff.Reset()
		select {
		case l.slots <- struct{}{}:
			l.accepted.Add(1)
			return l.track(c), nil
		default:
			l.rejected.Add(1)
			l.reject(c)
		}
	}
}

// track adds a connection to the open connections.
func (l *limitedListener) track(c net.Conn) *trackedConn {
	t := &trackedConn{listener: l}
	t.clientConn = clientConn{
		Conn: c, idle: true, drainMode: &l.drainMode, readAheadBudget: &l.readAheadBudget,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[t] = struct{}{}
	return t
}

// reject rejects a connection in the background. If too many connections are already being rejected, it does not wait
// for the client to read the response, which a reset may then discard.
func (l *limitedListener) reject(c net.Conn) {
	select {
	case l.rejectionSlots <- struct{}{}:
		go func() {
			rejectConnection(c, rejectionTimeout)
			<-l.rejectionSlots
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
	io.Copy(io.Discard, c)
}

// drain sets the drain mode and ends the idle connections to which it applies. The listener must be closed before
// drain is called with drainAll.
func (l *limitedListener) drain(mode drainMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainMode.Store(int32(mode))
	for t := range l.open {
		t.drain()
	}
	l.closeIfDrained()
}

// release removes a closed connection from the open connections and frees its slot. Further calls have no effect.
func (l *limitedListener) release(t *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.open[t]; !open {
		return
	}
	delete(l.open, t)
	<-l.slots
	l.closeIfDrained()
}

// closeIfDrained closes l.drained if the drain mode is drainAll and no connection is open. A connection that is
// accepted just before the listener closes may be tracked and released after that. The caller holds mu.
func (l *limitedListener) closeIfDrained() {
	if drainMode(l.drainMode.Load()) == drainAll && len(l.open) == 0 {
		l.closeDrained()
	}
}

// trackedConn is a connection that holds a slot of its listener.
type trackedConn struct {
	clientConn
	listener *limitedListener
}

// Close closes the connection and releases its slot and its part of the read-ahead budget.
func (t *trackedConn) Close() error {
	defer t.listener.release(t)
	defer t.releaseReadAhead(math.MaxInt64)
	return t.Conn.Close()
}
