package downstream

import (
	"io"
	"net"
	"net/http"
	"time"

	"pebblelift/internal/sidecar"
	"pebblelift/internal/upstream"
)

const (
	// lingerTimeout and maxLingerBytes limit what is read after the last response on a connection. A close over unread
	// bytes would reset the connection, perhaps before the client has read the response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = upstream.MaxBodySize + maxHeadSize
	// maxCountedWork limits how much of the time for one read or write counts as work. The rest is a wait.
	maxCountedWork = time.Millisecond
)

// respond writes the response to a message. The connection ends after it if the response or the client says so, or if
// the server drains and nothing else of the client has been read, or its shutdown comes to an end.
func (c *conn) respond(w *work, r response) {
	c.mu.Lock()
	mode := drainMode(c.server.drainMode.Load())
	drains := mode == drainUnfinished || mode != drainNone && c.parser.empty()
	r.close = r.close || drains || w.head != nil && w.head.wantsClose()
	c.reused = true
	c.inFlight = false // from now on, what the client sends waits unread
	c.ending = r.close
	c.mu.Unlock()
	if err := c.writeResponse(w, r, c.server.timeouts.write); err != nil {
		c.close()
		return
	}
	if r.close {
		c.linger()
		c.close()
	}
}

// respondAndClose writes the response to a message of which the given number of bytes were not read, reads them and closes
// the connection.
func (c *conn) respondAndClose(w *work, r response, unread int64) {
	if c.writeResponse(w, r, c.server.timeouts.write) == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, onlyReader{c.Conn}, unread)
	}
	c.close()
}

// writeResponse writes the response to a message within the given time, and counts it.
func (c *conn) writeResponse(w *work, r response, timeout time.Duration) error {
	r.omitBody = w.head != nil && w.head.method == http.MethodHead
	started := time.Now()
	c.SetWriteDeadline(started.Add(timeout))
	size := len(r.body)
	err := r.write(c)
	c.addUse(func(use *sidecar.ClientUse) {
		use.Messages++
		if r.status != http.StatusOK {
			use.Unserved++
		}
		use.SentBytes += int64(size)
		use.Work += min(time.Since(started), maxCountedWork)
	})
	return err
}

// awaitMore waits until the client sends something or the given moment has come. It returns how many bytes were read. Only
// the reader may call it, and only once nothing that arrives is processed any more.
func (c *conn) awaitMore(end time.Time) (received int) {
	c.SetReadDeadline(end)
	received, _ = c.Read(c.readAhead[:])
	return received
}

// linger ends the sending direction and waits until the client has read the response and closed the connection.
func (c *conn) linger() {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	t.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	n, _ := io.CopyN(io.Discard, onlyReader{t}, maxLingerBytes)
	if n == maxLingerBytes {
		c.pause(lingerTimeout)
	}
}

// onlyReader hides the other methods of a connection, so that io.CopyN uses one small buffer.
type onlyReader struct{ io.Reader }
