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
	"pebblelift/internal/discovery"
	"pebblelift/internal/gossip"
	"pebblelift/internal/upstream"
)

const (
	// readinessTimeout is when a sidecar is ready without any endpoint in its list: clients are rejected at once
	// with Retry-After, while discovery may be away for long. A process has 10 s to be ready.
	readinessTimeout = 5 * time.Second
	// timerDelay makes the balancer's timers a little late: an attempt that times out at the same moment comes
	// first, as the balancer expects.
	timerDelay = 0.02 // ms
	queueSize  = 1024
	idleTick   = time.Hour // without any timer
)

// Loop is the event loop. Its exported methods may be called from any goroutine, the others on the loop only, but for
// enqueue.
type Loop struct {
	clock   clock.Clock
	config  *config.Config
	queue   chan func()
	ended   chan struct{}
	workers sync.WaitGroup // goroutines that hand results to the queue
	ready   atomic.Bool    // requests can be served

	// connectionStats counts clients' connections; nil: not known yet.
	connectionStats atomic.Pointer[func() ConnectionStats]

	// Owned by the loop's goroutine.
	ctx           context.Context // ends with Run
	log           *slog.Logger
	balancer      *balance.Balancer
	pool          *upstream.Pool
	discovery     *discovery.Client
	gossip        *gossip.Transport // nil: there is none
	timers        timerHeap
	requests      map[balance.RequestID]*request
	traceIDs      map[string]bool // of the requests in the table
	lastRequestID balance.RequestID
	endpoints     map[balance.EndpointID]*endpoint
	zones         []string // names by the numbers that the balancer knows
	machineTypes  []string
	generation    uint64 // of the endpoint list
	stopWatch     context.CancelFunc
	postponed     []func() // what an action had for an outcome at once
	stats         Stats
	loggedCount   int // attempts since the last status line
}

// NewLoop returns a loop; Run runs it.
func NewLoop(clk clock.Clock, c *config.Config, log *slog.Logger) *Loop {
	return &Loop{
		clock:        clk,
		config:       c,
		queue:        make(chan func(), queueSize),
		ended:        make(chan struct{}),
		log:          log,
		balancer:     balance.New(c.Settings.Balancer),
		pool:         upstream.NewPool(poolOptions(clk, c)),
		discovery:    discovery.NewClient(c.Discovery),
		requests:     map[balance.RequestID]*request{},
		traceIDs:     map[string]bool{},
		endpoints:    map[balance.EndpointID]*endpoint{},
		zones:        c.Settings.Zones,
		machineTypes: c.Settings.MachineTypes,
	}
}

func poolOptions(clk clock.Clock, c *config.Config) upstream.Options {
	return upstream.Options{
		Clock:           clk,
		MaxConnections:  c.Limits.UpstreamConnections(),
		ConnectTimeout:  clock.Duration(c.Settings.Balancer.ConnectTimeout),
		ConnIdleTimeout: clock.Duration(c.Settings.ConnIdleTimeout),
		DrainGrace:      c.Settings.Balancer.DrainGrace,
		ReportFields:    c.Settings.ReportFields,
	}
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
	l.ctx = ctx
	if l.gossip != nil {
		defer l.gossip.Close()
		l.workers.Go(l.receiveGossip)
	}
	l.start()
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
			f()
		case <-tick.C:
		case <-status.C:
			l.logStatus()
		}
		l.fireTimers()
		tick.Reset(l.untilNextTimer())
	}
}

// start begins the balancer's life with the cached endpoint list. The first watch asks for what came after it.
func (l *Loop) start() {
	l.generation = l.config.CachedCatalog.Generation
	l.execute(l.balancer.Start(l.clock.Now()))
	l.applyCatalog(l.config.CachedCatalog, balance.CachedSnapshot)
}

// enqueue has f run on the loop. It may be called from any goroutine.
func (l *Loop) enqueue(f func()) {
	select {
	case l.queue <- f:
	case <-l.ended:
	}
}

// Shutdown has all requests answered within a time, those to come as well.
func (l *Loop) Shutdown(within time.Duration) {
	l.enqueue(func() { l.handle(balance.Shutdown{Timeout: clock.Millis(within)}) })
}

// handle hands the balancer an event and executes what it decides.
func (l *Loop) handle(event balance.Event) error {
	actions, err := l.balancer.Handle(l.clock.Now(), event)
	if err != nil {
		l.log.Warn("the balancer does not take an event", "err", err)
		return err
	}
	l.execute(actions)
	for len(l.postponed) > 0 {
		f := l.postponed[0]
		l.postponed = l.postponed[1:]
		f()
	}
	return nil
}

// postpone has f run after the present actions, which are valid until the next event only.
func (l *Loop) postpone(f func()) { l.postponed = append(l.postponed, f) }

func (l *Loop) execute(actions []balance.Action) {
	for i := range actions {
		l.executeOne(&actions[i])
	}
}

func (l *Loop) executeOne(action *balance.Action) {
	switch action.Kind {
	case balance.StartAttempt:
		l.startAttempt(action)
	case balance.Reject:
		l.respond(action.Request, Response{Result: balance.Rejected, RetryAfter: action.Delay})
	case balance.Fail:
		l.respond(action.Request, Response{Result: balance.ServerError})
	case balance.CancelAttempt:
		l.cancelAttempt(action)
	case balance.SetTimer:
		l.timers.add(timer{due: l.clock.Now() + action.Delay + timerDelay, token: action.Token})
	case balance.HealthCheck:
		l.healthCheck(action.Endpoint)
	case balance.CloseIdle:
		if e := l.endpoints[action.Endpoint]; e != nil {
			l.pool.CloseIdle(&e.connections)
		}
	case balance.Watch:
		l.watch(clock.Duration(action.Delay))
	case balance.Fetch:
		l.fetch()
	case balance.SendGossip:
		if l.gossip != nil {
			l.gossip.Send(action.Peer, action.Data)
		}
	case balance.Log:
		l.log.Info(action.Text)
	}
}

// receiveGossip hands the balancer each message of another sidecar until the socket is closed.
func (l *Loop) receiveGossip() {
	l.gossip.Receive(func(sender int, data []byte) {
		l.enqueue(func() { l.handle(balance.GossipMessage{Sender: sender, Data: data}) })
	})
}

// fireTimers handles the timers that are due.
func (l *Loop) fireTimers() {
	for now := l.clock.Now(); len(l.timers) > 0 && l.timers[0].due <= now; now = l.clock.Now() {
		t := l.timers.next()
		if t.attempt != nil {
			l.attemptEnded(t.attempt, upstream.Response{Result: balance.TimedOut})
			continue
		}
		l.handle(balance.Timer{Token: t.token})
	}
}

func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return idleTick
	}
	return max(0, clock.Duration(l.timers[0].due-l.clock.Now()))
}
