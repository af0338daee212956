package sidecar

import (
	"context"
	"log/slog"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/discovery"
	"pebblelift/internal/upstream"
)

const (
	// timerDelay makes the balancer's timers a little late: an attempt that times out at the same moment comes
	// first, as the balancer expects.
	timerDelay = 0.02      // ms
	idleTick   = time.Hour // without any timer
)

// dispatcher is the part of a Loop that runs on the loop's goroutine only: it owns the balancer, the tables and the
// timers, hands the balancer events and carries out its actions.
type dispatcher struct {
	loop          *Loop
	clock         clock.Clock
	config        *config.Config
	log           *slog.Logger
	ctx           context.Context // ends with Loop.Run
	balancer      *balance.Balancer
	pool          *upstream.Pool
	discovery     *discovery.Client
	timers        timerHeap
	requests      map[balance.RequestID]*request
	traceIDs      map[string]bool // of the requests in the table
	lastRequestID balance.RequestID
	endpoints     map[balance.EndpointID]*endpoint
	zones         []string // names by the numbers that the balancer knows
	machineTypes  []string // likewise
	generation    uint64   // of the endpoint list
	stopWatch     context.CancelFunc
	postponed     []func() // what is to run after the present actions
	stats         Stats
	loggedCount   int // attempts since the last status line
}

func newDispatcher(l *Loop, log *slog.Logger) *dispatcher {
	return &dispatcher{
		loop:         l,
		clock:        l.clock,
		config:       l.config,
		log:          log,
		balancer:     balance.New(l.config.Settings.Balancer),
		pool:         upstream.NewPool(poolOptions(l.clock, l.config)),
		discovery:    discovery.NewClient(l.config.Discovery),
		requests:     map[balance.RequestID]*request{},
		traceIDs:     map[string]bool{},
		endpoints:    map[balance.EndpointID]*endpoint{},
		zones:        l.config.Settings.Zones,
		machineTypes: l.config.Settings.MachineTypes,
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

// start begins the balancer's life with the cached endpoint list. The first watch asks for what came after it.
func (d *dispatcher) start() {
	d.generation = d.config.CachedCatalog.Generation
	d.execute(d.balancer.Start(d.clock.Now()))
	d.applyCatalog(d.config.CachedCatalog, balance.CachedSnapshot)
}

// handle hands the balancer an event and executes what it decides.
func (d *dispatcher) handle(event balance.Event) error {
	actions, err := d.balancer.Handle(d.clock.Now(), event)
	if err != nil {
		d.log.Warn("the balancer does not take an event", "err", err)
		return err
	}
	d.execute(actions)
	for len(d.postponed) > 0 {
		f := d.postponed[0]
		d.postponed = d.postponed[1:]
		f()
	}
	return nil
}

// postpone has f run after the present actions, which are valid until the next event only.
func (d *dispatcher) postpone(f func()) { d.postponed = append(d.postponed, f) }

func (d *dispatcher) execute(actions []balance.Action) {
	for i := range actions {
		d.executeOne(&actions[i])
	}
}

func (d *dispatcher) executeOne(action *balance.Action) {
	switch action.Kind {
	case balance.StartAttempt:
		d.startAttempt(action)
	case balance.Reject:
		d.respond(action.Request, Response{Result: balance.Rejected, RetryAfter: action.Delay})
	case balance.Fail:
		d.respond(action.Request, Response{Result: balance.ServerError})
	case balance.CancelAttempt:
		d.cancelAttempt(action)
	case balance.SetTimer:
		d.timers.add(timer{due: d.clock.Now() + action.Delay + timerDelay, token: action.Token})
	case balance.HealthCheck:
		d.healthCheck(action.Endpoint)
	case balance.CloseIdle:
		if e := d.endpoints[action.Endpoint]; e != nil {
			d.pool.CloseIdle(&e.connections)
		}
	case balance.Watch:
		d.watch(clock.Duration(action.Delay))
	case balance.Fetch:
		d.fetch()
	case balance.SendGossip:
		if d.loop.gossip != nil {
			d.loop.gossip.Send(action.Peer, action.Data)
		}
	case balance.Log:
		d.log.Info(action.Text)
	}
}

// fireTimers handles the timers that are due.
func (d *dispatcher) fireTimers() {
	for now := d.clock.Now(); len(d.timers) > 0 && d.timers[0].due <= now; now = d.clock.Now() {
		t := d.timers.next()
		if t.attempt != nil {
			d.attemptEnded(t.attempt, upstream.Response{Result: balance.TimedOut})
			continue
		}
		d.handle(balance.Timer{Token: t.token})
	}
}

func (d *dispatcher) untilNextTimer() time.Duration {
	if len(d.timers) == 0 {
		return idleTick
	}
	return max(0, clock.Duration(d.timers[0].due-d.clock.Now()))
}
