package downstream

import (
	"errors"
	"os"

	"pebblelift/internal/upstream"
)

const (
	// maxReadAhead bounds what is read of further requests on one connection while a request is being answered.
	// Clients send one request at a time, and the largest is smaller. Behind more data than this a disconnect could
	// not be noticed, so a client that sends more counts as disconnected.
	maxReadAhead        = 2 * upstream.MaxBodySize
	readAheadBufferSize = 4 << 10
)

var errTooMuchReadAhead = errors.New("too much read ahead of a response")

// readOrReadAhead returns what was read ahead first. While a handler runs, net/http detects a disconnect by reading one
// byte, and stops doing so once it has a byte of a further request. So it gets none: what arrives is read ahead until
// the handler is done, when net/http sets a deadline, or the client has disconnected.
func (r *headRecorder) readOrReadAhead(p []byte) (int, error) {
	if len(p) > 1 || !r.hasRequest() {
		if n := r.consumeReadAhead(p); n > 0 {
			return n, nil
		}
		return r.Conn.Read(p)
	}
	r.beginHandling()
	return 0, r.fillReadAhead(p)
}

// fillReadAhead reads ahead until a read fails. The first buffer may hold a single byte, as most clients send nothing
// ahead.
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

// consumeReadAhead takes some of what was read ahead.
func (r *headRecorder) consumeReadAhead(p []byte) int {
	n := copy(p, r.readAhead)
	r.releaseReadAhead(int64(n))
	r.readAhead = r.readAhead[n:]
	if len(r.readAhead) == 0 {
		r.readAhead = nil // its memory is free again
	}
	return n
}

// dropReadAhead forgets what was read ahead.
func (r *headRecorder) dropReadAhead() {
	r.releaseReadAhead(int64(len(r.readAhead)))
	r.readAhead = nil
}

func (r *headRecorder) reserveReadAhead(n int64) {
	r.readAheadUsed.Add(n)
	r.readAheadBudget.Add(-n)
}

// releaseReadAhead gives back up to n bytes of the budget. The connection may be closed, which
// gives all of them back, during a read.
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
