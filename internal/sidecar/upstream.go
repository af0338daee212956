package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/balance"
)

const (
	maxBody            = 64 << 10
	maxResponseSize    = 8 * maxBody // with its head, and however it is cut into chunks
	idleFraction       = 0.8         // of the time after which a server closes an idle connection: we close it first
	defaultIdleTimeout = 10000
	defaultDialTimeout = 1000
	healthCheckTimeout = 1000
	loadHeader         = "Endpoint-Load-Metrics"
	quietPeriod        = 20 * time.Millisecond // second answers came up to 4 ms behind the first
	earlyResponseWait  = 10 * time.Millisecond
	minLearnedIdle     = 20 * time.Millisecond // a connection lost sooner was hardly lost for being idle
	relearnInterval    = 10 * time.Second
)

// upstream holds the connections to servers. They carry one request at a time.
type connectionPool struct {
	clock          Clock
	dialer         net.Dialer
	dialTimeout    time.Duration // the longest that a connection may take to come up
	idleTimeout    time.Duration
	quietPeriod    time.Duration // how long a connection is left alone after an answer
	maxConnections int           // connections at once
	drainGrace     float64
	reportFields   []string

	mu            sync.Mutex
	open          int
	idleEndpoints map[*endpoint]struct{} // with idle connections

	dials, reuses int // since the start
}

// endpoint is one server as the I/O goroutines see it.
type endpoint struct {
	// offSince is when we were told that it drains or is gone, as bits of clock time; 0: it takes requests.
	unavailableSince atomic.Uint64
	addr             string  // guarded by upstream.mu, as is idle
	idle             []*conn // newest last
	keepAliveEstimator
}

// keeping is what shows how long a server's idle connections can be used. Some forget theirs far sooner than the
// settings say and tell it only by a reset of the next request, which may not always be sent again.
type keepAliveEstimator struct {
	suspectIdle time.Duration // idle time of the last connection that was lost; 0: a longer one has worked since
	maxIdle     time.Duration // none is used that was idle for longer; 0: as the settings say
	learnedAt   time.Time     // ... learned then
}

// lost and worked take in what came of a connection that had been idle. Connections are lost by chance too: only
// two in a row, none that idled longer working between them, show a limit.
func (k *keepAliveEstimator) recordLost(idle time.Duration) {
	switch {
	case idle < minLearnedIdle:
	case k.suspectIdle == 0:
		k.suspectIdle = idle
	default:
		k.maxIdle, k.learnedAt = max(minLearnedIdle, time.Duration(idleFraction*float64(min(idle, k.suspectIdle)))), time.Now()
		k.suspectIdle = 0
	}
}

func (k *keepAliveEstimator) recordReused(idle time.Duration) {
	if idle >= k.suspectIdle {
		k.suspectIdle = 0
	}
}

// most is how long a connection may have been idle to be used. What was learned is tried anew from time to time.
func (k *keepAliveEstimator) idleLimit(settings time.Duration) time.Duration {
	if k.maxIdle > 0 && time.Since(k.learnedAt) < relearnInterval {
		return min(k.maxIdle, settings)
	}
	return settings
}

// tally counts the open connections, and those dialled and taken again since the start.
func (u *connectionPool) stats() (open, dials, reuses int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open, u.dials, u.reuses
}

// conn is a connection with its reader goroutine, which also notices a close by the peer while idle.
type conn struct {
	net.Conn
	endpoint  *endpoint
	addr      string
	reader    *bufio.Reader
	limit     *limitedReader // of in
	idleSince time.Time

	// Guarded by upstream.mu:
	exchange *roundTrip // what it carries; nil: idle
	counted  bool       // it has a place among the open ones
}

// quota is a reader's source that ends after some bytes: there are servers whose answers never do.
type limitedReader struct {
	io.Reader
	remaining int
}

func (q *limitedReader) Read(p []byte) (int, error) {
	if q.remaining == 0 {
		return 0, errors.New("an answer that does not end")
	}
	n, err := q.Reader.Read(p[:min(len(p), q.remaining)])
	q.remaining -= n
	return n, err
}

// exchange is one request on a connection.
type roundTrip struct {
	method         string
	connectionIdle time.Duration         // how long its connection had been idle; 0: it was opened for this
	started        atomic.Bool           // its first byte may have left
	written        chan struct{}         // closed when its last byte has left, or none will any more
	done           chan upstreamResponse // takes one reply
}

func newRoundTrip(method string) *roundTrip {
	return &roundTrip{method: method, written: make(chan struct{}), done: make(chan upstreamResponse, 1)}
}

// early: the answer came though a part of the request has not left. The one who writes it may just be a moment late to
// tell that it has.
func (x *roundTrip) answeredEarly() bool {
	select {
	case <-x.written:
		return false
	case <-time.After(earlyResponseWait):
		return true
	}
}

// reply is what came back for an attempt.
type upstreamResponse struct {
	result         balance.Result
	body           []byte
	header         http.Header
	loadReport     []float32
	err            error
	connectionIdle time.Duration // of the connection, before
}

// call is one attempt to carry out.
type upstreamCall struct {
	endpoint    *endpoint
	request     upstreamRequest
	deadline    float64 // clock time at which we stop waiting
	startBefore float64 // clock time before which the first byte must leave
	claimed     atomic.Bool
}

// claim decides once and for all between the first byte of an attempt and its being given up before that. The first
// to claim wins: a request that is over is not sent, and one that was not sent is known never to have run.
func (c *upstreamCall) claim() bool { return c.claimed.CompareAndSwap(false, true) }

// message is a request as it goes on to a server.
type upstreamRequest struct {
	method, target string
	header         [][2]string
	body           []byte
}

func newConnectionPool(clock Clock, c *Config, most int) *connectionPool {
	return &connectionPool{
		clock: clock, maxConnections: most, drainGrace: c.Profile.Balancer.DrainGrace, reportFields: c.Profile.ReportFields,
		dialTimeout:   fromMillis(orDefault(c.Profile.Balancer.ConnectTimeout, defaultDialTimeout)),
		idleTimeout:   fromMillis(idleFraction * orDefault(c.Profile.ConnIdleTimeout, defaultIdleTimeout)),
		idleEndpoints: map[*endpoint]struct{}{}, quietPeriod: quietPeriod,
		// Go's own keep-alive probes tell nothing here; attempts have deadlines.
		dialer: net.Dialer{KeepAlive: -1},
	}
}

func orDefault(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}

// turn tells an endpoint where it listens and whether it takes requests. Idle connections that are of no more use
// are closed.
func (u *connectionPool) updateEndpoint(e *endpoint, addr string, off bool) {
	if !off {
		e.unavailableSince.Store(0)
	} else if e.unavailableSince.Load() == 0 {
		e.unavailableSince.Store(math.Float64bits(u.clock.Now()))
	}
	u.mu.Lock()
	moved := addr != "" && addr != e.addr
	if moved {
		e.addr = addr
	}
	u.mu.Unlock()
	if moved || off {
		u.closeIdle(e)
	}
}

func (u *connectionPool) closeIdle(e *endpoint) {
	u.mu.Lock()
	idle := e.idle
	e.idle = nil
	delete(u.idleEndpoints, e)
	u.mu.Unlock()
	for _, c := range idle {
		c.Close() // its reader goroutine ends and counts it off
	}
}

// send carries out an attempt. It returns when the attempt has ended, or soon after ctx has, which gives the
// attempt up and closes its connection.
func (u *connectionPool) do(ctx context.Context, c *upstreamCall) (r upstreamResponse) {
	x := newRoundTrip(c.request.method)
	defer func() { r.connectionIdle = x.connectionIdle }()
	cn, err := u.acquire(ctx, c.endpoint, x)
	if err != nil {
		return upstreamResponse{result: balance.ConnectFailed, err: err}
	}
	// A connection may take long to come up: meanwhile the server may have begun to drain, the request's
	// time or the time in which its key is known may have passed. Nothing was sent yet, so nothing ran.
	now := u.clock.Now()
	if off := math.Float64frombits(c.endpoint.unavailableSince.Load()); now >= c.startBefore || now >= c.deadline ||
		off > 0 && now >= off+0.9*u.drainGrace || !c.claim() {
		u.release(cn, x)
		return upstreamResponse{result: balance.NotSent, err: errors.New("too late to begin")}
	}
	defer context.AfterFunc(ctx, func() { u.abandon(cn, x) })() // also while the write is held up
	cn.SetWriteDeadline(u.clock.Time(c.deadline))
	text := c.request.encode(cn.addr, c.deadline-now)
	x.started.Store(true)
	n, err := cn.Write(text)
	close(x.written)
	if err != nil {
		u.abandon(cn, x)
		if n < len(text) { // the server begins with the last byte
			return upstreamResponse{result: balance.ConnectFailed, err: err}
		}
		return upstreamResponse{result: balance.Reset, err: err}
	}
	select {
	case r := <-x.done:
		return r
	case <-ctx.Done():
		u.abandon(cn, x)
		return upstreamResponse{result: balance.Canceled, err: ctx.Err()}
	}
}

// connect takes the newest idle connection, which is the least likely to be closed by the server, or opens one. It leaves
// those alone on which more of the last answer could still come.
func (u *connectionPool) acquire(ctx context.Context, e *endpoint, x *roundTrip) (*conn, error) {
	u.mu.Lock()
	now, n := time.Now(), len(e.idle)
	for n > 0 && now.Sub(e.idle[n-1].idleSince) < u.quietPeriod {
		n--
	}
	if n > 0 && now.Sub(e.idle[n-1].idleSince) > e.idleLimit(u.idleTimeout) {
		u.mu.Unlock()
		u.closeIdle(e) // the others were idle for longer
		u.mu.Lock()
		n = 0
	}
	if n > 0 {
		c := e.idle[n-1]
		e.idle = slices.Delete(e.idle, n-1, n)
		c.exchange, x.connectionIdle = x, now.Sub(c.idleSince)
		c.SetReadDeadline(time.Time{})
		u.reuses++
		u.mu.Unlock()
		return c, nil
	}
	u.dials++
	addr := e.addr
	var spare *conn
	if u.open >= u.maxConnections { // room is made by the connection that was idle the longest
		for other := range u.idleEndpoints {
			if len(other.idle) > 0 && (spare == nil || other.idle[0].idleSince.Before(spare.idleSince)) {
				spare = other.idle[0]
			}
		}
		if spare == nil {
			u.mu.Unlock()
			return nil, fmt.Errorf("all %d connections are in use", u.maxConnections)
		}
		spare.endpoint.idle = spare.endpoint.idle[1:]
		spare.counted = false // its place is ours
	} else {
		u.open++
	}
	u.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, u.dialTimeout)
	defer cancel()
	nc, err := u.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	left := &limitedReader{Reader: nc}
	c := &conn{Conn: nc, endpoint: e, addr: addr, reader: bufio.NewReaderSize(left, 4<<10), limit: left, exchange: x, counted: true}
	go u.readLoop(c)
	return c, nil
}

// giveUp closes a connection, but only while it carries the exchange: its answer may have just come, and the
// connection may carry another by now.
func (u *connectionPool) abandon(c *conn, x *roundTrip) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.exchange == x {
		c.Close()
	}
}

// park makes a connection idle, if it is of further use.
func (u *connectionPool) release(c *conn, x *roundTrip) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.exchange != x {
		return
	}
	c.exchange = nil
	if c.addr != c.endpoint.addr || c.endpoint.unavailableSince.Load() != 0 {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	c.SetReadDeadline(c.idleSince.Add(c.endpoint.idleLimit(u.idleTimeout)))
	c.endpoint.idle = append(c.endpoint.idle, c)
	u.idleEndpoints[c.endpoint] = struct{}{}
}

// read is a connection's reader goroutine: it takes in answers, and closes the connection when the server does,
// when it has been idle too long or when there are bytes that nobody asked for.
func (u *connectionPool) readLoop(c *conn) {
	for {
		c.limit.remaining = maxResponseSize
		_, err := c.reader.Peek(1)
		u.mu.Lock()
		x := c.exchange
		if x != nil && errors.Is(err, os.ErrDeadlineExceeded) { // it was taken just as its idle time ended
			u.mu.Unlock()
			continue
		}
		if x == nil || err != nil || !x.started.Load() {
			u.remove(c)
			if x != nil && x.connectionIdle > 0 {
				c.endpoint.recordLost(x.connectionIdle)
			}
			u.mu.Unlock()
			c.Close()
			if x != nil {
				x.done <- upstreamResponse{result: balance.Reset, err: fmt.Errorf("connection ended: %w", err)}
			}
			return
		}
		c.endpoint.recordReused(x.connectionIdle)
		u.mu.Unlock()
		r, keep := readResponse(c.reader, x.method, u.reportFields)
		if r.result != balance.Reset && x.answeredEarly() { // the rest would be taken for the next request
			if keep = false; r.result != balance.Rejected { // it cannot be the answer to what was not whole
				r = upstreamResponse{result: balance.Reset, err: errors.New("answered before it was sent")}
			}
		}
		if keep && c.reader.Buffered() == 0 {
			u.release(c, x)
			x.done <- r
			continue
		}
		u.mu.Lock()
		u.remove(c)
		u.mu.Unlock()
		c.Close()
		x.done <- r
		return
	}
}

// forget counts a connection off. The caller holds mu.
func (u *connectionPool) remove(c *conn) {
	if i := slices.Index(c.endpoint.idle, c); i >= 0 {
		c.endpoint.idle = slices.Delete(c.endpoint.idle, i, i+1)
	}
	if len(c.endpoint.idle) == 0 {
		delete(u.idleEndpoints, c.endpoint)
	}
	if c.counted {
		u.open--
	}
}

// readReply reads one answer and says whether the connection can be used again. Only a whole 200 is served;
// only a server's word proves that nothing ran.
func readResponse(in *bufio.Reader, method string, fields []string) (r upstreamResponse, keep bool) {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	for err == nil && resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
		resp, err = http.ReadResponse(in, &http.Request{Method: method})
	}
	if err != nil {
		return upstreamResponse{result: balance.Reset, err: err}, false
	}
	whole := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	resp.Body.Close()
	if err != nil {
		return upstreamResponse{result: balance.Reset, err: err}, false
	}
	r = upstreamResponse{result: balance.ServerError, loadReport: parseLoadReport(resp.Header.Get(loadHeader), fields)}
	keep = whole && !resp.Close && len(body) <= maxBody
	switch {
	case !whole:
		r.result, r.err = balance.Reset, errors.New("an answer of unknown length")
	case len(body) > maxBody:
		r.err = errors.New("an answer over 64 KiB")
	case resp.StatusCode == http.StatusOK:
		r.result, r.body, r.header = balance.OK, body, resp.Header
	case (resp.StatusCode == 503 || resp.StatusCode == 504) && resp.Header.Get("X-Never-Ran") == "1":
		r.result, r.err = balance.Rejected, errors.New(resp.Status)
	default:
		r.err = errors.New(resp.Status)
	}
	return r, keep
}

// probe asks a server how it is.
func (u *connectionPool) healthCheck(ctx context.Context, e *endpoint, path string) upstreamResponse {
	ctx, cancel := context.WithTimeout(ctx, fromMillis(healthCheckTimeout))
	defer cancel()
	r := u.do(ctx, &upstreamCall{
		endpoint: e, request: upstreamRequest{method: http.MethodGet, target: path},
		deadline: u.clock.Now() + healthCheckTimeout, startBefore: math.Inf(1),
	})
	if r.result == balance.OK && len(r.loadReport) == 0 {
		r.loadReport = parseLoadReport(string(r.body), u.reportFields)
	}
	return r
}

// parseReport reads "TEXT name=value, name=value"; the values come in the order of fields, NaN where one is missing.
// What is not named there is skipped.
func parseLoadReport(text string, fields []string) []float32 {
	var report []float32
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		name, value, _ := strings.Cut(word, "=")
		i := slices.Index(fields, name)
		v, err := strconv.ParseFloat(value, 32)
		if i < 0 || err != nil {
			continue
		}
		for len(report) < len(fields) {
			report = append(report, float32(math.NaN()))
		}
		report[i] = float32(v)
	}
	return report
}

// encode writes the message as HTTP/1.1, all at once.
func (m *upstreamRequest) encode(host string, left float64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Expires-In: %du\r\n", m.method, m.target, host, int64(left*1000))
	for _, h := range m.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if len(m.body) > 0 || m.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}
