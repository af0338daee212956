package downstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxHeadSize bounds the head of a request.
const maxHeadSize = 32 << 10

// headRecorder is a connection that keeps the head of the present request as it came. net/http follows
// Transfer-Encoding where Content-Length stands beside it and hides the latter, though the two may disagree where the
// request ends: what one side takes for its body is the next request to the other.
//
// It also reads ahead while a handler runs, see read_ahead.go, and ends when it is idle and the listener drains.
type headRecorder struct {
	net.Conn
	drainMode *atomic.Int32 // the listener's

	readAheadBudget *atomic.Int64 // the listener's
	readAheadUsed   atomic.Int64  // its part of that
	readAhead       []byte        // only the server's reads use it, one at a time

	mu             sync.Mutex // the server reads in the background while a handler runs
	head           []byte
	headComplete   bool
	handling       bool      // a handler runs
	idle           bool      // no byte of the next request was read
	reused         bool      // there was a request before
	serverDeadline time.Time // the read deadline that the server set
}

// pastDeadline is a read deadline that ends a read of an idle connection. Unlike a close, it does not discard bytes that
// have arrived.
var pastDeadline = time.Unix(1, 0)

// drain ends the connection if it is idle and the listener's drain mode covers it.
func (r *headRecorder) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shouldDrain() {
		r.Conn.SetReadDeadline(pastDeadline)
	}
}

// shouldDrain is called with mu held.
func (r *headRecorder) shouldDrain() bool {
	mode := drainMode(r.drainMode.Load())
	return r.idle && (mode == drainAll || mode == drainReused && r.reused)
}

// SetReadDeadline leaves a deadline that ends the connection in place: the server sets its own as it begins to wait.
func (r *headRecorder) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serverDeadline = t
	if r.shouldDrain() {
		t = pastDeadline
	}
	return r.Conn.SetReadDeadline(t)
}

// Read reads and records the head of the present request.
func (r *headRecorder) Read(p []byte) (int, error) {
	n, err := r.readOrReadAhead(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n > 0 {
		r.idle = false
	}
	r.record(p[:n])
	return n, err
}

// record is called with mu held.
func (r *headRecorder) record(p []byte) {
	if r.headComplete || len(r.head) > maxHeadSize {
		return
	}
	from := max(0, len(r.head)-len("\n\r\n")) // its end may come in parts
	r.head = append(r.head, p...)
	if i := headEnd(r.head[from:]); i >= 0 {
		r.head, r.headComplete = r.head[:from+i], true
	}
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

// hasRequest reports whether a handler runs or is about to run: the head was seen, or all of it arrived with the request
// before.
func (r *headRecorder) hasRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headComplete || r.handling || len(r.head) == 0
}

// beginHandling marks the present request as handed to a handler, or about to be. If it arrived together with the one
// before, the connection may have counted as idle when the listener began to drain; its deadline is taken back then.
func (r *headRecorder) beginHandling() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shouldDrain() {
		r.Conn.SetReadDeadline(r.serverDeadline)
	}
	r.handling, r.idle = true, false
}

// finishRequest forgets the head of a request that is over.
func (r *headRecorder) finishRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.headComplete = r.head[:0], false
	r.handling = false
	r.idle = len(r.readAhead) == 0
	r.reused = true
}

// fieldNames returns the names of the header fields of the present request, in lower case; ok: its head was seen.
func (r *headRecorder) fieldNames(req *http.Request) (names map[string]bool, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, rest, _ := strings.Cut(string(r.head), "\n")
	line = strings.TrimSuffix(line, "\r")
	requestLine := req.Method + " " + req.RequestURI + " " + req.Proto
	// The first byte may have been read while the request before was being answered.
	if !r.headComplete || !strings.HasSuffix(requestLine, line) || len(line) < len(requestLine)-1 {
		return nil, false
	}
	names = map[string]bool{}
	for line := range strings.Lines(rest) {
		name, _, _ := strings.Cut(line, ":")
		names[strings.ToLower(strings.TrimSpace(name))] = true
	}
	return names, true
}

// hasAmbiguousLength reports whether the two ends could disagree where a request ends. A chunked one must come with its
// head seen, as clients do not send a request before the one ahead of it is answered; HTTP/1.0 knows no chunks.
func hasAmbiguousLength(req *http.Request) bool {
	recorder := headRecorderOf(req)
	chunked, old := len(req.TransferEncoding) > 0, !req.ProtoAtLeast(1, 1)
	if recorder == nil || !chunked && !old {
		return false
	}
	names, seen := recorder.fieldNames(req)
	return chunked && (!seen || names["content-length"]) || old && names["transfer-encoding"]
}

type headRecorderKey struct{}

// withHeadRecorder ties a connection's recorder to the requests on it.
func withHeadRecorder(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*trackedConn); ok {
		return context.WithValue(ctx, headRecorderKey{}, &t.headRecorder)
	}
	return ctx
}

// headRecorderOf returns nil for a request on another kind of connection.
func headRecorderOf(req *http.Request) *headRecorder {
	recorder, _ := req.Context().Value(headRecorderKey{}).(*headRecorder)
	return recorder
}

func finishRequestWhenIdle(c net.Conn, state http.ConnState) {
	if t, ok := c.(*trackedConn); ok && state == http.StateIdle {
		t.finishRequest()
	}
}
