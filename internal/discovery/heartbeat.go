package discovery

import (
	"bytes"
	"io"
)

// heartbeatReader is the body of a watch. What comes between messages, an empty line every 2 s, shows that the watch is
// alive; so does the end of a message, which may take many lines, but not a part of one: it may never be whole.
type heartbeatReader struct {
	source      io.Reader
	onHeartbeat func()
	inMessage   bool // a message has begun
	remaining   int  // bytes that may still come of it
}

// Read reads on in the present message, or in the heartbeats before the next one.
func (r *heartbeatReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, ErrTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.inMessage = r.inMessage || !blank(p[:n])
	if !r.inMessage && n > 0 {
		r.awaitMessage(nil)
	}
	return n, err
}

// awaitMessage begins a new message, of which a part may have been read into a buffer.
func (r *heartbeatReader) awaitMessage(buffered io.Reader) {
	r.inMessage, r.remaining = false, maxMessageSize
	if buffered != nil {
		begun, _ := io.ReadAll(buffered) // of a buffer: it cannot fail
		r.inMessage = !blank(begun)
	}
	r.onHeartbeat()
}

func blank(p []byte) bool { return len(bytes.TrimSpace(p)) == 0 }
