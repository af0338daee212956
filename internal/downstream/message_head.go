package downstream

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// messageHead is what the head of a message says about the message's end.
type messageHead struct {
	requestLine   string // the first line, without its line break
	contentLength uint64 // size of the body in bytes; 0 if chunked
	chunked       bool   // the body has the chunked coding
	// ambiguous means that the head states more than one length, or one that not everybody reads alike. What one
	// reader takes for the body of such a message is the next request to another reader.
	ambiguous bool
}

// belongsTo reports whether the head is that of a request as net/http has read it.
func (h messageHead) belongsTo(req *http.Request) bool {
	return h.requestLine == req.Method+" "+req.RequestURI+" "+req.Proto
}

// parseHead parses a complete head. It does not check the syntax, as net/http does so.
func parseHead(raw []byte) messageHead {
	firstLine, fields, _ := bytes.Cut(raw, []byte("\n"))
	head := messageHead{requestLine: string(bytes.TrimSuffix(firstLine, []byte("\r")))}
	lengthFields := 0
	inLengthField := false
	for line := range bytes.Lines(fields) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		continued := line[0] == ' ' || line[0] == '\t'
		isLength := head.parseLengthField(trimSpace(name), trimSpace(value))
		if isLength {
			lengthFields++
		}
		if continued && (isLength || inLengthField) { // a length in a folded line, which is obsolete
			head.ambiguous = true
		}
		inLengthField = isLength || continued && inLengthField
	}
	if lengthFields > 1 {
		head.ambiguous = true
	}
	return head
}

// parseLengthField takes note of a header field that states the length of the body, and reports whether the field does
// so. Only HTTP/1.1 has the chunked coding.
func (h *messageHead) parseLengthField(name, value []byte) bool {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(value), 10, 63)
		h.contentLength = length
		h.ambiguous = h.ambiguous || err != nil
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		isSupported := bytes.EqualFold(value, []byte("chunked")) && strings.HasSuffix(h.requestLine, " HTTP/1.1")
		h.chunked = true
		h.ambiguous = h.ambiguous || !isSupported
	default:
		return false
	}
	return true
}

// trimSpace returns a name or value without the white space and line break around it.
func trimSpace(b []byte) []byte { return bytes.Trim(b, " \t\r\n") }

// headEnd returns the index after the empty line that ends a head, or -1 if there is no such line.
func headEnd(raw []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(raw[start:], '\n')
		if i < 0 {
			return -1
		}
		start += i + 1
		switch rest := raw[start:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return start + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return start + len("\r\n")
		}
	}
}
