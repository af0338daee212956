package sidecar

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxAhead is how much is read of further requests while one is being answered, and aheadPart of the memory limit how much
// on all connections. Clients send one at a time, and the largest is smaller; who sends more hides that it goes away, and
// passes for one that has gone.
const (
	maxReadAhead      = 2 * maxBody
	readAheadFraction = 1.0 / 32
	defaultReadAhead  = 4 << 20
)

func (l Limits) readAheadBytes() int64 {
	if l.MemoryMB <= 0 {
		return defaultReadAhead
	}
	return int64(readAheadFraction * float64(l.MemoryMB) * (1 << 20))
}

// headConn keeps the head of the present request as it came. net/http follows Transfer-Encoding where
// Content-Length stands beside it and hides the latter, though the two may disagree where the request ends: what
// one side takes for its body is the next request to the other.
type headRecorder struct {
	net.Conn
	drainMode       *atomic.Int32 // see bounded
	readAheadBudget *atomic.Int64 // bytes that may yet be read ahead, on all connections
	readAheadUsed   atomic.Int64  // ... of which it has these
	readAhead       []byte        // read while a handler runs; only the server's reads use it, one at a time

	mu           sync.Mutex // the server reads in the background while a handler runs
	head         []byte
	headComplete bool
	handling     bool // a handler
	idle         bool // no byte of the next request was read
	reused       bool // there was a request before

	serverDeadline time.Time // the server's own read deadline
}

// longAgo as a deadline ends a read that has got nothing. Unlike a close, it does not take away what one has got.
var pastDeadline = time.Unix(1, 0)

// leave ends the connection if it is idle and is to end.
func (c *headRecorder) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldDrain() {
		c.Conn.SetReadDeadline(pastDeadline)
	}
}

func (c *headRecorder) shouldDrain() bool {
	which := c.drainMode.Load()
	return c.idle && (which == drainAll || which == drainReused && c.reused)
}

// SetReadDeadline leaves one that ends the connection in place: the server sets its own as it begins to wait.
func (c *headRecorder) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serverDeadline = t; c.shouldDrain() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *headRecorder) Read(p []byte) (int, error) {
	n, err := c.read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.idle = false
	}
	if !c.headComplete && len(c.head) <= maxHeadSize {
		from := max(0, len(c.head)-3) // its end may come in parts
		c.head = append(c.head, p[:n]...)
		if i := headEnd(c.head[from:]); i >= 0 {
			c.head, c.headComplete = c.head[:from+i], true
		}
	}
	return n, err
}

// read takes what was read ahead first. net/http waits for the client's going away by reading one byte while a handler
// runs, and waits no more once it has one of a further request. So it gets none: what comes is read ahead, until the
// handler is done, which a deadline tells, or the client has gone.
func (c *headRecorder) read(p []byte) (int, error) {
	if len(p) > 1 || !c.hasRequest() {
		if n := c.consumeReadAhead(p); n > 0 {
			return n, nil
		}
		return c.Conn.Read(p)
	}
	c.beginHandling()
	for buf := p; ; {
		n, err := c.Conn.Read(buf)
		c.readAhead = append(c.readAhead, buf[:n]...)
		if c.reserve(int64(n)); err == nil && (len(c.readAhead) > maxReadAhead || c.readAheadBudget.Load() < 0) {
			err = errors.New("too much ahead of an answer")
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.dropReadAhead()
			}
			return 0, err
		}
		if len(buf) == 1 { // most send nothing ahead
			buf = make([]byte, 4<<10)
		}
	}
}

// unread takes some of what was read ahead.
func (c *headRecorder) consumeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.release(int64(n))
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil // its memory is free again
	}
	return n
}

// drop forgets what was read ahead.
func (c *headRecorder) dropReadAhead() {
	c.release(int64(len(c.readAhead)))
	c.readAhead = nil
}

func (c *headRecorder) reserve(n int64) {
	c.readAheadUsed.Add(n)
	c.readAheadBudget.Add(-n)
}

// release gives back up to n bytes. The connection may be closed, and all given back, while one reads.
func (c *headRecorder) release(n int64) {
	for {
		had := c.readAheadUsed.Load()
		if back := min(n, had); c.readAheadUsed.CompareAndSwap(had, had-back) {
			c.readAheadBudget.Add(back)
			return
		}
	}
}

// handled: a handler runs, or is about to: the head was seen, or all of it came with the request before.
func (c *headRecorder) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headComplete || c.handling || len(c.head) == 0
}

// take marks the present request as handed to a handler, or as good as. It may have come whole with the one before, and
// the connection have passed for idle when such were to end.
func (c *headRecorder) beginHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shouldDrain() {
		c.Conn.SetReadDeadline(c.serverDeadline)
	}
	c.handling, c.idle = true, false
}

// headEnd is the place just behind the empty line that ends a head; -1: there is none.
func headEnd(raw []byte) int {
	for i, b := range raw {
		rest := raw[i+1:]
		if b == '\n' && (bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n"))) {
			return i + 1 + bytes.IndexByte(rest, '\n') + 1
		}
	}
	return -1
}

// next forgets the head of a request that is over.
func (c *headRecorder) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.headComplete, c.handling, c.idle, c.reused = c.head[:0], false, false, len(c.readAhead) == 0, true
}

// fields tells the names of the header fields of the present request, in lower case; ok: its head was seen.
func (c *headRecorder) fieldNames(req *http.Request) (names map[string]bool, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line, rest, _ := strings.Cut(string(c.head), "\n")
	want := req.Method + " " + req.RequestURI + " " + req.Proto
	line = strings.TrimSuffix(line, "\r")
	// The first byte may have been read while the request before was being answered.
	if !c.headComplete || !strings.HasSuffix(want, line) || len(line) < len(want)-1 {
		return nil, false
	}
	names = map[string]bool{}
	for line := range strings.Lines(rest) {
		name, _, _ := strings.Cut(line, ":")
		names[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return names, true
}

type headRecorderKey struct{}

// withHead and forgetHead tie a connection's head to the requests on it.
func withHeadRecorder(ctx context.Context, c net.Conn) context.Context {
	if p, ok := c.(*trackedConn); ok {
		return context.WithValue(ctx, headRecorderKey{}, &p.headRecorder)
	}
	return ctx
}

func finishRequestWhenIdle(c net.Conn, state http.ConnState) {
	if p, ok := c.(*trackedConn); ok && state == http.StateIdle {
		p.finishRequest()
	}
}

// ambiguous: the two ends could disagree where this request ends. A chunked one must come with its head seen, as
// clients do not send a request before the one ahead of it is answered; HTTP/1.0 knows no chunks.
func ambiguousLength(req *http.Request) bool {
	c, ok := req.Context().Value(headRecorderKey{}).(*headRecorder)
	chunked, old := len(req.TransferEncoding) > 0, !req.ProtoAtLeast(1, 1)
	if !ok || !chunked && !old {
		return false
	}
	names, seen := c.fieldNames(req)
	return chunked && (!seen || names["content-length"]) || old && names["transfer-encoding"]
}
