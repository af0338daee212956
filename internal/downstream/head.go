package downstream

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"pebblelift/internal/headers"
	"pebblelift/internal/upstream"
)

// The names of the header fields of HTTP itself that the server reads.
const (
	hostField             = "Host"
	connectionField       = "Connection"
	contentLengthField    = "Content-Length"
	transferEncodingField = "Transfer-Encoding"
	expectField           = "Expect"
	contentTypeField      = "Content-Type"
)

// requestHead is the head of a message, with the values of those header fields that the server reads or forwards. All
// other fields are checked and dropped, so that a head takes no more memory than its known fields.
type requestHead struct {
	method, target string
	isHTTP10       bool
	values         [len(knownFields)]string
	present        [len(knownFields)]bool
	contentLength  int  // bytes; 0 if chunked
	chunked        bool // the body has the chunked coding
}

// knownFields are the header fields that a requestHead keeps. Those from singleFieldsStart on must not stand in a
// message twice, because the sidecar and the endpoints, or anybody between, might use different values of a repeated
// field. Of the others the first value counts; the values of Connection form a list.
var knownFields = [...]string{
	connectionField, expectField, contentTypeField, headers.Retry, headers.WorkHint,
	hostField, contentLengthField, transferEncodingField,
	headers.TraceID, headers.Class, headers.Tenant, headers.Timeout, headers.IdempotencyKey,
}

// singleFieldsStart is the position in knownFields of the first field that must not be repeated.
const singleFieldsStart = 5

// The reasons why a head is invalid, which clients read in the response.
var (
	errRequestLine     = errors.New("malformed request line")
	errFieldLine       = errors.New("malformed header field")
	errFoldedField     = errors.New("folded header field")
	errNoHost          = errors.New("no Host")
	errAmbiguousLength = errors.New("ambiguous length")
	errLargeHead       = errors.New("head too large")
	errRepeatedField   = errors.New("header field more than once")
)

// get returns the value of a known field, or the empty string.
func (h *requestHead) get(name string) string {
	for i, known := range knownFields {
		if known == name {
			return h.values[i]
		}
	}
	return ""
}

// hasBody reports whether the message has a body.
func (h *requestHead) hasBody() bool { return h.chunked || h.contentLength > 0 }

// wantsClose reports whether the client wants the connection to end after the response.
func (h *requestHead) wantsClose() bool {
	return h.hasConnectionOption("close") || h.isHTTP10 && !h.hasConnectionOption("keep-alive")
}

// hasConnectionOption reports whether the client has named an option for the connection.
func (h *requestHead) hasConnectionOption(option string) bool {
	for named := range strings.SplitSeq(h.get(connectionField), ",") {
		if strings.EqualFold(strings.TrimSpace(named), option) {
			return true
		}
	}
	return false
}

// expectsContinue reports whether the client waits for a response with status 100 before it sends the body.
func (h *requestHead) expectsContinue() bool {
	return h.hasBody() && strings.EqualFold(h.get(expectField), "100-continue")
}

// path returns the path and query of the target, without the scheme and authority of an absolute target.
func (h *requestHead) path() string {
	rest, absolute := strings.CutPrefix(h.target, "http://")
	if !absolute {
		return h.target
	}
	start := strings.IndexByte(rest, '/')
	if start < 0 {
		return "/"
	}
	return rest[start:]
}

// parseHead parses a complete head: lines that end in a line feed, without the empty line at the end.
func parseHead(raw []byte) (*requestHead, *RequestError) {
	line, rest, _ := bytes.Cut(raw, []byte("\n"))
	head := &requestHead{}
	if err := head.parseRequestLine(trimReturn(line)); err != nil {
		return nil, err
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if err := head.parseField(trimReturn(line)); err != nil {
			return nil, err
		}
	}
	if !head.isHTTP10 && !head.has(hostField) {
		return nil, badRequest(errNoHost)
	}
	return head, head.parseLength()
}

// parseRequestLine parses the first line of a head.
func (h *requestHead) parseRequestLine(line []byte) *RequestError {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	h.isHTTP10 = string(version) == "HTTP/1.0"
	if !h.isHTTP10 && string(version) != "HTTP/1.1" {
		return badRequest(errRequestLine)
	}
	if !isToken(method) || len(target) == 0 || !isFieldValue(target) {
		return badRequest(errRequestLine)
	}
	h.method, h.target = string(method), string(target)
	if _, err := url.ParseRequestURI(h.target); err != nil {
		return badRequest(errRequestLine)
	}
	return nil
}

// parseField checks the line of a header field and keeps the value of a known field.
func (h *requestHead) parseField(line []byte) *RequestError {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return badRequest(errFoldedField)
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !hasColon || !isToken(name) || !isFieldValue(value) {
		return badRequest(errFieldLine)
	}
	for i, known := range knownFields {
		if len(known) != len(name) || !strings.EqualFold(known, string(name)) {
			continue
		}
		return h.keepField(i, string(value))
	}
	return nil
}

// keepField keeps the value of the known field at position i.
func (h *requestHead) keepField(i int, value string) *RequestError {
	switch {
	case !h.present[i]:
		h.values[i], h.present[i] = value, true
	case i >= singleFieldsStart:
		return badRequest(&repeatedFieldError{name: knownFields[i]})
	case knownFields[i] == connectionField:
		h.values[i] += "," + value
	}
	return nil
}

// repeatedFieldError names a header field that must not stand in a message twice.
type repeatedFieldError struct{ name string }

func (e *repeatedFieldError) Error() string { return e.name + ": " + errRepeatedField.Error() }

// parseLength finds out how long the body is. A message that states its length in two ways, or in a way that not
// everybody reads alike, is rejected: what one reader takes for its body is the next request to another reader.
func (h *requestHead) parseLength() *RequestError {
	length, coding := h.get(contentLengthField), h.get(transferEncodingField)
	hasLength, hasCoding := h.has(contentLengthField), h.has(transferEncodingField)
	if hasCoding {
		h.chunked = true
		if hasLength || h.isHTTP10 || !strings.EqualFold(coding, "chunked") {
			return badRequest(errAmbiguousLength)
		}
	}
	if !hasLength {
		return nil
	}
	bytes, err := strconv.ParseUint(length, 10, 63)
	switch {
	case err != nil:
		return badRequest(errAmbiguousLength)
	case bytes > upstream.MaxBodySize:
		return tooLarge(errLargeBody)
	}
	h.contentLength = int(bytes)
	return nil
}

// has reports whether the message has a known field, perhaps with an empty value.
func (h *requestHead) has(name string) bool {
	for i, known := range knownFields {
		if known == name {
			return h.present[i]
		}
	}
	return false
}

// headTooLarge returns the error for a head with too many bytes or fields.
func headTooLarge() *RequestError {
	return &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Err: errLargeHead}
}

// trimReturn returns a line without the carriage return at its end.
func trimReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// isToken reports whether b is a token as RFC 9110 defines it, like the name of a header field.
func isToken(b []byte) bool {
	for _, c := range b {
		isLetterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isLetterOrDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b has no control characters other than tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
