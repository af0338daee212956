package downstream

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/sidecar"
)

const healthPath = "/_health"

// ServeHTTP serves one request of the application.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	arrivedAt := s.loop.Clock().Now()
	s.closeIfDraining(w)
	if recorder := headRecorderOf(req); recorder != nil {
		recorder.beginHandling()
	}
	if req.ContentLength != 0 { // net/http reads the rest of a body after the response, too
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.bodyTimeout))
	}
	if req.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	if hasAmbiguousLength(req) {
		closeAfterResponse(w)
		http.Error(w, "ambiguous length", http.StatusBadRequest)
		return
	}
	in, err := s.parseRequest(w, req)
	if err != nil {
		writeRequestError(w, req, err)
		return
	}
	in.ArrivedAt = arrivedAt
	s.serveRequest(w, req, in)
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	if !s.loop.Ready() || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) serveRequest(w http.ResponseWriter, req *http.Request, in sidecar.Request) {
	response, err := s.loop.Do(req.Context(), in)
	switch {
	case errors.Is(err, sidecar.ErrNotAccepted):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		panic(http.ErrAbortHandler) // else an empty 200 would be written
	default:
		s.closeIfDraining(w)
		writeResponse(w, response)
	}
}

// closeIfDraining closes the client's connection after the response once the sidecar drains.
func (s *Server) closeIfDraining(w http.ResponseWriter) {
	if s.draining.Load() {
		closeAfterResponse(w)
	}
}

func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

func writeRequestError(w http.ResponseWriter, req *http.Request, err *RequestError) {
	if req.ContentLength != 0 { // else the response would wait for a body that may never come
		closeAfterResponse(w)
	}
	http.Error(w, err.Error(), err.Status)
}

// writeResponse forwards a complete response, with its length.
func writeResponse(w http.ResponseWriter, r sidecar.Response) {
	switch r.Result {
	case balance.OK:
		for _, name := range []string{"Content-Type", "Content-Encoding"} {
			w.Header()[name] = r.Upstream.Header[name] // nil: net/http does not guess one
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
