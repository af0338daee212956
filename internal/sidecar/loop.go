package sidecar

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"pebblelift/balance"
)

// readyAfter is when a sidecar is ready without any server in its list: clients are told at once that there is none, and
// when to come again, while discovery may be away for long. A process has 10 s to be ready.
const readinessTimeout = 5 * time.Second

// answerMargin is how long before the client's time is up its answer is due: timers and writes take time.
const responseMargin = 4 // ms

// Loop owns the decision module, its timers, and the tables of requests and servers. One goroutine runs it;
// others hand it functions to run there.
type Loop struct {
	clock    Clock
	config   *Config
	balancer *balance.Balancer
	log      *slog.Logger
	queue    chan func()
	ended    chan struct{}
	ready    atomic.Bool // requests can be served
	listener atomic.Pointer[limitedListener]

	// Owned by the loop's goroutine.
	ctx           context.Context
	pool          *connectionPool
	discovery     *discoveryClient
	timers        timerHeap
	requests      map[balance.RequestID]*request
	traceIDs      map[string]bool // of the requests in the table
	lastRequestID balance.RequestID
	endpoints     map[balance.EndpointID]*endpointEntry
	generation    uint64
	stopWatch     context.CancelFunc
	deferred      []func() // outcomes that an action had at once
	statistics    statistics
	gossip        *gossipTransport // nil: none, or no messages allowed
}

// request is a client's request until it is answered and its last attempt has ended.
type request struct {
	clientRequest
	id          balance.RequestID
	idempotency balance.Idempotency
	dedupWindow float64
	deadline    float64
	response    chan clientResponse // takes one
	closed      bool
	attempts    []*attempt
	inFlight    int
}

type attempt struct {
	request     *request
	number      int
	endpoint    *endpointEntry
	endpointID  balance.EndpointID
	sentAt      float64
	call        *upstreamCall
	notExecuted bool // it is certain that it never ran
	done        bool
	cancel      context.CancelFunc
	released    chan struct{} // closed when nothing of it goes on: its connection is closed, or idle again
}

// server is one instance of the list, kept while it is listed or attempts need it.
type endpointEntry struct {
	name        string
	connections endpoint
}

// answer is what the client gets.
type clientResponse struct {
	result     balance.Result // OK: served. Full: refused. Failed
	response   upstreamResponse
	retryAfter float64 // ms; 0: no advice
}

// NewLoop makes a loop; Run runs it.
func NewLoop(clock Clock, c *Config, log *slog.Logger) *Loop {
	return &Loop{
		clock: clock, config: c, balancer: balance.New(c.Profile.Balancer), log: log,
		queue: make(chan func(), 1024), ended: make(chan struct{}),
		pool: newConnectionPool(clock, c, c.Limits.upstreamConnections()), discovery: newDiscoveryClient(c.Discovery),
		requests: map[balance.RequestID]*request{}, traceIDs: map[string]bool{},
		endpoints: map[balance.EndpointID]*endpointEntry{},
	}
}

// Run runs the loop until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.ended)
	l.ctx = ctx
	if l.gossip != nil {
		defer l.gossip.close()
		go l.receiveGossip()
	}
	l.generation = l.config.CachedCatalog.Generation // the first watch, begun by Start, asks for what came after it
	l.execute(l.balancer.Start(l.clock.Now()))
	l.applyCatalog(l.config.CachedCatalog, balance.CachedSnapshot)
	ready := time.AfterFunc(readinessTimeout, func() { l.ready.Store(true) })
	defer ready.Stop()
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
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = max(0, fromMillis(l.timers[0].due-l.clock.Now()))
		}
		tick.Reset(wait)
	}
}

// post has f run in the loop.
func (l *Loop) enqueue(f func()) {
	select {
	case l.queue <- f:
	case <-l.ended:
	}
}

// tell hands the module an event and carries out what it decides.
func (l *Loop) dispatch(ev balance.Event) error {
	actions, err := l.balancer.Handle(l.clock.Now(), ev)
	if err != nil {
		l.log.Warn("the module refuses an event", "err", err)
		return err
	}
	l.execute(actions)
	for len(l.deferred) > 0 { // only now: actions are valid until the next event
		f := l.deferred[0]
		l.deferred = l.deferred[1:]
		f()
	}
	return nil
}

func (l *Loop) execute(actions []balance.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balance.StartAttempt:
			l.startAttempt(a)
		case balance.Reject:
			l.respond(a.Request, clientResponse{result: balance.Rejected, retryAfter: a.Delay})
		case balance.Fail:
			l.respond(a.Request, clientResponse{result: balance.ServerError})
		case balance.CancelAttempt:
			l.cancelAttempt(a)
		case balance.SetTimer:
			// A hair later: an attempt that times out at the same moment comes first, as the module expects.
			l.timers.add(timer{due: l.clock.Now() + a.Delay + 0.02, token: a.Token})
		case balance.HealthCheck:
			l.healthCheck(a.Endpoint)
		case balance.CloseIdle:
			if s := l.endpoints[a.Endpoint]; s != nil {
				l.pool.closeIdle(&s.connections)
			}
		case balance.Watch:
			l.watch(fromMillis(a.Delay))
		case balance.Fetch:
			disc := l.discovery
			go func() {
				c, err := disc.fetch(l.ctx)
				l.enqueue(func() { l.handleDiscoveryResult(c, err) })
			}()
		case balance.SendGossip:
			l.gossip.send(a.Peer, a.Data)
		case balance.Log:
			l.log.Info(a.Text)
		}
	}
}

// accept takes a request in. It returns nil where its id is in use or the module cannot take it.
func (l *Loop) acceptRequest(in clientRequest, out chan clientResponse) *request {
	if l.traceIDs[in.traceID] {
		return nil
	}
	class := l.config.Profile.Balancer.Classes[in.class]
	l.lastRequestID++
	r := &request{
		clientRequest: in, id: l.lastRequestID, idempotency: class.Idempotency, dedupWindow: class.DedupWindow,
		deadline: in.arrivedAt + in.timeout - math.Min(responseMargin, in.timeout/10), response: out,
	}
	l.requests[r.id], l.traceIDs[r.traceID] = r, true
	l.statistics.requests++
	err := l.dispatch(balance.Request{
		ID: r.id, Class: in.class, Tenant: in.tenant, WorkHint: in.workHint, AffinityKey: in.affinityKey,
		Timeout: math.Max(r.deadline-l.clock.Now(), 1e-3), IsRetry: in.isRetry,
	})
	if err != nil {
		l.remove(r)
		return nil
	}
	return r
}

// finish gives a request its one answer. Later ones are dropped.
func (l *Loop) respond(id balance.RequestID, a clientResponse) {
	if r := l.requests[id]; r != nil && !r.closed {
		r.closed = true
		l.statistics.responses[a.result]++
		r.response <- a
		l.removeIfClosed(r)
	}
}

// hangUp: the client has gone away.
func (l *Loop) clientCanceled(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	l.statistics.clientsCanceled++
	l.dispatch(balance.ClientCanceled{Request: r.id})
	for _, at := range r.attempts { // one whose connection has yet to come up must not begin, whatever the module may cancel
		if !at.done && at.call.claim() {
			l.attemptEnded(at, upstreamResponse{result: balance.NotSent, err: errors.New("the client has gone")})
		}
	}
	l.removeIfClosed(r)
}

func (l *Loop) removeIfClosed(r *request) {
	if r.closed && r.inFlight == 0 {
		l.remove(r)
	}
}

func (l *Loop) remove(r *request) {
	delete(l.requests, r.id)
	delete(l.traceIDs, r.traceID)
}

// send starts an attempt.
func (l *Loop) startAttempt(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil {
		l.log.Error("the module sends for a request that is over", "request", a.Request)
		return
	}
	now := l.clock.Now()
	ctx, cancel := context.WithCancel(l.ctx)
	c := &upstreamCall{request: r.upstreamRequest, deadline: r.deadline, startBefore: math.Inf(1)}
	at := &attempt{request: r, number: len(r.attempts), endpointID: a.Endpoint, endpoint: l.endpoints[a.Endpoint], call: c, sentAt: now, cancel: cancel, released: make(chan struct{})}
	if a.Delay > 0 {
		c.deadline = math.Min(c.deadline, a.Delay)
	}
	for _, earlier := range r.attempts { // a keyed request must not go out after its key may be forgotten
		if r.idempotency == balance.IdempotentWithKey && !earlier.notExecuted {
			c.startBefore = math.Min(c.startBefore, earlier.sentAt+r.dedupWindow)
		}
	}
	earlier := r.attempts
	r.attempts = append(r.attempts, at)
	r.inFlight++
	if at.endpoint == nil || r.closed {
		close(at.released)
		l.deferred = append(l.deferred, func() { l.attemptEnded(at, upstreamResponse{result: balance.NotSent}) })
		return
	}
	c.endpoint = &at.endpoint.connections
	l.timers.add(timer{due: c.deadline, attempt: at})
	go func() {
		for _, e := range earlier { // one given up stays out until its connection is closed: never two at once
			<-e.released
		}
		rep := l.pool.do(ctx, c)
		close(at.released)
		l.enqueue(func() { l.attemptEnded(at, rep) })
	}()
}

// attemptEnded reports the first end of an attempt to the module. Others are dropped.
func (l *Loop) attemptEnded(at *attempt, rep upstreamResponse) {
	if at.done {
		return
	}
	at.done = true
	at.cancel()
	if rep.result == balance.TimedOut && at.call.claim() { // its connection never came up
		rep = upstreamResponse{result: balance.ConnectFailed, err: errors.New("no connection in time")}
	}
	r := at.request
	r.inFlight--
	at.notExecuted = rep.result.NotExecuted()
	if rep.result == balance.OK && !r.closed {
		r.closed = true
		l.statistics.responses[balance.OK]++
		r.response <- clientResponse{result: balance.OK, response: rep}
	}
	took := l.clock.Now() - at.sentAt
	l.statistics.attempts[rep.result]++
	if rep.result != balance.OK && rep.result != balance.Canceled && l.mayLogAttempt() {
		name := ""
		if at.endpoint != nil {
			name = at.endpoint.name
		}
		l.log.Info("attempt", "trace", r.traceID, "n", at.number, "server", name, "result", rep.result.String(), "took", took, "idle", rep.connectionIdle, "err", rep.err)
	}
	l.dispatch(balance.AttemptResult{
		Request: r.id, Attempt: at.number, Endpoint: at.endpointID, Result: rep.result, Latency: took, RequestClosed: r.closed,
		LoadReport: rep.loadReport,
	})
	l.removeIfClosed(r)
}

func (l *Loop) cancelAttempt(a *balance.Action) {
	r := l.requests[a.Request]
	if r == nil || a.Attempt < 0 || a.Attempt >= len(r.attempts) || r.attempts[a.Attempt].done {
		return
	}
	at := r.attempts[a.Attempt]
	at.call.claim()
	at.cancel()
	l.deferred = append(l.deferred, func() { l.attemptEnded(at, upstreamResponse{result: balance.Canceled}) })
}

func (l *Loop) healthCheck(id balance.EndpointID) {
	s := l.endpoints[id]
	if s == nil {
		l.deferred = append(l.deferred, func() { l.dispatch(balance.HealthCheckResult{Endpoint: id, Result: balance.ConnectFailed}) })
		return
	}
	path, began := "/ping", l.clock.Now()
	if l.config.Profile.Balancer.ReportSource != balance.ReportNone {
		path = "/_load"
	}
	go func() {
		rep := l.pool.healthCheck(l.ctx, &s.connections, path)
		l.enqueue(func() {
			l.dispatch(balance.HealthCheckResult{Endpoint: id, Result: rep.result, Latency: l.clock.Now() - began, LoadReport: rep.loadReport})
		})
	}()
}

// watch opens the standing watch, in place of the one before.
func (l *Loop) watch(within time.Duration) {
	if l.stopWatch != nil {
		l.stopWatch()
	}
	ctx, stop := context.WithCancel(l.ctx)
	l.stopWatch = stop
	after, disc, began := l.generation, l.discovery, l.clock.Now()
	l.statistics.discoveryCalls++
	go func() {
		answered := false
		err := disc.watch(ctx, after, within, func(c Catalog) {
			first := !answered
			answered = true
			at := l.clock.Now()
			l.enqueue(func() {
				if ctx.Err() == nil {
					if first {
						l.statistics.discoveryLatency = at - began
					}
					l.handleDiscoveryResult(c, nil)
				}
			})
		})
		l.enqueue(func() {
			if ctx.Err() == nil { // not replaced
				stop()
				l.handleDiscoveryResult(Catalog{}, err)
			}
		})
	}()
}

// Stop has all requests answered within a time, those to come as well.
func (l *Loop) Shutdown(within time.Duration) {
	l.enqueue(func() { l.dispatch(balance.Shutdown{Timeout: float64(within) / float64(time.Millisecond)}) })
}

// Reload takes in a new configuration. Only discovery's address can change in a running sidecar: a standing watch,
// or one that is about to be asked for again, moves there at once, since the old address closes soon.
func (l *Loop) Reload(c *Config) {
	l.enqueue(func() {
		l.discovery = newDiscoveryClient(c.Discovery)
		l.dispatch(balance.EndpointUpdate{Kind: balance.SourceChanged})
		l.log.Info("reloaded", "discovery", c.Discovery)
	})
}

// called takes in what a call to discovery brought.
func (l *Loop) handleDiscoveryResult(c Catalog, err error) {
	if err == nil && !c.Reset && c.Generation < l.generation { // only the whole list tells whether it starts anew
		err = fmt.Errorf("generation %d after %d", c.Generation, l.generation)
		l.generation = 0
		l.stopWatch()
	}
	if err != nil {
		l.statistics.discoveryFailures++
		l.log.Info("discovery", "err", err)
		kind := balance.WatchFailed
		if errors.Is(err, errStalled) {
			kind = balance.WatchStalled
		}
		l.dispatch(balance.EndpointUpdate{Kind: kind})
		return
	}
	kind := balance.Delta
	if c.Reset {
		kind = balance.Snapshot
	}
	l.applyCatalog(c, kind)
}

// list takes in news of the servers.
func (l *Loop) applyCatalog(c Catalog, kind balance.UpdateKind) {
	l.generation = c.Generation
	listed := map[balance.EndpointID]bool{}
	ev := balance.EndpointUpdate{Kind: kind}
	for i := range c.Instances {
		in := &c.Instances[i]
		id := balance.EndpointID(stableHash(in.ID))
		listed[id] = true
		entry := balance.Endpoint{
			ID: id, StartedAt: in.StartedAt, NominalCapacity: in.Weight, Cell: in.Cell,
			Zone:        indexOrAppend(&l.config.Profile.Zones, in.Zone),
			MachineType: indexOrAppend(&l.config.Profile.MachineTypes, in.MachineType),
		}
		switch in.Lifecycle {
		case "draining":
			entry.Lifecycle = balance.Draining
		case "removed":
			entry.Lifecycle = balance.Removed
		}
		ev.Endpoints = append(ev.Endpoints, entry)
		s := l.endpoints[id]
		if s == nil && entry.Lifecycle == balance.Removed {
			continue
		}
		if s == nil {
			s = &endpointEntry{name: in.ID}
			l.endpoints[id] = s
		}
		l.pool.updateEndpoint(&s.connections, in.HostPort, entry.Lifecycle != balance.Ready)
		if entry.Lifecycle == balance.Removed { // attempts that are out keep what they need
			delete(l.endpoints, id)
		}
		if entry.Lifecycle == balance.Ready {
			l.ready.Store(true)
		}
	}
	if kind != balance.Delta { // what the whole list does not name is gone
		for id, s := range l.endpoints {
			if !listed[id] {
				l.pool.updateEndpoint(&s.connections, "", true)
				delete(l.endpoints, id)
			}
		}
	}
	l.dispatch(ev)
}

// number is a name's place among the names. One that the settings do not have is no other's: the key of a request may be
// known in its own zone only.
func indexOrAppend(names *[]string, name string) int {
	i := slices.Index(*names, name)
	if i < 0 {
		i = len(*names)
		*names = append(*names, name)
	}
	return i
}

// fire hands out the timers that are due.
func (l *Loop) fireTimers() {
	for now := l.clock.Now(); len(l.timers) > 0 && l.timers[0].due <= now; now = l.clock.Now() {
		t := heap.Pop(&l.timers).(timer)
		if t.attempt != nil {
			l.attemptEnded(t.attempt, upstreamResponse{result: balance.TimedOut})
			continue
		}
		l.dispatch(balance.Timer{Token: t.token})
	}
}

// timer is one of the module's, or the end of an attempt's time.
type timer struct {
	due     float64
	token   uint64
	attempt *attempt
}

type timerHeap []timer

func (h *timerHeap) add(t timer)       { heap.Push(h, t) }
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
