package downstream

import (
	"bytes"
	"slices"
	"strconv"
)

// maxChunkLineSize is the largest size in bytes of a line of the chunked coding, with its line break. net/http accepts
// no longer ones.
const maxChunkLineSize = 4 << 10

// framerState says what a messageFramer expects next.
type framerState int

const (
	expectHead      framerState = iota // the head of a message, or more of it
	expectBody                         // more of a body whose length the head states
	expectChunkSize                    // the line before a chunk
	expectChunkData                    // more of a chunk
	expectChunkEnd                     // the line break after a chunk
	expectTrailer                      // a trailer field, or the empty line that ends a chunked message
	framingLost                        // unknown: where the present message ends is ambiguous
)

// messageFramer follows where the messages of a client begin and end. It sees all bytes of a connection in their order,
// before net/http does, and so knows each message's head as the client sent it, also if many messages arrive at once.
//
// Where net/http or the client could disagree with the framer about the end of a message, the framing is lost: nothing
// that follows on the connection counts as a request.
type messageFramer struct {
	state     framerState
	partial   []byte        // what was read of the present head or line
	remaining uint64        // bytes left of the present body or chunk
	heads     []messageHead // complete heads that takeHead has not returned yet
}

// follow takes note of the next bytes on the connection.
func (f *messageFramer) follow(p []byte) {
	for len(p) > 0 && f.state != framingLost {
		switch f.state {
		case expectHead:
			p = f.followHead(p)
		case expectBody, expectChunkData:
			p = f.followData(p)
		default:
			p = f.followLine(p)
		}
	}
}

// takeHead returns the head of the next message that was not returned yet. ok is false if there is none.
func (f *messageFramer) takeHead() (head messageHead, ok bool) {
	if len(f.heads) == 0 {
		return messageHead{}, false
	}
	head = f.heads[0]
	f.heads = slices.Delete(f.heads, 0, 1)
	return head, true
}

// hasHead reports whether takeHead would return a head.
func (f *messageFramer) hasHead() bool { return len(f.heads) > 0 }

// betweenMessages reports whether nothing was read after the end of the last message that takeHead returned.
func (f *messageFramer) betweenMessages() bool {
	return f.state == expectHead && len(f.partial) == 0 && !f.hasHead()
}

// lose gives up the framing and releases the memory of the framer.
func (f *messageFramer) lose() { f.state, f.partial = framingLost, nil }

// followHead takes note of bytes of a head and returns those after its end. Line breaks before a head are skipped,
// because net/http skips some of them after a POST.
func (f *messageFramer) followHead(p []byte) (rest []byte) {
	if len(f.partial) == 0 {
		p = bytes.TrimLeft(p, "\r\n")
	}
	searchFrom := max(0, len(f.partial)-len("\n\r")) // the empty line at the end may arrive in parts
	f.partial = append(f.partial, p...)
	end := headEnd(f.partial[searchFrom:])
	if end < 0 {
		if len(f.partial) > maxHeadSize {
			f.lose()
		}
		return nil
	}
	size := searchFrom + end
	rest = p[len(p)-(len(f.partial)-size):]
	f.beginBody(parseHead(f.partial[:size]))
	return rest
}

// beginBody records a complete head and prepares for the body.
func (f *messageFramer) beginBody(head messageHead) {
	f.heads = append(f.heads, head)
	f.partial = f.partial[:0]
	f.remaining = head.contentLength
	switch {
	case head.ambiguous:
		f.lose()
	case head.chunked:
		f.state = expectChunkSize
	case head.contentLength > 0:
		f.state = expectBody
	}
}

// followData takes note of bytes of a body or chunk and returns those after its end.
func (f *messageFramer) followData(p []byte) (rest []byte) {
	n := min(uint64(len(p)), f.remaining)
	f.remaining -= n
	if f.remaining == 0 {
		if f.state == expectBody {
			f.state = expectHead
		} else {
			f.state = expectChunkEnd
		}
	}
	return p[n:]
}

// followLine takes note of bytes of a line of the chunked coding and returns those after its end.
func (f *messageFramer) followLine(p []byte) (rest []byte) {
	line, rest, complete := bytes.Cut(p, []byte("\n"))
	f.partial = append(f.partial, line...)
	switch {
	case len(f.partial) > maxChunkLineSize:
		f.lose()
	case complete:
		line, hasReturn := bytes.CutSuffix(f.partial, []byte("\r"))
		f.partial = f.partial[:0]
		f.endLine(line, hasReturn)
	}
	return rest
}

// endLine takes note of a whole line of the chunked coding, without its line break. A line break without a carriage
// return is not accepted.
func (f *messageFramer) endLine(line []byte, hasReturn bool) {
	switch {
	case !hasReturn:
		f.lose()
	case f.state == expectChunkSize:
		f.beginChunk(line)
	case f.state == expectChunkEnd && len(line) == 0:
		f.state = expectChunkSize
	case f.state == expectChunkEnd:
		f.lose()
	case len(line) == 0: // the end of the trailer
		f.state = expectHead
	}
}

// beginChunk takes note of the line before a chunk: its size in hexadecimal and perhaps an extension. A chunk of size 0
// ends the body.
func (f *messageFramer) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte(";"))
	n, err := strconv.ParseUint(string(size), 16, 63)
	switch {
	case err != nil:
		f.lose()
	case n == 0:
		f.state = expectTrailer
	default:
		f.state, f.remaining = expectChunkData, n
	}
}
