package sidecar

import (
	"context"
	"hash/maphash"
	"log/slog"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/discovery"
	"pebblelift/internal/sockopt"
	"pebblelift/internal/upstream"
)

const (
	// balancerTimerDelay, in ms, is added to each timer that the balancer sets. It makes an attempt that times out at
	// the same moment end before the timer fires, which is the order that the balancer expects.
	balancerTimerDelay = 0.02
	// idleWakeInterval is how long the event loop waits for events when no timer is set.
	idleWakeInterval = time.Hour
)

// dispatcher is the state of a Loop that only the loop's goroutine uses. It owns the balancer, the tables of requests
// and endpoints, and the timers; it passes events to the balancer and carries out the balancer's actions.
type dispatcher struct {
	loop              *Loop
	clock             clock.Clock
	config            *config.Config
	log               *slog.Logger
	ctx               context.Context // the context of Loop.Run
	balancer          *balance.Balancer
	pool              *upstream.Pool
	discovery         *discovery.Client
	timers            timerHeap
	requests          map[balance.RequestID]*request // the request table
	traceIDs          map[string]bool                // the trace IDs of all requests in the request table
	executed          *balance.ExecutionLog          // requests that may have run and must not run again
	hashSeed          maphash.Seed                   // of the hashes in executed
	lastRequestID     balance.RequestID
	endpoints         map[balance.EndpointID]*endpoint // the endpoint table: all listed endpoints
	zones             []string                         // zone names, indexed by balance.Endpoint.Zone
	machineTypes      []string                         // machine type names, indexed by balance.Endpoint.MachineType
	generation        uint64                           // generation of the endpoint list; 0 asks for a snapshot
	watchCalls        []*watchCall                     // calls for a watch that have not ended
	postponed         []func()                         // functions to run after the actions of the current event
	stats             Stats
	failedSinceStatus int // failed attempts since the last status line
}

// newDispatcher returns the dispatcher of a loop. Loop.Run calls its start method.
func newDispatcher(l *Loop, log *slog.Logger) *dispatcher {
	return &dispatcher{
		loop:         l,
		clock:        l.clock,
		config:       l.config,
		log:          log,
		balancer:     balance.New(l.config.Settings.Balancer),
		pool:         upstream.NewPool(poolOptions(l)),
		discovery:    discovery.NewClient(l.config.Discovery),
		requests:     map[balance.RequestID]*request{},
		traceIDs:     map[string]bool{},
		executed:     balance.NewExecutionLog(l.config.Limits.ExecutionLogEntries()),
		hashSeed:     maphash.MakeSeed(),
		endpoints:    map[balance.EndpointID]*endpoint{},
		zones:        l.config.Settings.Zones,
		machineTypes: l.config.Settings.MachineTypes,
	}
}

// poolOptions returns the options of the upstream connection pool of a loop.
func poolOptions(l *Loop) upstream.Options {
	c := l.config
	return upstream.Options{
		Clock:           l.clock,
		Memory:          l.memory,
		MaxConnections:  c.Limits.UpstreamConnections(),
		ConnectTimeout:  clock.Duration(c.Settings.Balancer.ConnectTimeout),
		ConnIdleTimeout: clock.Duration(c.Settings.ConnIdleTimeout),
		DrainGrace:      c.Settings.Balancer.DrainGrace,
		ReportFields:    c.Settings.ReportFields,
		Control:         sockopt.LimitBuffers(c.Limits.SocketBufferBytes()),
	}
}

// start starts the balancer and applies the cached endpoint list. The generation of the cached list is set first, so
// that the first watch asks only for later changes.
func (d *dispatcher) start() {
	d.generation = d.config.CachedCatalog.Generation
	d.execute(d.balancer.Start(d.clock.Now()))
	d.applyCatalog(d.config.CachedCatalog, balance.CachedSnapshot)
}

// handle passes an event to the balancer and executes the resulting actions, then the functions that were postponed
// during the event. It returns the balancer's error if the event is invalid.
func (d *dispatcher) handle(event balance.Event) error {
	actions, err := d.balancer.Handle(d.clock.Now(), event)
	if err != nil {
		d.log.Warn("the balancer returned an error for an event", "err", err)
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

// postpone schedules f to run after the actions of the current event. While actions are being executed, a function that
// passes the next event to the balancer has to be postponed, because the actions are valid only until that event.
func (d *dispatcher) postpone(f func()) { d.postponed = append(d.postponed, f) }

// execute carries out actions of the balancer in their order.
func (d *dispatcher) execute(actions []balance.Action) {
	for i := range actions {
		d.executeAction(&actions[i])
	}
}

// executeAction carries out one action of the balancer.
func (d *dispatcher) executeAction(action *balance.Action) {
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
		d.timers.add(&timer{due: d.clock.Now() + action.Delay + balancerTimerDelay, token: action.Token})
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

// fireTimers handles all timers that are due: it ends attempts whose deadline has passed, and passes the balancer its
// own timers.
func (d *dispatcher) fireTimers() {
	for now := d.clock.Now(); len(d.timers) > 0 && d.timers[0].due <= now; now = d.clock.Now() {
		t := d.timers.removeNext()
		if t.attempt != nil {
			d.finishAttempt(t.attempt, upstream.Response{Result: balance.TimedOut})
			continue
		}
		d.handle(balance.Timer{Token: t.token})
	}
}

// untilNextTimer returns the time until the next timer is due, or idleWakeInterval if no timer is set.
func (d *dispatcher) untilNextTimer() time.Duration {
	if len(d.timers) == 0 {
		return idleWakeInterval
	}
	return max(0, clock.Duration(d.timers[0].due-d.clock.Now()))
}
