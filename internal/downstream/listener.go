package downstream

import (
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/internal/config"
	"pebblelift/internal/sidecar"
)

const (
	rejectionTimeout  = 500 * time.Millisecond
	rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// drainMode says which connections without a request are to end.
type drainMode int32

const (
	drainNone   drainMode = iota
	drainReused           // those that have had a request: clients come again on new ones
	drainAll
)

// limitedListener bounds the open connections of a listener, as descriptors are needed elsewhere. Connections beyond the
// bound are answered with 503 and closed.
type limitedListener struct {
	net.Listener
	slots           chan struct{} // one for each open connection
	rejections      chan struct{} // one for each connection that is being rejected
	accepted        atomic.Int64  // since the start
	rejected        atomic.Int64  // since the start
	drainMode       atomic.Int32
	readAheadBudget atomic.Int64  // bytes that may yet be read ahead, on all connections
	drained         chan struct{} // closed when all connections have ended, after drainAll

	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

func newLimitedListener(ln net.Listener, maxConnections int, readAheadBytes int64) *limitedListener {
	l := &limitedListener{
		Listener:   ln,
		slots:      make(chan struct{}, maxConnections),
		rejections: make(chan struct{}, config.MaxConcurrentRejections),
		drained:    make(chan struct{}),
		open:       map[*trackedConn]struct{}{},
	}
	l.readAheadBudget.Store(readAheadBytes)
	return l
}

func (l *limitedListener) stats() sidecar.ConnectionStats {
	return sidecar.ConnectionStats{Open: len(l.slots), Accepted: l.accepted.Load(), Rejected: l.rejected.Load()}
}

// Accept returns the next connection that has a place.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
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

func (l *limitedListener) track(c net.Conn) *trackedConn {
	t := &trackedConn{listener: l}
	t.headRecorder = headRecorder{
		Conn: c, idle: true, drainMode: &l.drainMode, readAheadBudget: &l.readAheadBudget,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[t] = struct{}{}
	return t
}

// reject rejects a connection in the background. If too many are being rejected already, it does not wait for the
// client to read the response, which may then be lost to a reset.
func (l *limitedListener) reject(c net.Conn) {
	select {
	case l.rejections <- struct{}{}:
		go func() {
			rejectConnection(c, rejectionTimeout)
			<-l.rejections
		}()
	default:
		rejectConnection(c, 0)
	}
}

// rejectConnection answers 503 and keeps reading for a while: closing with unread bytes would reset the connection
// before the client has the response.
func rejectConnection(c net.Conn, reading time.Duration) {
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(rejectionTimeout)) // never reached: the first bytes on a connection are buffered
	c.SetReadDeadline(time.Now().Add(reading))
	io.WriteString(c, rejectionResponse)
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	io.Copy(io.Discard, c)
}

// drain ends the idle connections that the mode covers. Before drainAll, the listener must be closed.
func (l *limitedListener) drain(mode drainMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainMode.Store(int32(mode))
	for t := range l.open {
		t.drain()
	}
	l.closeIfDrained()
}

// release gives a connection's place back.
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

// closeIfDrained closes drained once. The caller holds mu.
func (l *limitedListener) closeIfDrained() {
	if drainMode(l.drainMode.Load()) == drainAll && len(l.open) == 0 {
		close(l.drained)
	}
}

// trackedConn is a connection that holds a place.
type trackedConn struct {
	headRecorder
	listener *limitedListener
}

// Close closes the connection and gives back its place and its part of the read-ahead budget.
func (t *trackedConn) Close() error {
	defer t.listener.release(t)
	defer t.releaseReadAhead(math.MaxInt64)
	return t.Conn.Close()
}
