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
func (r *headRecorder) readOrReadAhead(p []byte) (int, error) {
	if len(p) > 1 || !r.handlerActive() {
		if n := r.consumeReadAhead(p); n > 0 {
			return n, nil
		}
		return r.Conn.Read(p)
	}
	r.beginHandling()
	return 0, r.fillReadAhead(p)
}

// fillReadAhead reads ahead until a read fails or too much was read. The buffer of the caller holds a single byte; a
// larger buffer is allocated only once a byte has arrived, because most clients send nothing ahead.
func (r *headRecorder) fillReadAhead(buf []byte) error {
	for {
		n, err := r.Conn.Read(buf)
		r.readAhead = append(r.readAhead, buf[:n]...)
		r.reserveReadAhead(int64(n))
		if err == nil && (len(r.readAhead) > maxReadAhead || r.readAheadBudget.Load() < 0) {
			err = errTooMuchReadAhead
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				r.dropReadAhead()
			}
			return err
		}
		if len(buf) == 1 {
			buf = make([]byte, readAheadBufferSize)
		}
	}
}

// consumeReadAhead moves data that was read ahead to p and returns its length.
func (r *headRecorder) consumeReadAhead(p []byte) int {
	n := copy(p, r.readAhead)
	r.releaseReadAhead(int64(n))
	r.readAhead = r.readAhead[n:]
	if len(r.readAhead) == 0 {
		r.readAhead = nil // releases the memory
	}
	return n
}

// dropReadAhead discards what was read ahead.
func (r *headRecorder) dropReadAhead() {
	r.releaseReadAhead(int64(len(r.readAhead)))
	r.readAhead = nil
}

// reserveReadAhead takes n bytes from the read-ahead budget.
func (r *headRecorder) reserveReadAhead(n int64) {
	r.readAheadUsed.Add(n)
	r.readAheadBudget.Add(-n)
}

// releaseReadAhead returns n bytes to the read-ahead budget, or all bytes that the connection uses if they are fewer
// than n. They can be fewer because Close may release all bytes of the connection during a read.
func (r *headRecorder) releaseReadAhead(n int64) {
	for {
		used := r.readAheadUsed.Load()
		released := min(n, used)
		if r.readAheadUsed.CompareAndSwap(used, used-released) {
			r.readAheadBudget.Add(released)
			return
		}
	}
}
