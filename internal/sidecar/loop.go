// Package sidecar runs the balancer in real time and over real connections. A single goroutine, the event loop, owns
// the balancer, the tables of requests and endpoints, and the timers. Attempts, health checks and calls to discovery
// run in separate goroutines, which queue functions for the event loop to run.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/budget"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/gossip"
)

const (
	// readinessTimeout is how long after its start a sidecar reports that it is ready although it knows no ready
	// endpoint. The sidecar then rejects requests at once with Retry-After, since discovery may be unavailable for
	// long. A process has to be ready within 10 s.
	readinessTimeout = 5 * time.Second
	// queueSize is how many functions can wait for the event loop before enqueue blocks.
	queueSize = 1024
)

// Loop is the event loop of a sidecar. Its methods may be called from any goroutine, except that OpenGossip must return
// before Run is called. The state that only the loop's goroutine may use is in the dispatcher, which is passed to each
// function in the queue.
type Loop struct {
	clock   clock.Clock
	config  *config.Config
	queue   chan func(*dispatcher) // functions that wait to run on the loop's goroutine
	ended   chan struct{}          // closed when the loop takes no more functions from the queue
	workers sync.WaitGroup         // goroutines that add their results to the queue
	ready   atomic.Bool            // whether the sidecar is ready for requests
	memory  *budget.Memory         // what may be held for clients and endpoints

	// serverStats returns the counts of the server for clients; nil until SetServerStats is called.
	serverStats atomic.Pointer[func() ServerStats]

	dispatcher *dispatcher       // used by the goroutine of Run only
	gossip     *gossip.Transport // set before Run; nil if gossip is off
}

// NewLoop returns an event loop with the given clock, configuration and logger. Run runs it.
func NewLoop(clk clock.Clock, c *config.Config, log *slog.Logger) *Loop {
	l := &Loop{
		clock:  clk,
		config: c,
		queue:  make(chan func(*dispatcher), queueSize),
		ended:  make(chan struct{}),
		memory: budget.NewMemory(c.Limits.BufferBytes()),
	}
	l.dispatcher = newDispatcher(l, log)
	return l
}

// OpenGossip opens the UDP socket for gossip between sidecars, if the settings allow gossip and the configuration has
// an address to listen on. It must be called before Run. The error says why the socket could not be opened.
func (l *Loop) OpenGossip() (err error) {
	if !l.config.Settings.Balancer.Gossip || !l.config.Gossip.Listen.IsValid() {
		return nil
	}
	l.gossip, err = gossip.Open(l.config.Gossip)
	return err
}

// Ready reports whether the sidecar is ready for requests: it has known a ready endpoint, or readinessTimeout has
// passed since its start.
func (l *Loop) Ready() bool { return l.ready.Load() }

// Clock returns the clock of the loop.
func (l *Loop) Clock() clock.Clock { return l.clock }

// Config returns the configuration that the loop was created with. The configuration does not change.
func (l *Loop) Config() *config.Config { return l.config }

// Memory returns the budget of what may be held for clients and endpoints.
func (l *Loop) Memory() *budget.Memory { return l.memory }

// Run runs the loop until ctx ends, and returns when all goroutines that the loop started have ended.
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
	readyTimer := time.AfterFunc(readinessTimeout, func() { l.ready.Store(true) })
	defer readyTimer.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	statusTicker := time.NewTicker(statusInterval)
	defer statusTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f(d)
		case <-wake.C:
		case <-statusTicker.C:
			d.logStatus()
		}
		d.fireTimers()
		wake.Reset(d.untilNextTimer())
	}
}

// enqueue queues f to run on the loop's goroutine. It blocks while the queue is full. After the end of the loop f may
// not run.
func (l *Loop) enqueue(f func(*dispatcher)) {
	select {
	case l.queue <- f:
	case <-l.ended:
	}
}

// Shutdown tells the balancer that the process is ending, so that all requests, including those that are still to
// arrive, get their responses within the timeout.
func (l *Loop) Shutdown(timeout time.Duration) {
	l.enqueue(func(d *dispatcher) { d.handle(balance.Shutdown{Timeout: clock.Millis(timeout)}) })
}

// receiveGossip passes each gossip message from another sidecar to the balancer, until the socket is closed.
func (l *Loop) receiveGossip() {
	l.gossip.Receive(func(sender int, data []byte) {
		l.enqueue(func(d *dispatcher) { d.handle(balance.GossipMessage{Sender: sender, Data: data}) })
	})
}
