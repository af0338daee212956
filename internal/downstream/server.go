// Package downstream is the application's side of a sidecar: an HTTP server that bounds its connections, guards against
// request smuggling, hands requests to the event loop and shuts down gracefully. It decides nothing about requests that
// are well formed.
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
	// acceptAfterShutdown is how long connections are accepted after SIGTERM: new ones come for up to 0.4 s.
	acceptAfterShutdown = 600 * time.Millisecond
	// SIGKILL comes no sooner than the longest deadline, counted as maxCountedDeadline where it is longer, plus 0.7 s.
	// The process ends a little earlier, and what it has accepted is answered shutdownMargin earlier still.
	maxCountedDeadline = 3 * time.Second
	shutdownMargin     = 100 * time.Millisecond
	// Anyone may connect, and an unused connection takes a place from a client. A connection without a request may be
	// closed after 2 s, and one with no request or only a part of one must be answered or closed within 3 s.
	headerTimeout = 2200 * time.Millisecond
	bodyTimeout   = 600 * time.Millisecond
	idleTimeout   = 2500 * time.Millisecond
	writeTimeout  = 10 * time.Second // beyond the longest deadline
)

// Server serves clients' requests by an event loop.
type Server struct {
	loop            *sidecar.Loop
	classes         map[string]int // positions in the settings by name
	http            *http.Server
	longestDeadline time.Duration
	drainTimeout    time.Duration // what there is of it after SIGTERM
	bodyTimeout     time.Duration
	draining        atomic.Bool
	listener        atomic.Pointer[limitedListener]      // nil: Serve has not begun
	after           func(time.Duration) <-chan time.Time // time.After
}

// NewServer returns a server; Serve runs it.
func NewServer(loop *sidecar.Loop, log *slog.Logger) *Server {
	s := &Server{loop: loop, classes: map[string]int{}, after: time.After, bodyTimeout: bodyTimeout}
	settings := &loop.Config().Settings
	for i, name := range settings.Classes {
		s.classes[name] = i
		s.longestDeadline = max(s.longestDeadline, clock.Duration(settings.Balancer.Classes[i].Deadline))
	}
	s.drainTimeout = min(s.longestDeadline, maxCountedDeadline)
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout + s.longestDeadline,
		MaxHeaderBytes:    maxHeadSize,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext:       withHeadRecorder,
		ConnState:         finishRequestWhenIdle,
	}
	return s
}

// Serve serves until stop ends, then drains, and returns when all that was accepted is answered.
func (s *Server) Serve(stop context.Context, ln net.Listener) error {
	limits := s.loop.Config().Limits
	listener := newLimitedListener(ln, limits.DownstreamConnections(), limits.ReadAheadBytes())
	s.listener.Store(listener)
	s.loop.SetConnectionStats(listener.stats)
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
	}
	return s.drain(listener, failed)
}

// drain closes idle connections while the listener still accepts, so that clients come again on new ones, then the
// listener, then the connections as their requests end. It does not use http.Server.Shutdown, which drops a request of
// which the last byte arrives afterwards.
func (s *Server) drain(listener *limitedListener, failed <-chan error) error {
	s.draining.Store(true)
	s.loop.Shutdown(acceptAfterShutdown + s.drainTimeout - shutdownMargin)
	listener.drain(drainReused)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-s.after(acceptAfterShutdown):
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	listener.Close()
	select { // only now are all connections known that were accepted
	case <-failed:
	case <-ctx.Done():
	}
	listener.drain(drainAll)
	select {
	case <-listener.drained:
	case <-ctx.Done():
	}
	return s.http.Close() // what the timeout found was a connection without a request
}
