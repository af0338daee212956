package downstream

import (
	"errors"
	"io"
	"net/http"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/sidecar"
)

const (
	// The following limit the messages of a connection that are answered without an endpoint: a burst at once, then one
	// in each interval. Further ones wait unread, so that a client that sends without pause takes no time from others.
	refusalInterval = 20 * time.Millisecond
	refusalBurst    = 20
	healthInterval  = 100 * time.Millisecond
	healthBurst     = 4
	// continueResponse asks a client for the body that it holds back.
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
	continueTimeout  = 100 * time.Millisecond
)

// work is one message of a client that is to be answered.
type work struct {
	head    *requestHead
	headAt  time.Time // when the head was complete
	kind    workKind
	request sidecar.Request     // if kind is forwardRequest
	memory  *budget.Reservation // holds the memory of the request's body
	err     *RequestError       // if kind is rejectMessage
}

// workKind says how a message is answered.
type workKind int

const (
	forwardRequest workKind = iota // by the event loop
	checkHealth                    // with the sidecar's health
	rejectMessage                  // with an error, after which the connection ends
)

// process processes all messages that are complete. A request is answered in a goroutine of its own, which goes on with
// the messages after it. The caller holds mu, which process releases while it answers.
func (c *conn) process() {
	c.processing = true
	w := c.nextWork()
	for w != nil && w.kind != forwardRequest {
		c.mu.Unlock()
		c.answer(w)
		c.mu.Lock()
		w = c.nextWork()
	}
	if w == nil {
		c.finishProcessing()
		return
	}
	c.inFlight = true
	go c.serveRequests(w)
}

// serveRequests answers a request and the messages that have arrived after it.
func (c *conn) serveRequests(w *work) {
	for w != nil {
		c.answer(w)
		c.mu.Lock()
		if w = c.nextWork(); w == nil {
			c.finishProcessing()
		}
		c.inFlight = w != nil && w.kind == forwardRequest
		c.continued.Broadcast()
		c.mu.Unlock()
	}
}

// finishProcessing takes note that the client has to send more before anything can be done. The caller holds mu.
func (c *conn) finishProcessing() {
	c.processing, c.inFlight = false, false
	c.idleAt = time.Now()
	if c.gone || c.ending {
		return
	}
	switch unfinished := !c.parser.empty() || c.pending != nil; {
	case !unfinished:
		c.dropBuffer()
	case drainMode(c.server.drainMode.Load()) == drainUnfinished:
		c.reject(errShutdown)
	default:
		c.headAt = c.idleAt // what was read ahead waited for this moment
		c.unfinishedSince.CompareAndSwap(0, c.idleAt.UnixNano())
	}
	c.SetReadDeadline(c.readDeadline())
}

// nextWork returns the next message that can be answered, or nil if there is none. The caller holds mu.
func (c *conn) nextWork() *work {
	switch {
	case c.gone || c.ending:
		return nil
	case c.rejection != nil:
		err := &RequestError{Status: http.StatusBadRequest, Err: c.rejection}
		if !errors.Is(c.rejection, errTimeout) {
			err.Status = http.StatusServiceUnavailable
		}
		return &work{kind: rejectMessage, err: err}
	}
	started := time.Now()
	defer func() { c.server.stats.parse.add(time.Since(started)) }()
	if c.pending == nil {
		if w := c.parseHead(started); w != nil || c.pending == nil {
			return w
		}
	}
	return c.parseBody()
}

// parseHead parses the next head. It returns what can be answered at once, and otherwise sets c.pending if the head has
// arrived whole. The caller holds mu.
func (c *conn) parseHead(now time.Time) *work {
	head, err := c.parser.readHead()
	if err != nil {
		return &work{kind: rejectMessage, err: err}
	}
	if head == nil {
		return nil
	}
	w := &work{head: head, headAt: now}
	if isHealthCheck(head) {
		w.kind = checkHealth
		return w
	}
	if w.request, err = c.server.parseRequest(head); err != nil {
		w.kind, w.err = rejectMessage, err
		return w
	}
	c.pending, c.bodyAt = w, now
	if head.expectsContinue() && c.parser.empty() {
		c.SetWriteDeadline(now.Add(continueTimeout))
		io.WriteString(c, continueResponse)
	}
	return nil
}

// parseBody returns the pending request if its body has arrived whole. The caller holds mu.
func (c *conn) parseBody() *work {
	body, complete, err := c.parser.readBody()
	w := c.pending
	if err != nil {
		w.kind, w.err = rejectMessage, err
		return w
	}
	if !complete {
		return nil
	}
	c.pending, c.memoryWait = nil, memoryWait{}
	c.unfinishedSince.Store(0)
	w.request.Forwarded.Body = body
	w.request.ArrivedAt = c.server.loop.Clock().At(c.arrivals.take(len(c.parser.buffer)))
	w.memory = c.takeMemory(body)
	return w
}

// takeMemory moves the memory of a body, which was the parser's buffer, to its request. The caller holds mu.
func (c *conn) takeMemory(body []byte) *budget.Reservation {
	if body == nil {
		return nil
	}
	rest := int64(cap(c.parser.buffer))
	held := c.reserved.Swap(rest) - rest
	return c.server.memory.Move(c.part, budget.Requests, held)
}

// answer answers a message.
func (c *conn) answer(w *work) {
	switch w.kind {
	case forwardRequest:
		c.serveRequest(w)
	case checkHealth:
		c.server.stats.healthChecks.Add(1)
		r := healthResponse(c.server.healthy())
		r.close = w.head.hasBody() || drainMode(c.server.drainMode.Load()) >= drainAll
		c.respond(w, r)
		c.pause(c.healthChecks.Take(time.Now()))
	case rejectMessage:
		c.rejectMessage(w)
	}
}

// rejectMessage answers a message that is no request, or does not arrive whole, and ends the connection. While there
// are many such messages, the answer may wait, since the clients often connect anew at once.
func (c *conn) rejectMessage(w *work) {
	c.mu.Lock()
	c.dropBuffer()
	c.mu.Unlock()
	c.server.stats.countRejection(w.err)
	h := newHeldResponse(c, w)
	if !c.server.hold(h) {
		return
	}
	if h.isHastened() && h.unread > 0 {
		c.respondAndClose(w, h.response, h.unread)
		return
	}
	c.respond(w, h.response)
}

// pause lets the connection rest. It ends early when the client disconnects.
func (c *conn) pause(wait time.Duration) {
	if wait <= 0 {
		return
	}
	c.server.stats.pauses.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
