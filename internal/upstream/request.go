package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"

	"pebblelift/internal/headers"
)

// MaxBodySize is the largest size in bytes of a request or response body that the protocol between application,
// sidecar and endpoints allows.
const MaxBodySize = 64 << 10

// Request is a request to forward to an endpoint. The HTTP version and the Host, timeout and Content-Length fields are
// added when the request is written.
type Request struct {
	Method string
	Target string // path and query, unchanged from the client's request
	Header []HeaderField
	Body   []byte
}

// HeaderField is one header field of a Request.
type HeaderField struct{ Name, Value string }

// encode returns the request in HTTP/1.1 format. Its timeout field tells the endpoint how long the sidecar waits for
// the response.
func (r *Request) encode(host string, timeoutMs float64) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", r.Method, r.Target)
	fmt.Fprintf(&b, "Host: %s\r\n", host)
	fmt.Fprintf(&b, "%s: %s\r\n", headers.Timeout, headers.FormatTimeout(timeoutMs))
	for _, field := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", field.Name, field.Value)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Attempt is one attempt to have a request served by an endpoint. Times are those of Options.Clock, in ms.
type Attempt struct {
	Endpoint     *Endpoint
	Request      Request
	Deadline     float64     // time at which the sidecar stops waiting for the response
	StartBefore  float64     // time before which the first byte of the request must be sent; +Inf for no limit
	startClaimed atomic.Bool // whether ClaimStart was called
}

// ClaimStart claims the start of the attempt and reports whether this call was the first. Pool.Do claims the start
// before it writes the request. A caller that cancels the attempt or ends it at its deadline claims the start too: if
// the caller is first, the request is never sent and therefore known not to have been executed.
func (a *Attempt) ClaimStart() bool { return a.startClaimed.CompareAndSwap(false, true) }
