package downstream

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"pebblelift/balance"
	"pebblelift/internal/sidecar"
)

// smallBodySize is the size in bytes up to which a body is written together with the head.
const smallBodySize = 8 << 10

// response is a response to a client.
type response struct {
	status   int
	fields   []headerField
	body     []byte
	close    bool // the connection ends after the response
	omitBody bool // the response is one to a HEAD request
}

// headerField is one header field of a response.
type headerField struct{ name, value string }

// errorResponse returns a response that tells the client what is wrong.
func errorResponse(status int, err error) response {
	return response{
		status: status,
		fields: []headerField{{"Content-Type", "text/plain; charset=utf-8"}},
		body:   []byte(err.Error() + "\n"),
	}
}

// healthResponse returns the response to a health check.
func healthResponse(healthy bool) response {
	if healthy {
		return response{status: http.StatusOK}
	}
	return response{status: http.StatusServiceUnavailable}
}

// finalResponse returns the response to a request that the event loop has served. A response of an endpoint is complete
// and is sent with its length.
func finalResponse(r sidecar.Response) response {
	switch r.Result {
	case balance.OK:
		forwarded := response{status: http.StatusOK, body: r.Upstream.Body}
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			if value := r.Upstream.Header.Get(name); value != "" {
				forwarded.fields = append(forwarded.fields, headerField{name, value})
			}
		}
		return forwarded
	case balance.Rejected:
		refusal := errorResponse(http.StatusServiceUnavailable, errRefused)
		if r.RetryAfter > 0 {
			seconds := strconv.FormatFloat(r.RetryAfter/1000, 'f', 3, 64)
			refusal.fields = append(refusal.fields, headerField{"Retry-After", seconds})
		}
		return refusal
	default:
		return errorResponse(http.StatusBadGateway, errFailed)
	}
}

// write writes the response to w.
func (r *response) write(w io.Writer) error {
	out := make([]byte, 0, 256+min(len(r.body), smallBodySize))
	out = fmt.Appendf(out, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for _, field := range r.fields {
		out = fmt.Appendf(out, "%s: %s\r\n", field.name, field.value)
	}
	if r.close {
		out = append(out, "Connection: close\r\n"...)
	}
	out = fmt.Appendf(out, "Content-Length: %d\r\n\r\n", len(r.body))
	if r.omitBody {
		r.body = nil
	}
	if len(r.body) <= smallBodySize {
		out, r.body = append(out, r.body...), nil
	}
	if _, err := w.Write(out); err != nil || len(r.body) == 0 {
		return err
	}
	_, err := w.Write(r.body)
	return err
}
