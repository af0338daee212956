// Package downstream is the HTTP server to which the application sends its requests. Anyone may connect, so it bounds
// what a client can make the process hold and do, whatever it sends: see conn, parser and package budget. Valid requests
// go to the event loop of package sidecar, which makes all other decisions about them.
package downstream

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/internal/budget"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/sidecar"
)

const (
	// acceptAfterShutdown is how long new connections are accepted after SIGTERM. Clients open new connections for up
	// to 0.4 s after SIGTERM.
	acceptAfterShutdown = 600 * time.Millisecond
	// maxDrainTimeout is the upper limit of the drain timeout, which is otherwise the longest deadline of any class.
	// The drain timeout is how long requests may still run after the listener is closed. SIGKILL follows SIGTERM after
	// at least 0.7 s plus the drain timeout.
	maxDrainTimeout = 3 * time.Second
	// shutdownMargin is how long before the end of the drain timeout all accepted requests are answered.
	shutdownMargin = 100 * time.Millisecond
	// endTimeout is how long after the drain timeout the process waits for clients to read their last responses.
	endTimeout = 2 * time.Second

	// requestCost is the memory in bytes that it takes to serve a request besides its body, its attempts and its response.
	requestCost = 4 << 10
	// startsPerProcessor is how many requests are started at the same time for each processor. Others wait, so that those
	// that have begun find the processor free.
	startsPerProcessor = 4
	// acceptInterval and acceptBurst say how many connections are accepted before others get their turn. A busy runtime
	// gives the accept loop a turn only rarely.
	acceptInterval = 2 * time.Millisecond
	acceptBurst    = 256
	// sharedRefusalInterval and sharedRefusalBurst limit the refusals on all connections together that have only such.
	sharedRefusalInterval = time.Millisecond
	sharedRefusalBurst    = 100
)

// timeouts bound the waits for a client.
type timeouts struct {
	head  time.Duration // for the head of a request, from its first byte or, for the first one, from the connect
	body  time.Duration // for the body of a request, from the end of its head
	idle  time.Duration // between two requests
	write time.Duration // for writing a response
}

// defaultTimeouts exist because anyone may connect, and an unused connection occupies a slot that a client may need. A
// connection without a request may be closed after 2 s. A connection with no request or only a part of one must be
// answered or closed within 3 s.
var defaultTimeouts = timeouts{
	head:  2200 * time.Millisecond,
	body:  600 * time.Millisecond,
	idle:  2500 * time.Millisecond,
	write: 5 * time.Second,
}

// drainMode says which connections are to be ended.
type drainMode int32

const (
	drainNone       drainMode = iota // none
	drainReused                      // idle ones that have served a request; their clients reconnect
	drainAll                         // all idle ones
	drainUnfinished                  // also those with a message that has not arrived whole, which is rejected
)

// Server is an HTTP server that passes the requests of clients to an event loop, which serves them.
type Server struct {
	loop            *sidecar.Loop
	log             *slog.Logger
	classes         map[string]int // positions of the classes in the settings, by name
	tenants         map[string]int // positions of the tenants in the settings, by name
	longestDeadline time.Duration  // the longest deadline of any class
	drainTimeout    time.Duration  // how long requests may still run after the listener is closed
	timeouts        timeouts
	memory          *budget.Memory
	rejectionRate   budget.TokenBucket // limits the responses to messages that are not served
	accepts         budget.TokenBucket // limits the connections that are accepted at once
	refusals        budget.TokenBucket // limits refusals on connections that have only such
	starts          *budget.Slots      // requests that are being started
	table           *connTable
	held            heldResponses
	rejections      chan struct{} // has a value for each connection without a slot that is being rejected
	stats           serverStats
	uses            clientUses
	evicting        sync.Mutex                           // held while a connection makes others give way
	reclaiming      atomic.Bool                          // reclaim runs
	drainMode       atomic.Int32                         // the current drainMode
	after           func(time.Duration) <-chan time.Time // time.After; replaced by tests
}

// NewServer returns a server that hands requests to loop and logs its troubles to log.
func NewServer(loop *sidecar.Loop, log *slog.Logger) *Server {
	limits := loop.Config().Limits
	s := &Server{
		loop:          loop,
		log:           log,
		classes:       map[string]int{},
		tenants:       map[string]int{},
		timeouts:      defaultTimeouts,
		memory:        loop.Memory(),
		rejectionRate: budget.TokenBucket{Interval: rejectionInterval, Burst: rejectionBurst},
		accepts:       budget.TokenBucket{Interval: acceptInterval, Burst: acceptBurst},
		refusals:      budget.TokenBucket{Interval: sharedRefusalInterval, Burst: sharedRefusalBurst},
		starts:        budget.NewSlots(startsPerProcessor * limits.Processors()),
		table:         newConnTable(limits.DownstreamConnections()),
		rejections:    make(chan struct{}, config.MaxConcurrentRejections),
		after:         time.After,
	}
	settings := &loop.Config().Settings
	for i, name := range settings.Classes {
		s.classes[name] = i
		s.longestDeadline = max(s.longestDeadline, clock.Duration(settings.Balancer.Classes[i].Deadline))
	}
	for i, name := range settings.Tenants {
		s.tenants[name] = i
	}
	s.drainTimeout = min(s.longestDeadline, maxDrainTimeout)
	return s
}

// Serve accepts connections of ln and serves their requests until shutdownCtx ends. It then shuts down gracefully and
// returns when all accepted requests are answered.
func (s *Server) Serve(shutdownCtx context.Context, ln net.Listener) error {
	s.loop.SetServerStats(s.currentStats)
	acceptEnded := make(chan struct{})
	go func() {
		defer close(acceptEnded)
		s.acceptAll(ln)
	}()
	<-shutdownCtx.Done()
	s.drain(ln, acceptEnded)
	return nil
}

// drain shuts the server down gracefully. First it closes idle connections while the listener still accepts new ones,
// so that clients reconnect. Then it closes the listener, and the remaining connections as their requests end. Clients
// send on open connections until SIGKILL, so a connection is closed only with nothing of a request read, or after a
// response.
func (s *Server) drain(ln net.Listener, acceptEnded <-chan struct{}) {
	s.loop.Shutdown(acceptAfterShutdown + s.drainTimeout - shutdownMargin)
	s.setDrainMode(drainReused)
	<-s.after(acceptAfterShutdown)
	ln.Close()
	drainTimeout := time.NewTimer(s.drainTimeout)
	defer drainTimeout.Stop()
	<-acceptEnded // from now on all accepted connections are in the table
	s.setDrainMode(drainAll)
	select {
	case <-s.table.empty():
		return
	case <-drainTimeout.C:
	}
	s.setDrainMode(drainUnfinished)
	select {
	case <-s.table.empty():
	case <-time.After(endTimeout):
	}
}

// setDrainMode sets the drain mode and applies it to the open connections.
func (s *Server) setDrainMode(mode drainMode) {
	s.drainMode.Store(int32(mode))
	for _, c := range s.table.all() {
		c.drain()
	}
}

// draining reports whether the server drains.
func (s *Server) draining() bool { return drainMode(s.drainMode.Load()) != drainNone }

// healthy reports whether requests can be served and the server does not drain.
func (s *Server) healthy() bool { return s.loop.Ready() && !s.draining() }

// release removes a closed connection from the table.
func (s *Server) release(c *conn) {
	s.table.remove(c)
	s.memory.Release(budget.Connections, connectionCost)
}
