package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"pebblelift/balance"
)

const (
	readBufferSize = 4 << 10
	// earlyResponseWait is how long the reader of a response waits for the writer of its request to report that all
	// of it has left: it may just be a moment late.
	earlyResponseWait = 10 * time.Millisecond
)

// conn is a connection with its reader goroutine, which also notices a close by the endpoint while idle.
type conn struct {
	net.Conn
	endpoint  *Endpoint
	addr      string
	reader    *bufio.Reader
	limit     *limitedReader // the source of reader
	idleSince time.Time

	// Guarded by Pool.mu.
	exchange *roundTrip // nil: idle
	counted  bool       // among the open connections
}

func newConn(nc net.Conn, e *Endpoint, addr string, x *roundTrip) *conn {
	limit := &limitedReader{source: nc}
	return &conn{
		Conn: nc, endpoint: e, addr: addr,
		reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit,
		exchange: x, counted: true,
	}
}

// roundTrip is one request on a connection.
type roundTrip struct {
	method         string
	connectionIdle time.Duration // how long its connection had been idle; 0: it was opened for this
	started        atomic.Bool   // its first byte may have left
	written        chan struct{} // closed when all of it has left
	done           chan Response // takes one
}

func newRoundTrip(method string) *roundTrip {
	return &roundTrip{method: method, written: make(chan struct{}), done: make(chan Response, 1)}
}

// answeredEarly reports whether the response came though a part of the request has not left.
func (x *roundTrip) answeredEarly() bool {
	select {
	case <-x.written:
		return false
	case <-time.After(earlyResponseWait):
		return true
	}
}

// readLoop is a connection's reader goroutine: it takes in responses, and closes the connection when the endpoint does,
// when it has been idle for too long or when unexpected bytes arrive.
func (p *Pool) readLoop(c *conn) {
	for {
		c.limit.remaining = maxResponseSize
		_, err := c.reader.Peek(1)
		x, next := p.beginResponse(c, err)
		switch next {
		case retryRead:
			continue
		case endConnection:
			c.Close()
			if x != nil {
				x.done <- failed(balance.Reset, connectionEnded(err))
			}
			return
		}
		r, reusable := p.readChecked(c, x)
		if reusable && c.reader.Buffered() == 0 {
			p.release(c, x)
			x.done <- r
			continue
		}
		p.mu.Lock()
		p.remove(c)
		p.mu.Unlock()
		c.Close()
		x.done <- r
		return
	}
}

// connectionEnded says why a connection ended; err is nil where unexpected bytes arrived.
func connectionEnded(err error) error {
	if err == nil {
		return ErrConnectionEnded
	}
	return fmt.Errorf("%w: %w", ErrConnectionEnded, err)
}

// readStep is what a reader goroutine does next.
type readStep int

const (
	readNext readStep = iota
	retryRead
	endConnection
)

// beginResponse looks at what a connection carries when its first byte, or an error, has come.
func (p *Pool) beginResponse(c *conn, err error) (*roundTrip, readStep) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := c.exchange
	if x != nil && errors.Is(err, os.ErrDeadlineExceeded) { // it was acquired just as its idle time ended
		return x, retryRead
	}
	if x == nil || err != nil || !x.started.Load() {
		p.remove(c)
		if x != nil && x.connectionIdle > 0 {
			c.endpoint.keepAlive.recordLost(x.connectionIdle)
		}
		return x, endConnection
	}
	c.endpoint.keepAlive.recordReused(x.connectionIdle)
	return x, readNext
}

// readChecked reads a response. If it arrived before all of the request was written, the connection is closed, as the
// rest would be taken for the next request, and the response does not count, as it cannot belong to the request.
func (p *Pool) readChecked(c *conn, x *roundTrip) (r Response, reusable bool) {
	r, reusable = readResponse(c.reader, x.method, p.options.ReportFields)
	if r.Result == balance.Reset || !x.answeredEarly() {
		return r, reusable
	}
	if r.Result != balance.Rejected {
		r = failed(balance.Reset, ErrEarlyResponse)
	}
	return r, false
}
