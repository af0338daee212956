package downstream

import (
	"bytes"

	"pebblelift/internal/upstream"
)

const (
	// maxHeadSize is the largest size in bytes of the head of a message: its request line and header fields.
	maxHeadSize = 32 << 10
	// maxHeadFields is the largest number of header fields in a message.
	maxHeadFields = 100
	// maxEmptyLines is how many empty lines may stand before a head. Some clients send one after a body.
	maxEmptyLines = 4
	// minBufferSize is the size in bytes of a connection's first buffer, which holds a usual head.
	minBufferSize = 1 << 10
)

// parser finds the messages in the bytes of one connection. It holds what has arrived and is not consumed yet, and
// judges each part of a message as soon as it is there. It stops for good at the first error, because whatever follows
// may not be a message.
type parser struct {
	buffer     []byte // received and not consumed
	searched   int    // bytes of buffer that were searched for the end of the head
	lineStart  int    // where in buffer the line begins that was not found whole yet
	lines      int    // lines found of the present head
	emptyLines int    // empty lines before the present head
	head       *requestHead
	body       chunkDecoder // of the present message, if it is chunked
}

// space returns the free part of the buffer, which is empty if the buffer is full.
func (p *parser) space() []byte { return p.buffer[len(p.buffer):cap(p.buffer)] }

// received takes note of n bytes that were read into the space.
func (p *parser) received(n int) { p.buffer = p.buffer[:len(p.buffer)+n] }

// hasRead reports whether the bytes were read into the space.
func (p *parser) hasRead(b []byte) bool {
	space := p.space()
	return len(space) > 0 && &space[0] == &b[0]
}

// sizeFor returns the size in bytes that the buffer needs for n more bytes. The buffer doubles, so that a client has to
// send what it makes the sidecar hold.
func (p *parser) sizeFor(n int) int {
	size := max(cap(p.buffer), minBufferSize)
	for size < len(p.buffer)+n {
		size *= 2
	}
	return size
}

// store appends bytes to the buffer, which gets the given size.
func (p *parser) store(b []byte, size int) {
	if size > cap(p.buffer) {
		p.buffer = append(make([]byte, 0, size), p.buffer...)
	}
	p.buffer = append(p.buffer, b...)
}

// readHead returns the head of the next message, or nil if it has not arrived whole.
func (p *parser) readHead() (*requestHead, *RequestError) {
	for {
		length := bytes.IndexByte(p.buffer[p.searched:], '\n')
		if length < 0 {
			p.searched = len(p.buffer)
			break
		}
		lineEnd := p.searched + length
		line := trimReturn(p.buffer[p.lineStart:lineEnd])
		p.searched = lineEnd + 1
		p.lineStart = p.searched
		switch {
		case len(line) > 0:
			p.lines++
		case p.lines > 0:
			return p.finishHead()
		default:
			p.consume(p.searched)
			p.emptyLines++
		}
		if p.lines > maxHeadFields+1 || p.emptyLines > maxEmptyLines {
			return nil, headTooLarge()
		}
	}
	if len(p.buffer) > maxHeadSize {
		return nil, headTooLarge()
	}
	return nil, nil
}

// finishHead parses the head that ends at p.searched and consumes it.
func (p *parser) finishHead() (*requestHead, *RequestError) {
	if p.searched > maxHeadSize {
		return nil, headTooLarge()
	}
	raw := p.buffer[:p.searched]
	raw = raw[:bytes.LastIndexByte(raw[:len(raw)-1], '\n')+1]
	head, err := parseHead(raw)
	if err != nil {
		return nil, err
	}
	p.consume(p.searched)
	p.lines, p.emptyLines = 0, 0
	p.head, p.body = head, chunkDecoder{}
	return head, nil
}

// consume removes the first n bytes of the buffer, in which no line has been found yet after that.
func (p *parser) consume(n int) {
	rest := copy(p.buffer, p.buffer[n:])
	p.buffer = p.buffer[:rest]
	p.searched, p.lineStart = 0, 0
}

// readBody returns the body of the message whose head was returned last. It reports false if the body has not arrived
// whole. The body stays valid when the parser goes on.
func (p *parser) readBody() (body []byte, complete bool, err *RequestError) {
	size := p.head.contentLength
	if p.head.chunked {
		if p.buffer, err = p.body.decode(p.buffer); err != nil || !p.body.ended {
			return nil, false, err
		}
		size = p.body.decoded
	}
	if len(p.buffer) < size {
		return nil, false, nil
	}
	p.head = nil
	if size == 0 {
		return nil, true, nil
	}
	body, p.buffer = p.buffer[:size:size], append([]byte(nil), p.buffer[size:]...)
	return body, true, nil
}

// bodySize returns the size in bytes of the body of the message whose head was returned last, or the largest size that it
// may have.
func (p *parser) bodySize() int {
	if p.head.chunked {
		return upstream.MaxBodySize + maxChunkLineSize
	}
	return p.head.contentLength
}

// empty reports whether nothing was received that is not consumed.
func (p *parser) empty() bool { return len(p.buffer) == 0 }

// drop releases the buffer.
func (p *parser) drop() { *p = parser{} }
