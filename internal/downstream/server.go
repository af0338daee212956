// Package downstream is the HTTP server to which the application sends its requests. It limits the number of
// connections, validates requests, rejects attempts at request smuggling and shuts down gracefully. Valid requests go
// to the event loop of package sidecar, which makes all other decisions about them.
package downstream

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pebblelift/internal/clock"
	"pebblelift/internal/sidecar"
)

const (
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM. Clients open new connections for up
	// to 0.4 s after SIGTERM.
	acceptAfterShutdown = 600 * time.Millisecond
	// maxDrainTimeout is the upper limit of the drain timeout, which is otherwise the longest deadline of any class.
	// The drain timeout is how long requests may still run after the listener is closed. SIGKILL follows SIGTERM after
	// at least 0.7 s plus the drain timeout, and the process ends shortly before.
	maxDrainTimeout = 3 * time.Second
	// shutdownMargin is how long before the end of the drain timeout all accepted requests are answered.
	shutdownMargin = 100 * time.Millisecond

	// The following timeouts exist because anyone may connect, and an unused connection occupies a slot that a client
	// may need. A connection without a request may be closed after 2 s. A connection with no request or only a part of
	// one must be answered or closed within 3 s.

	// headerTimeout limits the time to read the head of a request. Together with bodyTimeout it must be below 3 s.
	headerTimeout = 2200 * time.Millisecond
	// bodyTimeout limits the time to read the body of a request, after its head was read.
	bodyTimeout = 600 * time.Millisecond
	// idleTimeout is how long a connection may wait for its next request before it is closed. It must be at least 2 s
	// and below 3 s.
	idleTimeout = 2500 * time.Millisecond
	// writeTimeout limits the time to serve a request and write its response, in addition to the longest deadline of
	// any class.
	writeTimeout = 10 * time.Second
)

// Server is an HTTP server that passes the requests of clients to an event loop, which serves them.
type Server struct {
	loop            *sidecar.Loop
	classes         map[string]int // positions of the classes in the settings, by name
	httpServer      *http.Server
	longestDeadline time.Duration // the longest deadline of any class
	drainTimeout    time.Duration // how long requests may still run after the listener is closed
	bodyTimeout     time.Duration // limit on the time to read a request's body
	draining        atomic.Bool
	listener        atomic.Pointer[limitedListener]      // nil before Serve is called
	after           func(time.Duration) <-chan time.Time // time.After; replaced by tests
}

// NewServer returns a server that hands requests to loop and logs connection errors to log.
func NewServer(loop *sidecar.Loop, log *slog.Logger) *Server {
	s := &Server{loop: loop, classes: map[string]int{}, after: time.After, bodyTimeout: bodyTimeout}
	settings := &loop.Config().Settings
	for i, name := range settings.Classes {
		s.classes[name] = i
		s.longestDeadline = max(s.longestDeadline, clock.Duration(settings.Balancer.Classes[i].Deadline))
	}
	s.drainTimeout = min(s.longestDeadline, maxDrainTimeout)
	s.httpServer = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout + s.longestDeadline,
		MaxHeaderBytes:    maxHeadSize,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext:       withClientConn,
		ConnState:         finishRequestWhenIdle,
		// net/http would answer "OPTIONS *" without calling ServeHTTP, and so without the check of the length.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve accepts connections of ln and serves their requests until shutdownCtx ends. It then shuts down gracefully and
// returns when all accepted requests are answered, or after the drain timeout.
func (s *Server) Serve(shutdownCtx context.Context, ln net.Listener) error {
	limits := s.loop.Config().Limits
	listener := newLimitedListener(ln, limits.DownstreamConnections(), limits.ReadAheadBytes())
	s.listener.Store(listener)
	s.loop.SetConnectionStats(listener.stats)
	serveError := make(chan error, 1)
	go func() { serveError <- s.httpServer.Serve(listener) }()
	select {
	case err := <-serveError:
		return fmt.Errorf("serve: %w", err)
	case <-shutdownCtx.Done():
	}
	return s.drain(listener, serveError)
}

// drain shuts the server down gracefully. First it closes idle connections while the listener still accepts new ones,
// so that clients reconnect. Then it closes the listener, and finally the remaining connections as their requests
// end. It does not use http.Server.Shutdown, which drops a request whose last byte arrives after the call.
func (s *Server) drain(listener *limitedListener, serveError <-chan error) error {
	s.draining.Store(true)
	s.loop.Shutdown(acceptAfterShutdown + s.drainTimeout - shutdownMargin)
	listener.drain(drainReused)
	select {
	case err := <-serveError:
		return fmt.Errorf("serve: %w", err)
	case <-s.after(acceptAfterShutdown):
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	listener.Close()
	select { // once http.Server.Serve has returned, all accepted connections are tracked
	case <-serveError:
	case <-ctx.Done():
	}
	listener.drain(drainAll)
	select {
	case <-listener.drained:
	case <-ctx.Done():
	}
	return s.httpServer.Close() // any connection left at the timeout has no request
}
