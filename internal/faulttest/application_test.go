package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// lostAfter is how long after its deadline a request without a final answer counts as lost.
const lostAfter = 500 * time.Millisecond

// connectAfterShutdown is how long after SIGTERM clients open new connections, by the protocol.
const connectAfterShutdown = 400 * time.Millisecond

var errNoNewConnections = errors.New("the process was told to end, and no connection is open")

// application is a proper client: it sends one request at a time on a connection and waits for the answer.
type application struct {
	addr     string
	process  observedProcess
	rate     int // requests per second
	bodySize int // bytes in the body of a request that has one
	random   *rand.Rand
	endingAt atomic.Pointer[time.Time] // when the process was told to end; nil before

	mu      sync.Mutex
	idle    []*clientConn
	results results
}

// observedProcess is the process that an application sends its requests to, as the rig sees it.
type observedProcess interface {
	// stalled returns for how long of a span of time the rig or the machine held the process up.
	stalled(span) time.Duration
	// interrupted reports whether the rig had killed the process for a part of a span of time.
	interrupted(span) bool
}

// results counts the requests of an application by their outcome.
type results struct {
	sent, served, refused, failed int
	late                          int // answered after the deadline with its slack, or never
	lost                          int // without a final answer half a second after the deadline
	unreached                     int // not sent, because the process accepts no connections any more
	interrupted                   int // sent while the rig had killed the process
	worst                         time.Duration
	stalled                       time.Duration // the longest time that the rig held the process up during a request
	lateExamples                  []string
}

// clientConn is a connection of the application.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
}

var traceIDs atomic.Uint64

// newTraceID returns a trace ID that no other request of this process has.
func newTraceID() string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+traceIDs.Add(1)) }

// run sends requests for the given time and returns the results.
func (a *application) run(duration time.Duration) results {
	var requests sync.WaitGroup
	interval := time.Second / time.Duration(a.rate)
	start := time.Now()
	for i := 0; time.Duration(i)*interval < duration; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		timeout := 500*time.Millisecond + time.Duration(a.random.IntN(1500))*time.Millisecond
		if i%3 == 0 {
			timeout = 90*time.Millisecond + time.Duration(a.random.IntN(200))*time.Millisecond
		}
		request := a.request(i, newTraceID(), timeout)
		requests.Go(func() { a.send(request, timeout) })
	}
	requests.Wait()
	for _, c := range a.idle {
		c.Close()
	}
	return a.results
}

// request returns a request of the class whose turn it is.
func (a *application) request(i int, traceID string, timeout time.Duration) string {
	fields := fmt.Sprintf("Host: app.svc\r\nX-Trace-Id: %s\r\nX-Customer: acme\r\nX-Expires-In: %dm\r\n",
		traceID, timeout.Milliseconds())
	body := string(make([]byte, a.bodySize))
	switch i % 3 {
	case 0:
		return "GET /look?sid=7f3a9c21 HTTP/1.1\r\nX-Qos: look\r\n" + fields + "\r\n"
	case 1:
		return fmt.Sprintf("POST /book HTTP/1.1\r\nX-Qos: book\r\nIdempotency-Key: k%s\r\n%sContent-Length: %d\r\n\r\n%s",
			traceID, fields, len(body), body)
	default:
		return fmt.Sprintf("POST /once HTTP/1.1\r\nX-Qos: once\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	}
}

// send sends one request and counts its outcome. If a reused connection ends without an answer, the request is sent
// once more on a new connection, because the sidecar may close a connection between two requests.
func (a *application) send(request string, timeout time.Duration) {
	start := time.Now()
	status, reused, err := a.roundTrip(request, start.Add(timeout+lostAfter), true)
	if err != nil && reused {
		status, _, err = a.roundTrip(request, start.Add(timeout+lostAfter), false)
	}
	now := time.Now()
	taken := span{from: start, to: now}
	stalled := a.process.stalled(taken)
	elapsed := now.Sub(start) - stalled
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.results
	r.sent++
	r.stalled = max(r.stalled, stalled)
	switch {
	case status != http.StatusOK && a.process.interrupted(taken):
		r.interrupted++
		return
	case errors.Is(err, errNoNewConnections):
		r.unreached++
		return
	case err != nil:
		r.lost++
	case status == http.StatusOK:
		r.served++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.refused++
	default:
		r.failed++
	}
	if err != nil || elapsed > timeout+answerSlack {
		r.late++
		r.worst = max(r.worst, elapsed-timeout)
		r.lateExamples = append(r.lateExamples, fmt.Sprintf("timeout %v answered after %v, status %d, error %v",
			timeout, elapsed, status, err))
	}
}

// roundTrip sends a request and returns the status of its answer.
func (a *application) roundTrip(request string, deadline time.Time, reuse bool) (status int, reused bool, err error) {
	c, err := a.connection(reuse)
	if err != nil {
		return 0, false, err
	}
	c.SetDeadline(deadline)
	go io.WriteString(c, request)
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.Close {
		c.Close()
		if err != nil {
			return 0, c.reused, err
		}
		return resp.StatusCode, c.reused, nil
	}
	c.reused = true
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = append(a.idle, c)
	return resp.StatusCode, c.reused, nil
}

// connection returns an idle connection if there is one and reuse allows it, or a new one.
func (a *application) connection(reuse bool) (*clientConn, error) {
	a.mu.Lock()
	if n := len(a.idle); n > 0 && reuse {
		c := a.idle[n-1]
		a.idle = a.idle[:n-1]
		a.mu.Unlock()
		return c, nil
	}
	a.mu.Unlock()
	if endingAt := a.endingAt.Load(); endingAt != nil && time.Since(*endingAt) > connectAfterShutdown {
		return nil, errNoNewConnections
	}
	c, err := net.Dial("tcp", a.addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// check checks that every request got its final answer and that 99 in 100 got it in time.
func (r results) check(t *testing.T) {
	t.Helper()
	t.Logf("sent %d: served %d, refused %d, failed %d, lost %d, unreached %d, interrupted %d; late %d, by up to %v; "+
		"held up for up to %v",
		r.sent, r.served, r.refused, r.failed, r.lost, r.unreached, r.interrupted, r.late, r.worst, r.stalled)
	if r.lost > 0 {
		t.Errorf("%d requests were lost, want none; %v", r.lost, r.lateExamples[:min(len(r.lateExamples), 5)])
	}
	if r.late*100 > r.sent {
		t.Errorf("%d of %d requests got no answer in time, want at most 1 in 100; %v",
			r.late, r.sent, r.lateExamples[:min(len(r.lateExamples), 5)])
	}
}

// checkServed checks that 95 in 100 requests were served.
func (r results) checkServed(t *testing.T) {
	t.Helper()
	if expected := r.sent - r.interrupted; r.served*100 < expected*95 {
		t.Errorf("%d of %d requests were served, want 95 in 100", r.served, expected)
	}
}
