package downstream

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/internal/sockopt"
)

const (
	// rejectionInterval and rejectionBurst limit the responses to messages that are not served, on all connections
	// together: so many at once, then one in each interval. Further ones wait for up to maxHold, because their clients
	// often connect anew as soon as they are answered.
	rejectionInterval = 5 * time.Millisecond
	rejectionBurst    = 100
	// maxHold is how long the response to a message that is not served waits at most.
	maxHold = 500 * time.Millisecond
	// cutWriteTimeout limits the write of a response whose connection gives up its slot. The accept loop waits for it; the
	// system has room for the response unless the client leaves earlier ones unread.
	cutWriteTimeout = time.Millisecond
)

// holdPolicy says how the response to a message that is not served waits while there are many such messages.
type holdPolicy int

const (
	answerAtOnce     holdPolicy = iota // it does not wait
	holdInvalid                        // its client is owed an error or a close, whatever it sends
	holdWhileStalled                   // its client has sent only a part of its message; once it goes on, as holdWaiting
	holdWaiting                        // its client may have sent a whole request and waits for the answer
)

// heldResponse is the response to a message that is not served, with which a connection waits.
type heldResponse struct {
	conn     *conn
	work     *work
	response response
	policy   holdPolicy
	longest  time.Duration // 0 or less: it does not wait
	answerBy time.Time     // until when a client that waits has to be answered; the zero time if that is not known
	unread   int64         // bytes of the message that the client has sent or will send; 0 if that is not known
	goesOn   atomic.Bool   // whether a client goes on that had stalled
	due      chan struct{} // closed when the response has to be written at once
	isCut    bool          // whether the response was written and the connection closed; guarded by heldResponses.mu
}

// newHeldResponse returns the response that rejects a message.
func newHeldResponse(c *conn, w *work) *heldResponse {
	h := &heldResponse{conn: c, work: w, response: errorResponse(w.err.Status, w.err), due: make(chan struct{})}
	h.response.close = true
	var noMemory *noMemoryError
	if errors.As(w.err, &noMemory) {
		h.answerBy, h.unread = noMemory.answerBy, noMemory.unread
	}
	switch {
	case noMemory != nil && !noMemory.stalled:
		h.policy, h.longest = holdWaiting, min(maxHold, time.Until(h.answerBy))
	case noMemory != nil, errors.Is(w.err, errTimeout):
		h.policy, h.longest = holdWhileStalled, maxHold
	case w.err.Status != http.StatusServiceUnavailable:
		h.policy, h.longest = holdInvalid, maxHold
	}
	return h
}

// wait waits for the given time, or until the response is due or the connection ends.
func (h *heldResponse) wait(longest time.Duration) {
	h.conn.server.stats.pauses.Add(1)
	if h.policy == holdWhileStalled {
		end := time.Now().Add(longest)
		received := h.conn.awaitMore(end)
		if received == 0 {
			return
		}
		h.unread = max(0, h.unread-int64(received))
		h.goesOn.Store(true)
		longest = min(time.Until(end), time.Until(h.answerBy))
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.due:
	case <-h.conn.ctx.Done():
	}
}

// mayCut reports whether the connection may be closed once its response is written, because its client can't have sent a
// whole request.
func (h *heldResponse) mayCut() bool {
	switch h.policy {
	case holdInvalid:
		return true
	case holdWhileStalled:
		return !h.goesOn.Load() && !sockopt.HasUnread(h.conn.Conn)
	default:
		return false
	}
}

// mayHasten reports whether a client waits for the response.
func (h *heldResponse) mayHasten() bool { return h.policy == holdWaiting || h.goesOn.Load() }

// isHastened reports whether the response had to be written before its time.
func (h *heldResponse) isHastened() bool {
	select {
	case <-h.due:
		return true
	default:
		return false
	}
}

// heldResponses holds the responses that wait, the longest first. Its methods may be called from any goroutine.
type heldResponses struct {
	mu      sync.Mutex
	waiting []*heldResponse
}

// add adds a response that waits.
func (q *heldResponses) add(h *heldResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, h)
}

// remove removes a response that waits no longer, and reports whether it still has to be written.
func (q *heldResponses) remove(h *heldResponse) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, h); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return !h.isCut
}

// takeToCut removes the longest waiting response whose connection may be closed. The caller writes it. It returns nil if
// there is none.
func (q *heldResponses) takeToCut() *heldResponse {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.removeFirst((*heldResponse).mayCut)
	if h != nil {
		h.isCut = true
	}
	return h
}

// takeToHasten removes the longest waiting response for which a client waits. It returns nil if there is none.
func (q *heldResponses) takeToHasten() *heldResponse {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.removeFirst((*heldResponse).mayHasten)
}

// removeFirst removes the first response for which matches returns true, and returns it. The caller holds mu.
func (q *heldResponses) removeFirst(matches func(*heldResponse) bool) *heldResponse {
	i := slices.IndexFunc(q.waiting, matches)
	if i < 0 {
		return nil
	}
	h := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return h
}

// hold lets a connection wait with the response to a message that is not served while there are many such messages. It
// reports false if the connection was answered and closed meanwhile.
func (s *Server) hold(h *heldResponse) bool {
	if h.longest <= 0 {
		return true
	}
	wait := s.rejectionRate.TakeWithin(time.Now(), h.longest)
	if wait <= 0 {
		return true
	}
	s.held.add(h)
	h.wait(wait)
	return s.held.remove(h)
}

// cutHeld writes the response that has waited the longest among those whose connections may be closed, and closes its
// connection, whose slot and memory are free then. It reports whether there was one.
func (s *Server) cutHeld() bool {
	h := s.held.takeToCut()
	if h == nil {
		return false
	}
	s.stats.cut.Add(1)
	h.conn.writeResponse(h.work, h.response, cutWriteTimeout)
	h.conn.close()
	return true
}

// hastenHeld lets the response be written at once that has waited the longest among those for which clients wait. Its
// connection gives its slot up, and counts as one that is being rejected until its client has the response. It reports
// whether there was one, and room among those that are being rejected.
func (s *Server) hastenHeld() bool {
	select {
	case s.rejections <- struct{}{}:
	default:
		return false
	}
	h := s.held.takeToHasten()
	if h == nil {
		<-s.rejections
		return false
	}
	s.table.giveUpSlot(h.conn, func() { <-s.rejections })
	s.stats.cut.Add(1)
	close(h.due)
	return true
}
