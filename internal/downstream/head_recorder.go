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

// maxHeadSize is the largest size in bytes of the head of a request: its request line and header fields.
const maxHeadSize = 32 << 10

// headRecorder is a client connection that records the head of the current request as it was received. The raw head
// is needed to detect request smuggling: if a request has both Transfer-Encoding and Content-Length, net/http follows
// the former and hides the latter, although the two may disagree about where the request ends. What one side takes
// for the body of the request is then the next request to the other side.
//
// A headRecorder also reads ahead while a handler runs (see read_ahead.go), and ends its connection when it is idle
// and the listener drains.
type headRecorder struct {
	net.Conn
	drainMode *atomic.Int32 // the drain mode of the listener

	readAheadBudget *atomic.Int64 // the read-ahead budget of the listener, in bytes
	readAheadUsed   atomic.Int64  // bytes of the budget that this connection uses
	// readAhead holds what was received but not yet returned by Read. It needs no lock, as the server calls Read from
	// one goroutine at a time.
	readAhead []byte

	// mu guards the following fields, because net/http reads in the background while a handler runs.
	mu             sync.Mutex
	head           []byte    // what was read of the head of the current request
	headComplete   bool      // head ends with the empty line
	handling       bool      // a handler runs or is about to run
	idle           bool      // no byte of the next request was read
	reused         bool      // a request ended on this connection before
	serverDeadline time.Time // the read deadline that net/http has set
}

// pastDeadline is a read deadline in the past, which ends the read of an idle connection. Unlike a close, the deadline
// does not discard bytes that have already arrived.
var pastDeadline = time.Unix(1, 0)

// drain ends the connection if it is idle and the listener's drain mode applies to it.
func (r *headRecorder) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shouldDrain() {
		r.Conn.SetReadDeadline(pastDeadline)
	}
}

// shouldDrain reports whether the connection is idle and the listener's drain mode applies to it. The caller holds mu.
func (r *headRecorder) shouldDrain() bool {
	mode := drainMode(r.drainMode.Load())
	return r.idle && (mode == drainAll || mode == drainReused && r.reused)
}

// SetReadDeadline sets the read deadline, except that a connection that drains keeps pastDeadline. Otherwise
// pastDeadline would be replaced by the deadline that net/http sets each time it begins to wait for a request.
func (r *headRecorder) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serverDeadline = t
	if r.shouldDrain() {
		t = pastDeadline
	}
	return r.Conn.SetReadDeadline(t)
}

// Read reads from the connection and records the head of the current request.
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

// record appends what was read to the head until the head is complete or too long. The caller holds mu.
func (r *headRecorder) record(p []byte) {
	if r.headComplete || len(r.head) > maxHeadSize {
		return
	}
	from := max(0, len(r.head)-len("\n\r\n")) // the end of the head may arrive in parts
	r.head = append(r.head, p...)
	if i := headEnd(r.head[from:]); i >= 0 {
		r.head, r.headComplete = r.head[:from+i], true
	}
}

// headEnd returns the index after the empty line that ends a head, or -1 if there is no such line.
func headEnd(raw []byte) int {
	for i, b := range raw {
		rest := raw[i+1:]
		if b == '\n' && (bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n"))) {
			return i + 1 + bytes.IndexByte(rest, '\n') + 1
		}
	}
	return -1
}

// handlerActive reports whether a handler runs or is about to run. It must be called only during a read of a single
// byte. An empty head then means that the whole head arrived together with the previous request.
func (r *headRecorder) handlerActive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headComplete || r.handling || len(r.head) == 0
}

// beginHandling records that a handler runs or is about to run for the current request. If the request arrived
// together with the previous one, the connection may have counted as idle when the listener began to drain. In that
// case the deadline that net/http has set is restored.
func (r *headRecorder) beginHandling() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shouldDrain() {
		r.Conn.SetReadDeadline(r.serverDeadline)
	}
	r.handling, r.idle = true, false
}

// finishRequest prepares for the next request: it clears the head and marks the connection as idle unless a part of
// the next request was already read ahead.
func (r *headRecorder) finishRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head, r.headComplete = r.head[:0], false
	r.handling = false
	r.idle = len(r.readAhead) == 0
	r.reused = true
}

// fieldNames returns the names of the header fields of the current request in lower case. ok is false if the recorded
// head is not that of the request.
func (r *headRecorder) fieldNames(req *http.Request) (names map[string]bool, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, rest, _ := strings.Cut(string(r.head), "\n")
	line = strings.TrimSuffix(line, "\r")
	requestLine := req.Method + " " + req.RequestURI + " " + req.Proto
	// The first byte is missing from the head if it was read while the previous request was being answered.
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

// hasAmbiguousLength reports whether the client and the sidecar could disagree about where a request ends. A chunked
// request also counts as ambiguous if its head was not recorded, which happens if it was sent before the previous
// request was answered; clients do not normally do so. HTTP/1.0 has no chunked encoding.
func hasAmbiguousLength(req *http.Request) bool {
	recorder := headRecorderOf(req)
	chunked, http10 := len(req.TransferEncoding) > 0, !req.ProtoAtLeast(1, 1)
	if recorder == nil || !chunked && !http10 {
		return false
	}
	names, recorded := recorder.fieldNames(req)
	return chunked && (!recorded || names["content-length"]) || http10 && names["transfer-encoding"]
}

// headRecorderKey is the context key of a connection's headRecorder.
type headRecorderKey struct{}

// withHeadRecorder adds a connection's headRecorder to the context of the requests on it (http.Server.ConnContext).
func withHeadRecorder(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*trackedConn); ok {
		return context.WithValue(ctx, headRecorderKey{}, &t.headRecorder)
	}
	return ctx
}

// headRecorderOf returns the headRecorder of the connection of a request, or nil if the connection has none.
func headRecorderOf(req *http.Request) *headRecorder {
	recorder, _ := req.Context().Value(headRecorderKey{}).(*headRecorder)
	return recorder
}

// finishRequestWhenIdle tells a connection's headRecorder that its request has ended (http.Server.ConnState).
func finishRequestWhenIdle(c net.Conn, state http.ConnState) {
	if t, ok := c.(*trackedConn); ok && state == http.StateIdle {
		t.finishRequest()
	}
}
