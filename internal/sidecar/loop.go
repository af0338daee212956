// Package sidecar runs the balancer on real time and real connections: one goroutine, the event loop, owns the
// balancer, the tables of requests and endpoints, and the timers. Everything else runs in goroutines of its own and
// hands the loop functions to run.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/gossip"
)

const (
	// readinessTimeout is when a sidecar is ready without any endpoint in its list: clients are rejected at once
	// with Retry-After, while discovery may be away for long. A process has 10 s to be ready.
	readinessTimeout = 5 * time.Second
	queueSize        = 1024
)

// Loop is the event loop. Its methods may be called from any goroutine. State that belongs to the loop's goroutine is in
// the dispatcher, which only the functions in the queue are handed.
type Loop struct {
	clock   clock.Clock
	config  *config.Config
	queue   chan func(*dispatcher)
	ended   chan struct{}
	workers sync.WaitGroup // goroutines that hand results to the queue
	ready   atomic.Bool    // requests can be served

	// connectionStats counts clients' connections; nil: not known yet.
	connectionStats atomic.Pointer[func() ConnectionStats]

	dispatcher *dispatcher       // Run's
	gossip     *gossip.Transport // set before Run; nil: there is none
}

// NewLoop returns a loop; Run runs it.
func NewLoop(clk clock.Clock, c *config.Config, log *slog.Logger) *Loop {
	l := &Loop{
		clock:  clk,
		config: c,
		queue:  make(chan func(*dispatcher), queueSize),
		ended:  make(chan struct{}),
	}
	l.dispatcher = newDispatcher(l, log)
	return l
}

// OpenGossip opens the socket for messages between sidecars, if the settings allow any and there is an address. It is
// called before Run.
func (l *Loop) OpenGossip() (err error) {
	if !l.config.Settings.Balancer.Gossip || !l.config.Gossip.Listen.IsValid() {
		return nil
	}
	l.gossip, err = gossip.Open(l.config.Gossip)
	return err
}

// Ready reports whether requests can be served.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Clock returns the clock by which the loop runs.
func (l *Loop) Clock() clock.Clock { return l.clock }

// Config returns the configuration, which does not change.
func (l *Loop) Config() *config.Config { return l.config }

// Run runs the loop until ctx ends, and returns when all that it started has ended.
func (l *Loop) Run(ctx context.Context) {
	defer l.workers.Wait()
	defer close(l.ended)
	d := l.dispatcher
	d.ctx = ctx
	if l.gossip != nil {
		defer l.gossip.Close()
		l.workers.Go(l.receiveGossip)
	}
	d.start()
	becomeReady := time.AfterFunc(readinessTimeout, func() { l.ready.Store(true) })
	defer becomeReady.Stop()
	tick := time.NewTimer(0)
	defer tick.Stop()
	status := time.NewTicker(statusInterval)
	defer status.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f(d)
		case <-tick.C:
		case <-status.C:
			d.logStatus()
		}
		d.fireTimers()
		tick.Reset(d.untilNextTimer())
	}
}

// enqueue runs f on the loop's goroutine, unless the loop has ended.
func (l *Loop) enqueue(f func(*dispatcher)) {
	select {
	case l.queue <- f:
	case <-l.ended:
	}
}

// Shutdown makes the balancer answer all requests, present and future, within a time.
func (l *Loop) Shutdown(within time.Duration) {
	l.enqueue(func(d *dispatcher) { d.handle(balance.Shutdown{Timeout: clock.Millis(within)}) })
}

// receiveGossip hands the balancer each message of another sidecar until the socket is closed.
func (l *Loop) receiveGossip() {
	l.gossip.Receive(func(sender int, data []byte) {
		l.enqueue(func(d *dispatcher) { d.handle(balance.GossipMessage{Sender: sender, Data: data}) })
	})
}
