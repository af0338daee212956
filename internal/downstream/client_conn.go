package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxHeadSize is the largest size in bytes of the head of a request: its request line and header fields.
const maxHeadSize = 32 << 10

// clientConn is a connection of a client. It follows where the client's messages begin and end, because net/http hides
// what is needed to detect request smuggling: if a request has both Transfer-Encoding and Content-Length, net/http
// follows the former and removes the latter.
//
// A clientConn also reads ahead while a handler runs (see read_ahead.go), and ends its connection when it is idle
// and the listener drains.
type clientConn struct {
	net.Conn
	drainMode *atomic.Int32 // the drain mode of the listener

	readAheadBudget *atomic.Int64 // the read-ahead budget of the listener, in bytes
	readAheadUsed   atomic.Int64  // bytes of the budget that this connection uses
	// readAhead holds what was received but not yet returned by Read. It needs no lock, as the server calls Read from
	// one goroutine at a time.
	readAhead []byte

	// mu guards the following fields, because net/http reads in the background while a handler runs.
	mu             sync.Mutex
	framer         messageFramer
	handling       bool      // a handler runs or is about to run
	idle           bool      // no byte of the next request was read
	reused         bool      // a request ended on this connection before
	serverDeadline time.Time // the read deadline that net/http has set
}

// pastDeadline is a read deadline in the past, which ends the read of an idle connection. Unlike a close, the deadline
// does not discard bytes that have already arrived.
var pastDeadline = time.Unix(1, 0)

// drain ends the connection if it is idle and the listener's drain mode applies to it.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldDrain() {
		c.Conn.SetReadDeadline(pastDeadline)
	}
}

// shouldDrain reports whether the connection is idle and the listener's drain mode applies to it. The caller holds mu.
func (c *clientConn) shouldDrain() bool {
	mode := drainMode(c.drainMode.Load())
	return c.idle && (mode == drainAll || mode == drainReused && c.reused)
}

// SetReadDeadline sets the read deadline, except that a connection that drains keeps pastDeadline. Otherwise
// pastDeadline would be replaced by the deadline that net/http sets each time it begins to wait for a request.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	if c.shouldDrain() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection and follows the client's messages.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.readOrReadAhead(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.leaveIdle()
	}
	c.framer.follow(p[:n])
	return n, err
}

// leaveIdle records that a request begins. If the listener began to drain just before, the deadline that net/http has
// set is restored. The caller holds mu.
func (c *clientConn) leaveIdle() {
	if c.shouldDrain() {
		c.Conn.SetReadDeadline(c.serverDeadline)
	}
	c.idle = false
}

// handlerActive reports whether a handler runs or is about to run. It must be called only during a read of a single
// byte, which net/http does while a handler runs, or at the end of its buffer within a head.
func (c *clientConn) handlerActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handling || c.framer.hasHead()
}

// beginHandling records that a handler runs or is about to run for the current request.
func (c *clientConn) beginHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveIdle()
	c.handling = true
}

// acceptsLength reports whether the client and the sidecar agree about where a request ends, whatever the request's
// position on the connection. It must be called once for each request.
func (c *clientConn) acceptsLength(req *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, ok := c.framer.takeHead()
	return ok && !head.ambiguous && head.belongsTo(req)
}

// finishRequest prepares for the next request. It marks the connection as idle unless a part of the next request was
// already read.
func (c *clientConn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
	c.idle = len(c.readAhead) == 0 && c.framer.betweenMessages()
	c.reused = true
}

// clientConnKey is the context key of a clientConn.
type clientConnKey struct{}

// withClientConn adds a clientConn to the context of the requests on it (http.Server.ConnContext).
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*trackedConn); ok {
		return context.WithValue(ctx, clientConnKey{}, &t.clientConn)
	}
	return ctx
}

// clientConnOf returns the clientConn of the connection of a request, or nil if the connection has none.
func clientConnOf(req *http.Request) *clientConn {
	conn, _ := req.Context().Value(clientConnKey{}).(*clientConn)
	return conn
}

// beginRequest tells the clientConn of a request that a handler runs, and reports whether the length of the request is
// unambiguous. If not, the request must be rejected and its connection closed.
func beginRequest(req *http.Request) (lengthAccepted bool) {
	conn := clientConnOf(req)
	if conn == nil {
		return true
	}
	conn.beginHandling()
	return conn.acceptsLength(req)
}

// finishRequestWhenIdle tells a clientConn that its request has ended (http.Server.ConnState).
func finishRequestWhenIdle(c net.Conn, state http.ConnState) {
	if t, ok := c.(*trackedConn); ok && state == http.StateIdle {
		t.finishRequest()
	}
}
