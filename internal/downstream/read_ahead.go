package downstream

import (
	"errors"
	"os"

	"pebblelift/internal/upstream"
)

const (
	// maxReadAhead is how many bytes of further requests are read on one connection while a request is being
	// answered. Clients send one request at a time, and the largest request is smaller than this. A client that sends
	// more counts as disconnected, because its disconnect could not be noticed behind unread data.
	maxReadAhead = 2 * upstream.MaxBodySize
	// readAheadBufferSize is the size in bytes of the buffer for reading ahead once a client has sent anything ahead.
	readAheadBufferSize = 4 << 10
)

// errTooMuchReadAhead means that a client exceeded maxReadAhead, or all clients together the read-ahead budget.
var errTooMuchReadAhead = errors.New("client sent too much data before the response to its request")

// readOrReadAhead reads from the connection, after it has returned what was read ahead.
//
// While a handler runs, net/http detects a disconnect of the client by reading one byte, and stops doing so once it
// has received a byte of a further request. Therefore such a read returns no data: what arrives is read ahead until
// the client disconnects or the handler is done; net/http then sets a read deadline.
func (c *clientConn) readOrReadAhead(p []byte) (int, error) {
	if len(p) > 1 || !c.handlerActive() {
		if n := c.consumeReadAhead(p); n > 0 {
			return n, nil
		}
		return c.Conn.Read(p)
	}
	c.beginHandling()
	return 0, c.fillReadAhead(p)
}

// fillReadAhead reads ahead until a read fails or too much was read. The buffer of the caller holds a single byte; a
// larger buffer is allocated only once a byte has arrived, because most clients send nothing ahead.
func (c *clientConn) fillReadAhead(buf []byte) error {
	for {
		n, err := c.Conn.Read(buf)
		c.readAhead = append(c.readAhead, buf[:n]...)
		c.reserveReadAhead(int64(n))
		if err == nil && (len(c.readAhead) > maxReadAhead || c.readAheadBudget.Load() < 0) {
			err = errTooMuchReadAhead
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.dropReadAhead()
			}
			return err
		}
		if len(buf) == 1 {
			buf = make([]byte, readAheadBufferSize)
		}
	}
}

// consumeReadAhead moves data that was read ahead to p and returns its length.
func (c *clientConn) consumeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.releaseReadAhead(int64(n))
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil // releases the memory
	}
	return n
}

// dropReadAhead discards what was read ahead.
func (c *clientConn) dropReadAhead() {
	c.releaseReadAhead(int64(len(c.readAhead)))
	c.readAhead = nil
}

// reserveReadAhead takes n bytes from the read-ahead budget.
func (c *clientConn) reserveReadAhead(n int64) {
	c.readAheadUsed.Add(n)
	c.readAheadBudget.Add(-n)
}

// releaseReadAhead returns n bytes to the read-ahead budget, or all bytes that the connection uses if they are fewer
// than n. They can be fewer because Close may release all bytes of the connection during a read.
func (c *clientConn) releaseReadAhead(n int64) {
	for {
		used := c.readAheadUsed.Load()
		released := min(n, used)
		if c.readAheadUsed.CompareAndSwap(used, used-released) {
			c.readAheadBudget.Add(released)
			return
		}
	}
}
