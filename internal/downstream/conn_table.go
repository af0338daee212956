package downstream

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// connTable holds the open connections, which are limited because connections to endpoints and to discovery need file
// descriptors too. No method may be called with a lock of a connection held, except remove.
type connTable struct {
	limit int

	mu   sync.Mutex
	open map[*conn]struct{}
	// leaving holds those of the open connections that have given up their slots, and what to call once they are closed.
	leaving map[*conn]func()
	waits   []chan struct{} // to close when no connection is open
}

func newConnTable(limit int) *connTable {
	return &connTable{limit: limit, open: map[*conn]struct{}{}, leaving: map[*conn]func(){}}
}

// add adds a connection and reports whether there was a slot for it.
func (t *connTable) add(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.open)-len(t.leaving) >= t.limit {
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
	if closed := t.leaving[c]; closed != nil {
		delete(t.leaving, c)
		closed()
	}
	if len(t.open) > 0 {
		return
	}
	for _, empty := range t.waits {
		close(empty)
	}
	t.waits = nil
}

// giveUpSlot frees the slot of a connection that is soon closed, or is closed already. It calls closed then, with the table
// locked.
func (t *connTable) giveUpSlot(c *conn, closed func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, isOpen := t.open[c]; !isOpen {
		closed()
		return
	}
	t.leaving[c] = closed
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
