package downstream

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/headers"
	"pebblelift/internal/sidecar"
	"pebblelift/internal/stablehash"
	"pebblelift/internal/upstream"
)

// affinityParameter is the query parameter that names the object of a request. Requests for the same object get the
// same affinity key.
const affinityParameter = "sid"

// RequestError describes an invalid request and the status code of the response to it.
type RequestError struct {
	Status int   // status code of the response
	Err    error // why the request is invalid
}

func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the reason why the request is invalid.
func (e *RequestError) Unwrap() error { return e.Err }

// badRequest returns a RequestError with status 400.
func badRequest(err error) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Err: err}
}

// tooLarge returns a RequestError with status 413.
func tooLarge(err error) *RequestError {
	return &RequestError{Status: http.StatusRequestEntityTooLarge, Err: err}
}

// The reasons why a message is not served, which clients read in the response.
var (
	errUnknownClass = errors.New("unknown class")
	errNoTraceID    = errors.New("no X-Trace-Id")
	errWrongPath    = errors.New("the path does not fit the class")
	errWrongMethod  = errors.New("method and key do not fit the class")
	errGetWithBody  = errors.New("a GET with a body")
	errLargeBody    = errors.New("body over 64 KiB")
	errTimeout      = errors.New("request not complete in time")
	errNoMemory     = errors.New("too many requests at once")
	errShutdown     = errors.New("shutting down")
	errRefused      = errors.New("refused")
	errFailed       = errors.New("failed")
)

// noMemoryError means that there is no memory for a message that has not arrived whole.
type noMemoryError struct {
	stalled  bool      // the client had stopped in the middle of it
	answerBy time.Time // until when a client has to be answered that waits; the zero time if that is not known
	unread   int64     // bytes of the message that were not read; 0 if that is not known
}

func (e *noMemoryError) Error() string { return errNoMemory.Error() }

// healthPath is the path at which the platform asks whether the sidecar is healthy.
const healthPath = "/_health"

// isHealthCheck reports whether a message asks for the sidecar's health.
func isHealthCheck(head *requestHead) bool {
	path, _, _ := strings.Cut(head.path(), "?")
	return path == healthPath
}

// forwardedFields are the header fields that are forwarded to endpoints unchanged.
var forwardedFields = []string{
	headers.TraceID, headers.IdempotencyKey, headers.Class, headers.Tenant, "Content-Type",
}

// parseRequest validates the head of a request. It sets all of the request except the body and the time of arrival.
func (s *Server) parseRequest(head *requestHead) (parsed sidecar.Request, err *RequestError) {
	class, known := s.classes[head.get(headers.Class)]
	if !known {
		return parsed, badRequest(errUnknownClass)
	}
	parsed.Class = class
	parsed.TraceID = head.get(headers.TraceID)
	parsed.Forwarded.Method, parsed.Forwarded.Target = head.method, head.target
	if err := s.validateForClass(head, class); err != nil {
		return parsed, badRequest(err)
	}
	if err := s.parseFields(head, &parsed); err != nil {
		return parsed, badRequest(err)
	}
	for _, name := range forwardedFields {
		if value := head.get(name); value != "" {
			parsed.Forwarded.Header = append(parsed.Forwarded.Header, upstream.HeaderField{Name: name, Value: value})
		}
	}
	return parsed, nil
}

// validateForClass checks that a request has a trace ID and that its path, method and idempotency key are those of its
// class. A request of a class with idempotency keys could not be retried without its key.
func (s *Server) validateForClass(head *requestHead, class int) error {
	idempotency := s.loop.Config().Settings.Balancer.Classes[class].Idempotency
	hasKey := head.get(headers.IdempotencyKey) != ""
	method := http.MethodPost
	if idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	switch {
	case head.get(headers.TraceID) == "":
		return errNoTraceID
	case !strings.HasPrefix(head.target, "/"), firstSegment(head.target) != head.get(headers.Class):
		return errWrongPath
	case head.method != method, (idempotency == balance.IdempotentWithKey) != hasKey:
		return errWrongMethod
	case head.method == http.MethodGet && head.hasBody(): // an endpoint may take the body for the next request
		return errGetWithBody
	}
	return nil
}

// firstSegment returns the first segment of the path of a target, without percent encoding.
func firstSegment(target string) string {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	segment, _, _ := strings.Cut(path, "/")
	decoded, err := url.PathUnescape(segment)
	if err != nil {
		return ""
	}
	return decoded
}

// parseFields reads the timeout, tenant, retry mark, work hint and affinity key of a request. A timeout is required: a
// default would have to be the longest possible timeout, and the balancer would compare the timeouts of all later
// retries with that default.
func (s *Server) parseFields(head *requestHead, parsed *sidecar.Request) (err error) {
	if parsed.Timeout, err = headers.ParseTimeout(head.get(headers.Timeout)); err != nil {
		return err
	}
	tenant, known := s.tenants[head.get(headers.Tenant)]
	if !known {
		tenant = -1
	}
	parsed.Tenant = tenant
	parsed.IsRetry = head.get(headers.Retry) == "1"
	if micros, err := strconv.ParseFloat(head.get(headers.WorkHint), 64); err == nil && micros > 0 {
		parsed.WorkHint = micros / 1000
	}
	if object := queryValue(head.target, affinityParameter); object != "" {
		parsed.AffinityKey = stablehash.String(object)
	}
	return nil
}

// queryValue returns the first value of a query parameter of a target, or the empty string. It looks for that parameter
// alone, as a client may send very many others.
func queryValue(target, name string) string {
	_, query, _ := strings.Cut(target, "?")
	for query != "" {
		var parameter string
		parameter, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(parameter, "=")
		if key != name {
			continue
		}
		if decoded, err := url.QueryUnescape(value); err == nil {
			return decoded
		}
	}
	return ""
}
