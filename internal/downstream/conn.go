package downstream

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/sidecar"
	"pebblelift/internal/sockopt"
	"pebblelift/internal/upstream"
)

const (
	// maxReadAhead is how many bytes of further requests are read on one connection while a request is being
	// answered. Clients send one request at a time, and the largest request is smaller than this. A client that sends
	// more counts as disconnected, because its disconnect could not be noticed behind unread data.
	maxReadAhead = 2 * upstream.MaxBodySize
	// pacedReadAhead is from how many bytes of read-ahead on the reader rests for readAheadInterval before each read.
	pacedReadAhead    = 2 << 10
	readAheadInterval = 10 * time.Millisecond
	// readAheadBufferSize is the size in bytes of the buffer for reads between messages and while a message is
	// processed. It holds a usual head.
	readAheadBufferSize = 1 << 10
	// connectionCost is the memory in bytes that a connection takes besides what its client sends: its goroutine, its
	// descriptor in the runtime, its read-ahead buffer and its state.
	connectionCost = 6 << 10
)

// pastDeadline is a read deadline in the past, which ends a read that waits.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a client. One goroutine, the reader, reads from it until it ends, also while a request is
// being answered, so that a disconnect is noticed at once. Messages are processed one after the other: by the reader,
// or by the goroutine that answers a request, until none is left.
type conn struct {
	net.Conn
	server   *Server
	addr     netip.Addr // of the client
	acceptAt time.Time
	ctx      context.Context // ends when the client disconnects
	cancel   context.CancelFunc

	refusals     budget.TokenBucket // limits requests that no endpoint answers
	healthChecks budget.TokenBucket // limits health checks
	// refusalsInARow counts the requests since the last one that an endpoint answered. The goroutine that answers uses it.
	refusalsInARow int

	// unfinishedSince is when the client began the message that has not arrived whole, in Unix nanoseconds, or 0.
	unfinishedSince atomic.Int64
	// proven is set once a request of the client was served on this connection.
	proven atomic.Bool
	// readingSince is when the reader began to wait for the client, in Unix nanoseconds, or 0.
	readingSince atomic.Int64
	// reserved is how many bytes of the budget the parser's buffer uses. It changes only with mu held.
	reserved atomic.Int64

	readAhead [readAheadBufferSize]byte // used by the reader only

	mu         sync.Mutex
	continued  sync.Cond // signals that the state below has changed; its lock is mu
	parser     parser
	part       budget.Part // the part of the budget that reserved belongs to
	pending    *work       // the message whose body is arriving; nil while a head arrives
	arrivals   arrivals    // when the bytes in the parser have arrived
	memoryWait memoryWait  // of the message that arrives
	processing bool        // a goroutine processes messages
	inFlight   bool        // the event loop serves a request
	gone       bool        // the client has disconnected, or the connection is closed
	ending     bool        // a goroutine ends the connection: nothing that arrives counts any more
	reused     bool        // a message was answered on this connection
	rejection  error       // why the message that has not arrived whole is to be rejected; nil if it is not
	headAt     time.Time   // when the first byte of the present message arrived
	bodyAt     time.Time   // when the head of the present message was complete
	idleAt     time.Time   // when the last message was answered
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, addr: clientAddr(nc), acceptAt: time.Now(), part: budget.Unfinished}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.continued.L = &c.mu
	c.refusals = budget.TokenBucket{Interval: refusalInterval, Burst: refusalBurst}
	c.healthChecks = budget.TokenBucket{Interval: healthInterval, Burst: healthBurst}
	return c
}

// serve reads from the connection until it ends.
func (c *conn) serve() {
	for {
		c.paceReadAhead()
		space, ok := c.prepareRead()
		if !ok {
			return
		}
		waitStarted := time.Now()
		c.readingSince.Store(waitStarted.UnixNano())
		n, err := c.Read(space)
		c.readingSince.Store(0)
		started := time.Now()
		c.afterRead(space[:n], err, started.Sub(waitStarted))
		c.addUse(func(use *sidecar.ClientUse) {
			use.ReceivedBytes += int64(n)
			use.Work += min(time.Since(started), maxCountedWork)
		})
	}
}

// addUse lets f add to what the client has made the server do.
func (c *conn) addUse(f func(*sidecar.ClientUse)) { c.server.uses.add(c.addr, f) }

// paceReadAhead lets the reader rest while a client sends far ahead of its responses, so that what it sends fills the
// system's buffers and then waits at the client. Behind unread bytes, a disconnect shows only in the state of the
// connection.
func (c *conn) paceReadAhead() {
	if !c.isFarAhead() || c.server.draining() { // such a client has to end with the process
		return
	}
	c.server.stats.farAhead.Add(1)
	c.pause(readAheadInterval)
	if closed, known := sockopt.PeerHasClosed(c.Conn); closed && known {
		c.close()
	}
}

// isFarAhead reports whether the client has sent much ahead of a response.
func (c *conn) isFarAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight && len(c.parser.buffer) >= pacedReadAhead
}

// prepareRead waits until more may be read, and returns the space for it. It reports false once the connection ends.
func (c *conn) prepareRead() (space []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.processing && !c.inFlight && !c.gone && !c.ending {
		c.continued.Wait()
	}
	if c.rejection != nil && !c.processing {
		c.process()
	}
	if c.gone || c.ending {
		return nil, false
	}
	c.SetReadDeadline(c.readDeadline())
	if !c.processing && !c.parser.empty() && len(c.parser.space()) > 0 {
		return c.parser.space(), true // nobody else uses the parser until the reader has parsed what arrives
	}
	return c.readAhead[:], true
}

// afterRead takes note of what was read after the given wait, and processes the messages that are complete.
func (c *conn) afterRead(p []byte, err error, readWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 {
		c.receive(p, c.memoryWait.arrival(time.Now(), readWait))
	}
	now := time.Now()
	switch {
	case c.gone || c.ending:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.handleDeadline(now)
	case err != nil:
		c.disconnect()
	case !c.processing && c.rejection == nil:
		c.process()
	}
}

// receive passes what has arrived at the given time to the parser. The caller holds mu, which receive releases while it
// makes room.
func (c *conn) receive(p []byte, arrivedAt time.Time) {
	if c.parser.empty() {
		c.headAt = time.Now()
		if !c.reused {
			c.headAt = c.acceptAt
		}
		if !c.processing {
			c.unfinishedSince.Store(time.Now().UnixNano())
		}
	}
	if c.parser.hasRead(p) {
		c.parser.received(len(p))
	} else if !c.store(p) {
		return
	}
	if !c.processing {
		c.arrivals.marks = nil // what arrives now completes the present message, if anything does
	}
	c.arrivals.add(len(p), arrivedAt)
	if c.inFlight && len(c.parser.buffer) > maxReadAhead {
		c.disconnect()
	}
}

// reject arranges that the message that has not arrived whole is rejected, and releases what it holds. The caller holds
// mu.
func (c *conn) reject(reason error) {
	c.rejection = reason
	c.dropBuffer()
}

// handleDeadline handles the end of a read deadline. A deadline of an earlier state has no effect. The caller holds mu.
func (c *conn) handleDeadline(now time.Time) {
	deadline := c.deadline()
	switch {
	case c.processing || c.rejection != nil:
	case c.shouldDrain():
		c.disconnect()
	case deadline.IsZero() || now.Before(deadline):
	case c.parser.empty() && c.pending == nil:
		c.disconnect()
	default:
		c.reject(errTimeout)
	}
}

// deadline returns until when the reader waits for the client, or the zero time if there is no limit. The caller holds
// mu.
func (c *conn) deadline() time.Time {
	timeouts := &c.server.timeouts
	switch {
	case c.processing:
		return time.Time{}
	case c.pending != nil:
		latest := c.headAt.Add(timeouts.head + timeouts.body)
		if end := c.bodyAt.Add(timeouts.body); end.Before(latest) {
			return end
		}
		return latest
	case !c.parser.empty():
		return c.headAt.Add(timeouts.head)
	case c.reused:
		return c.idleAt.Add(timeouts.idle)
	default:
		return c.acceptAt.Add(timeouts.head)
	}
}

// readDeadline returns the read deadline for the present state. The caller holds mu.
func (c *conn) readDeadline() time.Time {
	if c.shouldDrain() || c.rejection != nil && !c.processing {
		return pastDeadline
	}
	return c.deadline()
}

// shouldDrain reports whether the connection is idle and the server's drain mode applies to it. The caller holds mu.
func (c *conn) shouldDrain() bool {
	mode := drainMode(c.server.drainMode.Load())
	idle := !c.processing && c.pending == nil && c.parser.empty()
	return idle && (mode >= drainAll || mode == drainReused && c.reused)
}

// drain ends the connection if it is idle and the server's drain mode applies to it. At the end of the shutdown it
// rejects a message that has not arrived whole.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone || c.ending || c.processing {
		return
	}
	isUnfinished := c.pending != nil || !c.parser.empty()
	if drainMode(c.server.drainMode.Load()) == drainUnfinished && isUnfinished && c.rejection == nil {
		c.reject(errShutdown)
	}
	c.SetReadDeadline(c.readDeadline())
}

// disconnect takes note that the client has gone: its request is canceled, nothing else of it is served, and the
// connection is closed. The caller holds mu.
func (c *conn) disconnect() {
	if c.gone {
		return
	}
	c.gone = true
	c.cancel()
	c.dropBuffer()
	c.continued.Broadcast()
	c.Conn.Close()
	c.server.release(c)
}

// close ends the connection.
func (c *conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnect()
}
