package downstream

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// connTable holds the open connections, which are limited because connections to endpoints and to discovery need file
// descriptors too. No method may be called with a lock of a connection held, except remove and removeHeld.
type connTable struct {
	limit int

	mu    sync.Mutex
	open  map[*conn]struct{}
	held  []*conn         // those that wait with the response to a message that is no request, the longest first
	waits []chan struct{} // to close when no connection is open
}

func newConnTable(limit int) *connTable { return &connTable{limit: limit, open: map[*conn]struct{}{}} }

// add adds a connection and reports whether there was a slot for it.
func (t *connTable) add(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open) >= t.limit {
		return false
	}
	t.open[c] = struct{}{}
	return true
}

// remove removes a connection.
func (t *connTable) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	if len(t.open) > 0 {
		return
	}
	for _, empty := range t.waits {
		close(empty)
	}
	t.waits = nil
}

// empty returns a channel that is closed once no connection is open.
func (t *connTable) empty() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	empty := make(chan struct{})
	if len(t.open) == 0 {
		close(empty)
	} else {
		t.waits = append(t.waits, empty)
	}
	return empty
}

// size returns the number of open connections.
func (t *connTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// all returns the open connections.
func (t *connTable) all() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*conn, 0, len(t.open))
	for c := range t.open {
		conns = append(conns, c)
	}
	return conns
}

// evictStalled rejects the message that has not arrived whole for the longest time, among those whose clients send nothing
// more of them. It reports whether there was one.
func (t *connTable) evictStalled() bool {
	now := time.Now()
	for _, c := range t.unfinished() {
		if c.evictIfStalled(now) {
			return true
		}
	}
	return false
}

// evictReadAhead disconnects the client that has sent the most ahead of a response, if that is much. It reports whether
// there was one.
func (t *connTable) evictReadAhead() bool {
	conns := t.all()
	slices.SortFunc(conns, func(a, b *conn) int { return cmp.Compare(b.reserved.Load(), a.reserved.Load()) })
	for _, c := range conns {
		if c.reserved.Load() <= fairReadAhead {
			return false
		}
		if c.evictReadAhead() {
			return true
		}
	}
	return false
}

// unfinished returns the connections with a message that has not arrived whole, the longest first.
func (t *connTable) unfinished() []*conn {
	var conns []*conn
	for _, c := range t.all() {
		if c.unfinishedSince.Load() != 0 {
			conns = append(conns, c)
		}
	}
	slices.SortFunc(conns, func(a, b *conn) int {
		return cmp.Compare(a.unfinishedSince.Load(), b.unfinishedSince.Load())
	})
	return conns
}

// addHeld takes note that a connection waits with its response.
func (t *connTable) addHeld(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = append(t.held, c)
}

// removeHeld takes note that a connection waits no longer.
func (t *connTable) removeHeld(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.held, c); i >= 0 {
		t.held = slices.Delete(t.held, i, i+1)
	}
}

// cutHeld closes the connection that has waited with its response for the longest time. It reports whether there was
// one.
func (t *connTable) cutHeld() bool {
	t.mu.Lock()
	if len(t.held) == 0 {
		t.mu.Unlock()
		return false
	}
	c := t.held[0]
	t.held = t.held[1:]
	t.mu.Unlock()
	close(c.cut)
	c.close()
	return true
}
