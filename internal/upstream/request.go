package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"

	"pebblelift/internal/headers"
)

// MaxBodySize bounds the bodies of requests and responses, by the protocol.
const MaxBodySize = 64 << 10

// Request is a request as it goes on to an endpoint.
type Request struct {
	Method string
	Target string // path and query, unchanged
	Header []HeaderField
	Body   []byte
}

// HeaderField is one header field of a Request.
type HeaderField struct{ Name, Value string }

// encode writes the request as HTTP/1.1, all at once. The endpoint is told how long the sidecar will wait.
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

// Attempt is one attempt to carry out.
type Attempt struct {
	Endpoint    *Endpoint
	Request     Request
	Deadline    float64 // clock time at which the sidecar stops waiting
	StartBefore float64 // clock time before which the first byte must leave
	claimed     atomic.Bool
}

// Claim decides once and for all between the first byte of an attempt and its being given up before that. The first to
// claim wins: a request that is over is not sent, and one that was not sent is known not to have run.
func (a *Attempt) Claim() bool { return a.claimed.CompareAndSwap(false, true) }
