package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"pebblelift/balance"
)

const (
	// readBufferSize is the size in bytes of a connection's read buffer.
	readBufferSize = 4 << 10
	// earlyResponseWait is how long the goroutine that has read a response waits for the goroutine that writes the
	// request to report the end of the write, before the response counts as early. A response can be read a moment
	// before the finished write is reported.
	earlyResponseWait = 10 * time.Millisecond
)

// conn is a connection to an endpoint. Its reader goroutine (see Pool.readLoop) also notices when the endpoint closes
// the connection while it is idle.
type conn struct {
	net.Conn
	endpoint  *Endpoint
	addr      string // the address that was dialed; the endpoint's address may change later
	reader    *bufio.Reader
	limited   *limitedReader // the source of reader, which bounds the size of a response
	source    *connReader    // the source of limited
	idleSince time.Time      // the end of the last round trip; zero before the first one

	// The following fields are guarded by Pool.mu.
	roundTrip *roundTrip // the current round trip; nil if the connection is idle
	counted   bool       // whether Pool.open includes this connection
}

// newConn returns a connection that has been established for a round trip.
func newConn(nc net.Conn, e *Endpoint, addr string, rt *roundTrip) (*conn, error) {
	source, err := newConnReader(nc)
	if err != nil {
		return nil, err
	}
	limited := &limitedReader{source: source}
	return &conn{
		Conn: nc, endpoint: e, addr: addr,
		reader: bufio.NewReaderSize(limited, readBufferSize), limited: limited, source: source,
		roundTrip: rt, counted: true,
	}, nil
}

// roundTrip is one request and its response on a connection.
type roundTrip struct {
	ctx            context.Context // ends when nobody waits for the response any more
	method         string
	connectionIdle time.Duration // how long the connection had been idle before; 0 for a new connection
	writeStarted   atomic.Bool   // whether the first byte of the request may have been sent
	writeEnded     chan struct{} // closed when the write of the request has ended
	result         chan Response // receives the one result; buffered
}

func newRoundTrip(ctx context.Context, method string) *roundTrip {
	return &roundTrip{ctx: ctx, method: method, writeEnded: make(chan struct{}), result: make(chan Response, 1)}
}

// deliver passes the result on. If nobody waits for it any more, its memory is released.
func (rt *roundTrip) deliver(r Response) {
	rt.result <- r
	if rt.ctx.Err() != nil {
		rt.releaseUndelivered()
	}
}

// releaseUndelivered releases the memory of a result that nobody waits for.
func (rt *roundTrip) releaseUndelivered() {
	select {
	case r := <-rt.result:
		r.Release()
	default:
	}
}

// respondedEarly reports whether the response arrived although the request is not completely written. It waits up to
// earlyResponseWait for the write to end.
func (rt *roundTrip) respondedEarly() bool {
	select {
	case <-rt.writeEnded:
		return false
	case <-time.After(earlyResponseWait):
		return true
	}
}

// readLoop runs in a connection's reader goroutine and reads responses. It closes the connection when the endpoint
// closes it, when it has been idle for too long, when unexpected bytes arrive or when a response rules out its reuse.
func (p *Pool) readLoop(c *conn) {
	for {
		c.limited.remaining = maxResponseSize
		_, err := c.reader.Peek(1)
		rt, step := p.nextReadStep(c, err)
		switch step {
		case retryRead:
			continue
		case closeConnection:
			c.Close()
			if rt != nil {
				rt.deliver(failure(balance.Reset, connectionError(err)))
			}
			return
		}
		r, reusable := p.receiveResponse(c, rt)
		if reusable && c.reader.Buffered() == 0 {
			c.source.expectNothing()
			p.release(c, rt)
			rt.deliver(r)
			continue
		}
		p.mu.Lock()
		p.remove(c)
		p.mu.Unlock()
		c.Close()
		rt.deliver(r)
		return
	}
}

// connectionError returns an error that wraps ErrConnectionClosed and the read error. The read error is nil if
// unexpected bytes arrived.
func connectionError(err error) error {
	if err == nil {
		return ErrConnectionClosed
	}
	return fmt.Errorf("%w: %w", ErrConnectionClosed, err)
}

// readStep is what a reader goroutine does after its wait for the first byte of a response.
type readStep int

const (
	parseResponse   readStep = iota // read the response that has begun
	retryRead                       // wait again for the first byte
	closeConnection                 // close the connection and end the goroutine
)

// nextReadStep decides how the reader goroutine continues after the first byte or a read error has arrived on a
// connection. It returns the current round trip, which is nil if the connection is idle, and records for the keep-alive
// estimator whether a reused connection still worked.
func (p *Pool) nextReadStep(c *conn, err error) (*roundTrip, readStep) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rt := c.roundTrip
	if rt != nil && errors.Is(err, os.ErrDeadlineExceeded) { // the idle timeout expired as the connection was acquired
		return rt, retryRead
	}
	if rt == nil || err != nil || !rt.writeStarted.Load() {
		p.remove(c)
		if rt != nil && rt.connectionIdle > 0 {
			c.endpoint.keepAlive.recordLost(rt.connectionIdle)
		}
		return rt, closeConnection
	}
	c.endpoint.keepAlive.recordReused(rt.connectionIdle)
	return rt, parseResponse
}

// receiveResponse reads the response of a round trip and reports whether the connection can be reused. A connection
// on which the response arrived before the request was completely written is not reused, because the endpoint would
// take the rest of the request for the next one. Unless it is a rejection, an early response is replaced by
// ErrEarlyResponse, because it cannot belong to a request that the endpoint has not received.
func (p *Pool) receiveResponse(c *conn, rt *roundTrip) (r Response, reusable bool) {
	r, reusable = readResponse(rt.ctx, c.reader, rt.method, p.options.ReportFields, p.options.Memory)
	if r.Result == balance.Reset || !rt.respondedEarly() {
		return r, reusable
	}
	if r.Result != balance.Rejected {
		r.Release()
		r = failure(balance.Reset, ErrEarlyResponse)
	}
	return r, false
}
