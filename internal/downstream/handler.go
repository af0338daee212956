package downstream

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/sidecar"
)

// healthPath is the path at which the platform asks whether the sidecar is healthy.
const healthPath = "/_health"

// ServeHTTP serves one request of a client, or a health check of the sidecar itself.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrivedAt := s.loop.Clock().Now()
	s.closeIfDraining(w)
	lengthAccepted := beginRequest(req)
	if req.ContentLength != 0 { // also covers what net/http reads of a body after the response
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.bodyTimeout))
	}
	if !lengthAccepted { // checked before anything else, because whatever follows it may not be a request
		closeAfterResponse(w)
		http.Error(w, "ambiguous length", http.StatusBadRequest)
		return
	}
	if req.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	parsed, err := s.parseRequest(w, req)
	if err != nil {
		writeRequestError(w, req, err)
		return
	}
	parsed.ArrivedAt = arrivedAt
	s.serveRequest(w, req, parsed)
}

// serveHealth responds with 200 if requests can be served, and with 503 if they cannot or if the sidecar drains.
func (s *Server) serveHealth(w http.ResponseWriter) {
	if !s.loop.Ready() || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveRequest hands a valid request to the event loop and writes its response.
func (s *Server) serveRequest(w http.ResponseWriter, req *http.Request, parsed sidecar.Request) {
	response, err := s.loop.Do(req.Context(), parsed)
	switch {
	case errors.Is(err, sidecar.ErrNotAccepted), errors.Is(err, sidecar.ErrMayHaveRun):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		panic(http.ErrAbortHandler) // returning normally would send an empty 200 response
	default:
		s.closeIfDraining(w)
		writeResponse(w, response)
	}
}

// closeIfDraining makes the client's connection close after the response if the sidecar drains.
func (s *Server) closeIfDraining(w http.ResponseWriter) {
	if s.draining.Load() {
		closeAfterResponse(w)
	}
}

// closeAfterResponse makes the client's connection close after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// writeRequestError responds to an invalid request.
func writeRequestError(w http.ResponseWriter, req *http.Request, err *RequestError) {
	if req.ContentLength != 0 { // net/http would otherwise wait for the rest of the body, which may never come
		closeAfterResponse(w)
	}
	http.Error(w, err.Error(), err.Status)
}

// writeResponse writes the final response to a client. A response of an endpoint is complete and is sent with its
// length.
func writeResponse(w http.ResponseWriter, r sidecar.Response) {
	switch r.Result {
	case balance.OK:
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			w.Header()[name] = r.Upstream.Header[name] // nil stops net/http from guessing a value
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Upstream.Body)))
		w.Write(r.Upstream.Body)
	case balance.Rejected:
		if r.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter/1000, 'f', 3, 64))
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}
