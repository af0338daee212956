package downstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
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

// The reasons why a request is invalid, which clients read in the response.
var (
	errNoTraceID   = errors.New("no X-Trace-Id")
	errWrongPath   = errors.New("the path does not fit the class")
	errWrongMethod = errors.New("method and key do not fit the class")
	errGetWithBody = errors.New("a GET with a body")
	errLargeBody   = errors.New("body over 64 KiB")
)

// singleFields are the header fields that must not be repeated in a request, because the sidecar and the endpoints
// might use different values of a repeated field.
var singleFields = []string{
	headers.TraceID, headers.Class, headers.Tenant, headers.Timeout, headers.IdempotencyKey,
}

// forwardedFields are the header fields that are forwarded to endpoints unchanged.
var forwardedFields = []string{
	headers.TraceID, headers.IdempotencyKey, headers.Class, headers.Tenant, "Content-Type",
}

// parseRequest validates a request and reads its header and body. It does not set sidecar.Request.ArrivedAt.
func (s *Server) parseRequest(w http.ResponseWriter, req *http.Request) (sidecar.Request, *RequestError) {
	var parsed sidecar.Request
	class, known := s.classes[req.Header.Get(headers.Class)]
	if !known {
		return parsed, badRequest(fmt.Errorf("unknown class %q", req.Header.Get(headers.Class)))
	}
	for _, name := range singleFields {
		if len(req.Header[http.CanonicalHeaderKey(name)]) > 1 {
			return parsed, badRequest(fmt.Errorf("%s more than once", name))
		}
	}
	parsed.Class = class
	parsed.TraceID = req.Header.Get(headers.TraceID)
	parsed.Forwarded.Method, parsed.Forwarded.Target = req.Method, req.RequestURI
	if err := s.validateForClass(req, class); err != nil {
		return parsed, badRequest(err)
	}
	if err := s.parseFields(req, &parsed); err != nil {
		return parsed, badRequest(err)
	}
	if err := readBody(w, req, &parsed); err != nil {
		return parsed, err
	}
	for _, name := range forwardedFields {
		if value := req.Header.Get(name); value != "" {
			parsed.Forwarded.Header = append(parsed.Forwarded.Header, upstream.HeaderField{Name: name, Value: value})
		}
	}
	return parsed, nil
}

// validateForClass checks that a request has a trace ID and that its path, method and idempotency key are those of its
// class. A request of a class with idempotency keys could not be retried without its key.
func (s *Server) validateForClass(req *http.Request, class int) error {
	idempotency := s.loop.Config().Settings.Balancer.Classes[class].Idempotency
	hasKey := req.Header.Get(headers.IdempotencyKey) != ""
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	method := http.MethodPost
	if idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	switch {
	case req.Header.Get(headers.TraceID) == "":
		return errNoTraceID
	case !strings.HasPrefix(req.RequestURI, "/"), firstSegment != req.Header.Get(headers.Class):
		return errWrongPath
	case req.Method != method, (idempotency == balance.IdempotentWithKey) != hasKey:
		return errWrongMethod
	case req.Method == http.MethodGet && req.ContentLength != 0: // an endpoint may take the body for the next request
		return errGetWithBody
	}
	return nil
}

// parseFields reads the timeout, tenant, retry mark, work hint and affinity key of a request. A timeout is required: a
// default would have to be the longest possible timeout, and the balancer would compare the timeouts of all later
// retries with that default.
func (s *Server) parseFields(req *http.Request, parsed *sidecar.Request) (err error) {
	if parsed.Timeout, err = headers.ParseTimeout(req.Header.Get(headers.Timeout)); err != nil {
		return err
	}
	parsed.Tenant = slices.Index(s.loop.Config().Settings.Tenants, req.Header.Get(headers.Tenant)) // -1: none
	parsed.IsRetry = req.Header.Get(headers.Retry) == "1"
	if micros, err := strconv.ParseFloat(req.Header.Get(headers.WorkHint), 64); err == nil && micros > 0 {
		parsed.WorkHint = micros / 1000
	}
	if object := req.URL.Query().Get(affinityParameter); object != "" {
		parsed.AffinityKey = stablehash.String(object)
	}
	return nil
}

// readBody reads the body of a request, which is limited to upstream.MaxBodySize bytes.
func readBody(w http.ResponseWriter, req *http.Request, parsed *sidecar.Request) *RequestError {
	if req.ContentLength > upstream.MaxBodySize {
		return tooLarge(errLargeBody)
	}
	if req.ContentLength == 0 {
		return nil
	}
	var err error
	parsed.Forwarded.Body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, upstream.MaxBodySize))
	var sizeError *http.MaxBytesError
	switch {
	case errors.As(err, &sizeError):
		return tooLarge(err)
	case err != nil:
		return badRequest(err)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // an expired deadline would look like a disconnect
	return nil
}
