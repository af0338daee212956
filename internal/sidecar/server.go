package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/balance"
)

const (
	healthPath              = "/_health"
	reservedDescriptors     = 48 // descriptors kept for discovery, the listener, the runtime and turning clients away
	healthCheckConnections  = 8  // connections to servers beside those of requests
	maxConcurrentRejections = 16 // connections that are being turned away at once
	rejectionTimeout        = 500 * time.Millisecond
	// lingering: after SIGTERM new connections come for up to 0.4 s.
	acceptAfterShutdown = 600 * time.Millisecond
	// SIGKILL comes no sooner than the longest deadline, counted as mostTime where it is longer, plus 0.7 s. The process
	// ends a little earlier, and what it has taken is answered earlier still.
	maxCountedDeadline = 3 * time.Second
	shutdownMargin     = 100 * time.Millisecond
	// Anyone may connect, and a place that is held for nothing is lacking to a client. A connection without a request
	// may be closed after 2 s, and whoever sends none, or half of one, must be rid of within 3 s.
	headerTimeout = 2200 * time.Millisecond
	bodyTimeout   = 600 * time.Millisecond
	idleTimeout   = 2500 * time.Millisecond
	writeTimeout  = 10 * time.Second // beyond the longest deadline
	maxHeadSize   = 32 << 10
)

// Clients use at most a third of the descriptors for requests, and a request needs one connection to a server at a
// time, so a third is enough there. What is left is the clients': peers that send nothing hold places too.
func (l Limits) downstreamConnections() int {
	if l.Sockets <= 0 {
		return 1 << 20
	}
	return max(1, l.Sockets-reservedDescriptors-l.upstreamConnections())
}

func (l Limits) upstreamConnections() int {
	if l.Sockets <= 0 {
		return 1 << 20
	}
	return max(1, min(l.Sockets/3+healthCheckConnections, (l.Sockets-reservedDescriptors)/2))
}

// inbound is a client's request as read.
type clientRequest struct {
	upstreamRequest
	traceID       string
	class, tenant int
	workHint      float64
	affinityKey   uint64
	isRetry       bool
	arrivedAt     float64
	timeout       float64
}

// Server is the application's side.
type Server struct {
	loop            *Loop
	classes         map[string]int
	http            *http.Server
	longestDeadline time.Duration // the longest deadline
	drainTimeout    time.Duration // ... and what of it there is after SIGTERM
	draining        atomic.Bool
	after           func(time.Duration) <-chan time.Time // time.After
	bodyTimeout     time.Duration
}

// NewServer makes a server; Serve runs it.
func NewServer(l *Loop, log *slog.Logger) *Server {
	s := &Server{loop: l, classes: map[string]int{}, after: time.After, bodyTimeout: bodyTimeout}
	for i, name := range l.config.Profile.Classes {
		s.classes[name] = i
		s.longestDeadline = max(s.longestDeadline, fromMillis(l.config.Profile.Balancer.Classes[i].Deadline))
	}
	s.drainTimeout = min(s.longestDeadline, maxCountedDeadline)
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout + s.longestDeadline,
		MaxHeaderBytes: maxHeadSize, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: withHeadRecorder, ConnState: finishRequestWhenIdle,
	}
	return s
}

// Serve serves until stop ends, then drains, and returns when all that was taken is answered.
func (s *Server) Serve(stop context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	clients := newLimitedListener(ln, s.loop.config.Limits.downstreamConnections())
	clients.readAheadBudget.Store(s.loop.config.Limits.readAheadBytes())
	s.loop.listener.Store(clients)
	go func() { failed <- s.http.Serve(clients) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	// Idle connections are closed while the listener still accepts, so that clients come again on new ones.
	s.draining.Store(true)
	s.loop.Shutdown(acceptAfterShutdown + s.drainTimeout - shutdownMargin)
	clients.drain(drainReused)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-s.after(acceptAfterShutdown):
	}
	// Not http.Server.Shutdown: it gives no answer to a request of which it reads the last byte afterwards.
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	clients.Close()
	select { // only now are all known that were accepted
	case <-failed:
	case <-ctx.Done():
	}
	clients.drain(drainAll)
	select {
	case <-clients.drained:
	case <-ctx.Done():
	}
	return s.http.Close() // what the time-out found was a connection without a request
}

// end has the client's connection closed after the answer, once the sidecar is to stop.
func (s *Server) closeIfDraining(w http.ResponseWriter) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrived := s.loop.clock.Now()
	s.closeIfDraining(w)
	if c, ok := req.Context().Value(headRecorderKey{}).(*headRecorder); ok {
		c.beginHandling()
	}
	if req.ContentLength != 0 { // what is left of a body is read after the answer too, also by net/http
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.bodyTimeout))
	}
	if req.URL.Path == healthPath {
		if !s.loop.ready.Load() || s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if ambiguousLength(req) {
		w.Header().Set("Connection", "close")
		http.Error(w, "ambiguous length", http.StatusBadRequest)
		return
	}
	in, status, err := s.parseRequest(w, req)
	if err != nil {
		if req.ContentLength != 0 { // else the answer would wait for a body that may never come
			w.Header().Set("Connection", "close")
		}
		http.Error(w, err.Error(), status)
		return
	}
	in.arrivedAt = arrived
	answers := make(chan clientResponse, 1)
	taken := make(chan *request, 1)
	s.loop.enqueue(func() {
		if req.Context().Err() != nil { // its client left while it waited for the loop
			taken <- nil
			return
		}
		taken <- s.loop.acceptRequest(in, answers)
	})
	var r *request
	select {
	case r = <-taken:
	case <-s.loop.ended:
	}
	if r == nil {
		http.Error(w, "trace id in use", http.StatusConflict)
		return
	}
	select {
	case a := <-answers:
		s.closeIfDraining(w)
		writeResponse(w, a)
	case <-req.Context().Done():
		s.loop.enqueue(func() { s.loop.clientCanceled(r) })
		panic(http.ErrAbortHandler) // else an empty 200 would be written
	case <-s.loop.ended:
		panic(http.ErrAbortHandler)
	}
}

// parse reads a request and says what is wrong with it. The method must fit the class: a keyed request without
// its key could not be repeated.
func (s *Server) parseRequest(w http.ResponseWriter, req *http.Request) (in clientRequest, status int, err error) {
	h := req.Header
	class, known := s.classes[h.Get("X-Qos")]
	if !known {
		return in, http.StatusBadRequest, fmt.Errorf("unknown class %q", h.Get("X-Qos"))
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"} {
		if len(h[http.CanonicalHeaderKey(name)]) > 1 { // servers and we might go by different ones
			return in, http.StatusBadRequest, fmt.Errorf("%s more than once", name)
		}
	}
	in.class, in.traceID = class, h.Get("X-Trace-Id")
	in.tenant = slices.Index(s.loop.config.Profile.Tenants, h.Get("X-Customer")) // -1: none
	in.method, in.target = req.Method, req.RequestURI
	key, effect := h.Get("Idempotency-Key"), s.loop.config.Profile.Balancer.Classes[class].Idempotency
	first, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	switch {
	case in.traceID == "":
		return in, http.StatusBadRequest, errors.New("no X-Trace-Id")
	case !strings.HasPrefix(in.target, "/") || first != h.Get("X-Qos"):
		return in, http.StatusBadRequest, errors.New("the path does not fit the class")
	case (effect == balance.Idempotent) != (in.method == http.MethodGet), effect != balance.Idempotent && in.method != http.MethodPost,
		(effect == balance.IdempotentWithKey) != (key != ""):
		return in, http.StatusBadRequest, errors.New("method and key do not fit the class")
	case in.method == http.MethodGet && req.ContentLength != 0: // a server may take its body for the next request
		return in, http.StatusBadRequest, errors.New("a GET with a body")
	}
	// Every client says how long it waits. A guess in its place would be the longest wait there is, against which the
	// module holds all later tries.
	if in.timeout, err = parseTimeout(h.Get("X-Expires-In")); err != nil {
		return in, http.StatusBadRequest, err
	}
	if text := h.Get("X-Size-Hint"); text != "" {
		if us, err := strconv.ParseFloat(text, 64); err == nil && us > 0 {
			in.workHint = us / 1000
		}
	}
	if sid := req.URL.Query().Get("sid"); sid != "" {
		in.affinityKey = stableHash(sid)
	}
	in.isRetry = h.Get("X-Second-Try") == "1"
	if req.ContentLength > maxBody {
		return in, http.StatusRequestEntityTooLarge, errors.New("body over 64 KiB")
	}
	if req.ContentLength != 0 {
		in.body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
		if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
			return in, http.StatusRequestEntityTooLarge, err
		}
		if err != nil {
			return in, http.StatusBadRequest, err
		}
		http.NewResponseController(w).SetReadDeadline(time.Time{}) // else it would pass for the client's going away
	}
	for _, name := range []string{"X-Trace-Id", "Idempotency-Key", "X-Qos", "X-Customer", "Content-Type"} {
		if v := h.Get(name); v != "" {
			in.header = append(in.header, [2]string{name, v})
		}
	}
	return in, 0, nil
}

// parseWait reads a time such as 480m (milliseconds) or 1500u (microseconds).
func parseTimeout(text string) (float64, error) {
	digits, unit := strings.TrimRight(text, "mu"), 1.0
	if digits+"u" == text {
		unit = 1e-3
	} else if digits+"m" != text {
		return 0, fmt.Errorf("X-Expires-In: %q", text)
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || strings.Trim(digits, ".0123456789") != "" || !(v > 0) || v > 1e12 {
		return 0, fmt.Errorf("X-Expires-In: %q", text)
	}
	return v * unit, nil
}

// write passes the answer on: whole, with its length.
func writeResponse(w http.ResponseWriter, a clientResponse) {
	switch a.result {
	case balance.OK:
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			w.Header()[name] = a.response.header[name] // nil: none, and none is guessed
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.response.body)))
		w.Write(a.response.body)
	case balance.Rejected:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter/1000, 'f', 3, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// bounded limits a listener's open connections: the descriptors are needed elsewhere. One too many gets a prompt 503.
type limitedListener struct {
	net.Listener
	slots, rejections  chan struct{}
	accepted, rejected atomic.Int64  // connections since the start: with a place, and one too many
	drainMode          atomic.Int32  // which connections without a request are to end: none, leaveUsed or leaveAll
	drained            chan struct{} // closed when all have ended, after leaveAll
	readAheadBudget    atomic.Int64  // bytes that may yet be read ahead of answers

	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

const (
	drainReused = 1 + iota // those that have had one: clients come again on new ones
	drainAll
)

func newLimitedListener(ln net.Listener, most int) *limitedListener {
	b := &limitedListener{
		Listener: ln, slots: make(chan struct{}, most), rejections: make(chan struct{}, maxConcurrentRejections),
		drained: make(chan struct{}), open: map[*trackedConn]struct{}{},
	}
	b.readAheadBudget.Store(defaultReadAhead)
	return b
}

// leave ends the connections of which no byte of a further request was read. No more are accepted before leaveAll.
func (b *limitedListener) drain(which int32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainMode.Store(which)
	for p := range b.open {
		p.drain()
	}
	if which == drainAll && len(b.open) == 0 {
		close(b.drained)
	}
}

// free gives a connection's place back.
func (b *limitedListener) release(p *trackedConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, held := b.open[p]; !held {
		return
	}
	delete(b.open, p)
	<-b.slots
	if b.drainMode.Load() == drainAll && len(b.open) == 0 {
		close(b.drained)
	}
}

func (b *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case b.slots <- struct{}{}:
			b.accepted.Add(1)
			p := &trackedConn{headRecorder: headRecorder{Conn: c, idle: true, drainMode: &b.drainMode, readAheadBudget: &b.readAheadBudget}, listener: b}
			b.mu.Lock()
			b.open[p] = struct{}{}
			b.mu.Unlock()
			return p, nil
		default:
		}
		b.rejected.Add(1)
		select {
		case b.rejections <- struct{}{}:
			go func() {
				rejectConnection(c, rejectionTimeout)
				<-b.rejections
			}()
		default: // those behind it must not wait, and its answer may be lost to a reset
			rejectConnection(c, 0)
		}
	}
}

type trackedConn struct {
	headRecorder
	listener *limitedListener
}

func (p *trackedConn) Close() error {
	defer p.listener.release(p)
	defer p.release(math.MaxInt64)
	return p.Conn.Close()
}

// turnAway answers 503 and reads on for a while: a close with bytes unread would reset the answer away.
func rejectConnection(c net.Conn, reading time.Duration) {
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(rejectionTimeout)) // never reached: the first bytes on a connection are buffered
	c.SetReadDeadline(time.Now().Add(reading))
	io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	io.Copy(io.Discard, c)
}
