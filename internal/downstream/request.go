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

// affinityParameter is the query parameter that names the object of a request.
const affinityParameter = "sid"

// RequestError says what is wrong with a request, and the status that its client gets.
type RequestError struct {
	Status int
	Err    error
}

func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong with the request.
func (e *RequestError) Unwrap() error { return e.Err }

func badRequest(err error) *RequestError {
	return &RequestError{Status: http.StatusBadRequest, Err: err}
}

func tooLarge(err error) *RequestError {
	return &RequestError{Status: http.StatusRequestEntityTooLarge, Err: err}
}

var (
	errNoTraceID   = errors.New("no X-Trace-Id")
	errWrongPath   = errors.New("the path does not fit the class")
	errWrongMethod = errors.New("method and key do not fit the class")
	errGetWithBody = errors.New("a GET with a body")
	errLargeBody   = errors.New("body over 64 KiB")
)

// singleFields must not be repeated in a request: endpoints and the sidecar might use different values.
var singleFields = []string{
	headers.TraceID, headers.Class, headers.Tenant, headers.Timeout, headers.IdempotencyKey,
}

// forwardedFields are passed on to endpoints unchanged.
var forwardedFields = []string{
	headers.TraceID, headers.IdempotencyKey, headers.Class, headers.Tenant, "Content-Type",
}

// parseRequest reads a request and its body.
func (s *Server) parseRequest(w http.ResponseWriter, req *http.Request) (sidecar.Request, *RequestError) {
	var in sidecar.Request
	class, known := s.classes[req.Header.Get(headers.Class)]
	if !known {
		return in, badRequest(fmt.Errorf("unknown class %q", req.Header.Get(headers.Class)))
	}
	for _, name := range singleFields {
		if len(req.Header[http.CanonicalHeaderKey(name)]) > 1 {
			return in, badRequest(fmt.Errorf("%s more than once", name))
		}
	}
	in.Class = class
	in.TraceID = req.Header.Get(headers.TraceID)
	in.Forwarded.Method, in.Forwarded.Target = req.Method, req.RequestURI
	if err := s.checkFitsClass(req, class); err != nil {
		return in, badRequest(err)
	}
	if err := s.parseFields(req, &in); err != nil {
		return in, badRequest(err)
	}
	if err := readBody(w, req, &in); err != nil {
		return in, err
	}
	for _, name := range forwardedFields {
		if value := req.Header.Get(name); value != "" {
			in.Forwarded.Header = append(in.Forwarded.Header, upstream.HeaderField{Name: name, Value: value})
		}
	}
	return in, nil
}

// checkFitsClass compares the method, path and key of a request with its class. A keyed request without its key could
// not be retried.
func (s *Server) checkFitsClass(req *http.Request, class int) error {
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
	case req.Method == http.MethodGet && req.ContentLength != 0: // an endpoint may take its body for the next request
		return errGetWithBody
	}
	return nil
}

// parseFields reads the request's header fields and query. Every client says how long it waits: a guess
// in its place would be the longest wait there is, against which the balancer holds all later retries.
func (s *Server) parseFields(req *http.Request, in *sidecar.Request) (err error) {
	if in.Timeout, err = headers.ParseTimeout(req.Header.Get(headers.Timeout)); err != nil {
		return err
	}
	in.Tenant = slices.Index(s.loop.Config().Settings.Tenants, req.Header.Get(headers.Tenant)) // -1: none
	in.IsRetry = req.Header.Get(headers.Retry) == "1"
	if us, err := strconv.ParseFloat(req.Header.Get(headers.WorkHint), 64); err == nil && us > 0 {
		in.WorkHint = us / 1000
	}
	if object := req.URL.Query().Get(affinityParameter); object != "" {
		in.AffinityKey = stablehash.String(object)
	}
	return nil
}

func readBody(w http.ResponseWriter, req *http.Request, in *sidecar.Request) *RequestError {
	if req.ContentLength > upstream.MaxBodySize {
		return tooLarge(errLargeBody)
	}
	if req.ContentLength == 0 {
		return nil
	}
	var err error
	in.Forwarded.Body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, upstream.MaxBodySize))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(err)
	case err != nil:
		return badRequest(err)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // else it would look like a disconnect
	return nil
}
