package downstream

import (
	"bytes"
	"errors"
	"strconv"

	"pebblelift/internal/upstream"
)

const (
	// maxChunkLineSize is the largest size in bytes of a line of the chunked coding, with its line break.
	maxChunkLineSize = 4 << 10
	// maxChunkedSize is the largest size in bytes of a body with its chunked coding.
	maxChunkedSize = 4 * upstream.MaxBodySize
)

var errChunked = errors.New("malformed chunked body")

// chunkState says what a chunkDecoder expects next.
type chunkState int

const (
	expectChunkSize chunkState = iota // the line before a chunk
	expectChunkData                   // more of a chunk
	expectChunkEnd                    // the line break after a chunk
	expectTrailer                     // a trailer field, or the empty line that ends the message
)

// chunkDecoder decodes a body with the chunked coding in place. A line break without a carriage return, which not
// everybody takes for one, is an error.
type chunkDecoder struct {
	state     chunkState
	decoded   int  // bytes of the body, which stand at the start of the buffer
	remaining int  // bytes left of the present chunk
	consumed  int  // bytes of coding and body so far
	ended     bool // the message is complete
}

// decode decodes what stands in the buffer behind the bytes that are decoded already. It returns the buffer with the
// body at its start, followed by what is not decoded yet.
func (d *chunkDecoder) decode(buffer []byte) ([]byte, *RequestError) {
	raw := buffer[d.decoded:]
	for len(raw) > 0 && !d.ended {
		var n int
		if d.state == expectChunkData {
			n = min(d.remaining, len(raw))
			d.decoded += copy(buffer[d.decoded:], raw[:n])
			if d.remaining -= n; d.remaining == 0 {
				d.state = expectChunkEnd
			}
		} else {
			n = bytes.IndexByte(raw, '\n') + 1
			if n > maxChunkLineSize || n == 0 && len(raw) >= maxChunkLineSize {
				return buffer, badRequest(errChunked)
			}
			if n == 0 {
				break
			}
			if err := d.endLine(raw[:n-1]); err != nil {
				return buffer, err
			}
		}
		raw = raw[n:]
		if d.consumed += n; d.consumed > maxChunkedSize {
			return buffer, tooLarge(errLargeBody)
		}
	}
	rest := copy(buffer[d.decoded:], raw)
	return buffer[:d.decoded+rest], nil
}

// endLine takes note of a line of the coding, without its line feed.
func (d *chunkDecoder) endLine(line []byte) *RequestError {
	line, hasReturn := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !hasReturn || !isFieldValue(line):
		return badRequest(errChunked)
	case d.state == expectChunkSize:
		return d.beginChunk(line)
	case d.state == expectChunkEnd && len(line) == 0:
		d.state = expectChunkSize
	case d.state == expectChunkEnd:
		return badRequest(errChunked)
	case len(line) == 0:
		d.ended = true
	default:
		return checkTrailer(line)
	}
	return nil
}

// checkTrailer checks the line of a field after the body. The field itself is dropped.
func checkTrailer(line []byte) *RequestError {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) {
		return badRequest(errChunked)
	}
	return nil
}

// beginChunk takes note of the line before a chunk: its size in hexadecimal and perhaps an extension. A chunk of size 0
// ends the body.
func (d *chunkDecoder) beginChunk(line []byte) *RequestError {
	size, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	switch {
	case err != nil:
		return badRequest(errChunked)
	case n > uint64(upstream.MaxBodySize-d.decoded):
		return tooLarge(errLargeBody)
	case n == 0:
		d.state = expectTrailer
	default:
		d.state, d.remaining = expectChunkData, int(n)
	}
	return nil
}
