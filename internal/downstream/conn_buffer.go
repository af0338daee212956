package downstream

import (
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/sockopt"
)

const (
	// fairReadAhead is how many bytes of read-ahead a connection may keep when memory is short. A client that has sent
	// more then counts as disconnected.
	fairReadAhead = 16 << 10
	// smallMessage is the size in bytes up to which a message that has not arrived whole counts as small. The whole memory
	// of a larger one is reserved at once, so that no two wait for the rest of each other's.
	smallMessage = 4 << 10
	// stallTimeout is how long a client may send nothing of its message before it gives way to others that need memory.
	stallTimeout = 10 * time.Millisecond
)

// store copies what was read to the parser's buffer, which grows for it. If there is no memory, the message is rejected;
// read-ahead without memory ends the connection, as a disconnect could not be noticed any more. It reports whether the
// bytes were stored. The caller holds mu, which store releases for a while.
func (c *conn) store(p []byte) bool {
	size := c.bufferSizeFor(len(p))
	for int64(size) > c.reserved.Load() {
		if !c.grow(int64(size)) {
			c.handleNoMemory(len(p))
			return false
		}
		if c.gone || c.ending || c.rejection != nil {
			c.dropBuffer()
			return false
		}
		size = c.bufferSizeFor(len(p))
	}
	c.parser.store(p, size)
	return true
}

// bufferSizeFor returns the size in bytes that the parser's buffer needs for n more bytes. A buffer for a large message
// has room for all of it. The caller holds mu.
func (c *conn) bufferSizeFor(n int) int {
	size := c.parser.sizeFor(n)
	switch {
	case c.processing:
		return size
	case c.pending != nil && c.parser.bodySize() > smallMessage:
		return max(size, c.parser.bodySize())
	case size > smallMessage:
		return max(size, maxHeadSize)
	default:
		return size
	}
}

// grow reserves memory for a buffer of the given size. A message that becomes large moves to another part of the budget and
// may wait for memory there. It reports whether the memory is reserved. The caller holds mu, which grow releases for a
// while.
func (c *conn) grow(size int64) bool {
	part, mayWait := budget.Unfinished, !c.processing
	if size > smallMessage {
		part = budget.LargeUnfinished
	}
	held, longest := c.reserved.Load(), c.longestMemoryWait()
	more := size
	if part == c.part {
		more -= held
	}
	c.mu.Unlock()
	var reserved bool
	began := time.Now()
	if mayWait {
		reserved = c.server.awaitMemory(c, part, more, longest) == nil
	} else {
		reserved = c.server.reserve(c, part, more)
	}
	c.mu.Lock()
	if mayWait {
		c.memoryWait.add(began)
	}
	if !reserved {
		return false
	}
	if c.reserved.Load() != held { // dropped meanwhile
		c.server.memory.Release(part, more)
		return true
	}
	if part != c.part {
		c.server.memory.Release(c.part, held)
	}
	c.part = part
	c.reserved.Store(size)
	if mayWait {
		c.bodyAt = time.Now() // the client could not send while it waited for memory
	}
	return true
}

// handleNoMemory rejects the message that arrives, or ends the connection of a client whose request is in flight. The given
// number of bytes were read and not stored. The caller holds mu.
func (c *conn) handleNoMemory(notStored int) {
	if c.inFlight {
		c.disconnect()
		return
	}
	c.reject(c.noMemory(false, notStored))
}

// noMemory returns the error for the message that arrives. The given number of bytes were read and not stored. The caller
// holds mu.
func (c *conn) noMemory(stalled bool, notStored int) error {
	err := &noMemoryError{stalled: stalled}
	if c.pending != nil {
		err.answerBy = c.pending.headAt.Add(halfTimeout(&c.pending.request))
		err.unread = max(0, int64(c.pending.head.contentLength-len(c.parser.buffer)-notStored))
	}
	return err
}

// evictIfStalled rejects a message that has not arrived whole if its client has sent nothing more of it for stallTimeout,
// and releases its memory. It reports whether it has.
func (c *conn) evictIfStalled(now time.Time) bool {
	readingSince := c.readingSince.Load()
	if readingSince == 0 || now.UnixNano()-readingSince < int64(stallTimeout) || sockopt.HasUnread(c.Conn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processing || c.gone || c.ending || c.rejection != nil || c.reserved.Load() == 0 {
		return false
	}
	c.reject(c.noMemory(true, 0))
	c.SetReadDeadline(pastDeadline)
	return true
}

// evictReadAhead ends the connection if its client has sent much ahead of a response. It reports whether it has.
func (c *conn) evictReadAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inFlight || c.gone || c.reserved.Load() <= fairReadAhead {
		return false
	}
	c.disconnect()
	return true
}

// dropBuffer releases what has arrived and was not processed. The caller holds mu.
func (c *conn) dropBuffer() {
	c.parser.drop()
	c.pending, c.arrivals, c.memoryWait = nil, arrivals{}, memoryWait{}
	c.unfinishedSince.Store(0)
	c.server.memory.Release(c.part, c.reserved.Swap(0))
	c.part = budget.Unfinished
}
