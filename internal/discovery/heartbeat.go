package discovery

import (
	"bytes"
	"io"
)

// heartbeatReader reads the body of a watch. It calls onHeartbeat for data between messages (an empty line every 2 s)
// and at the end of each message, which may have many lines. A part of a message does not count as a heartbeat, because
// the message may never be completed.
type heartbeatReader struct {
	source      io.Reader
	onHeartbeat func()
	inMessage   bool // a part of the present message has been read
	remaining   int  // bytes that may still be read before the end of the present message
}

// Read reads from the present message or from the heartbeats before the message. It returns ErrTooLarge for a message
// that exceeds maxMessageSize.
func (r *heartbeatReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, ErrTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.inMessage = r.inMessage || !isBlank(p[:n])
	if !r.inMessage && n > 0 {
		r.awaitMessage(nil)
	}
	return n, err
}

// awaitMessage prepares for the next message and calls onHeartbeat. buffered holds what was already read after the end
// of the previous message; nil means nothing.
func (r *heartbeatReader) awaitMessage(buffered io.Reader) {
	r.inMessage, r.remaining = false, maxMessageSize
	if buffered != nil {
		prefix, _ := io.ReadAll(buffered) // reading from a buffer cannot fail
		r.inMessage = !isBlank(prefix)
	}
	r.onHeartbeat()
}

// isBlank reports whether p holds nothing but white space.
func isBlank(p []byte) bool { return len(bytes.TrimSpace(p)) == 0 }
