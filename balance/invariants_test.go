package balance

import (
	"math/rand"
	"testing"
)

// invariantChecker passes random valid events to one balancer and checks each action for these invariants:
//   - attempts are sent only to listed endpoints that are ready, and at most as many as the settings allow;
//   - a request does not run more often than its idempotency allows;
//   - each request gets one final response in time, and is rejected only if a client's retry is safe.
type invariantChecker struct {
	t             *testing.T
	random        *rand.Rand
	b             *Balancer
	cfg           Config
	now           float64
	endpoints     map[EndpointID]*Endpoint
	usable        map[EndpointID]bool // endpoints that are listed and ready
	open          map[RequestID]*openRequest
	timers        []pendingTimer
	pendingChecks []EndpointID
}

type openRequest struct {
	class    int
	deadline float64
	answered bool
	attempts []openAttempt
}

type openAttempt struct {
	endpoint    Endpoint
	sentAt      float64
	inFlight    bool
	notExecuted bool
}

type pendingTimer struct {
	at    float64
	token uint64
}

func newInvariantChecker(t *testing.T, random *rand.Rand, cfg Config) *invariantChecker {
	t.Helper()
	c := &invariantChecker{
		t:         t,
		random:    random,
		b:         New(cfg),
		cfg:       cfg,
		now:       5000,
		endpoints: map[EndpointID]*Endpoint{},
		usable:    map[EndpointID]bool{},
		open:      map[RequestID]*openRequest{},
	}
	c.apply(c.b.Start(c.now))
	return c
}

// Random sequences of events keep the invariants of invariantChecker, and every request is answered.
func TestRandomEventsPreserveInvariants(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		cfg := baseConfig()
		cfg.Seed = uint64(seed)
		cfg.Hedging = seed%2 == 0
		cfg.CancelAttempts = seed%3 != 0
		cfg.MaxAttempts = 1 + int(seed%4)
		cfg.Subscribe = seed%5 == 0
		if seed%4 == 1 {
			cfg.HealthChecks = true
			cfg.ReportSource = ReportHealthCheck
			cfg.ReportFields = []ReportField{FieldInFlight, FieldQueue, FieldUtilization}
		}
		c := newInvariantChecker(t, random, cfg)
		c.updateEndpoints(CachedSnapshot)
		for id := RequestID(1); id <= 1500; id++ {
			c.now += random.ExpFloat64() * 8
			c.fireTimers()
			c.randomEvent(id)
		}
		for c.now += 10; len(c.timers) > 0 && c.hasOpenRequests(); c.now += 10 {
			c.fireTimers()
		}
		if c.hasOpenRequests() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

// randomEvent generates one event. If the event is a new request, the request has the given ID.
func (c *invariantChecker) randomEvent(id RequestID) {
	c.t.Helper()
	switch n := c.random.Intn(20); {
	case n < 9:
		c.sendRequest(id)
	case n < 17:
		c.finishRandomAttempt(id)
	case n < 18:
		c.updateEndpoints([]UpdateKind{Snapshot, Delta, CachedSnapshot}[c.random.Intn(3)])
	case n < 19:
		c.answerHealthCheck()
	default:
		canceled := id - RequestID(c.random.Intn(20)) // may be unknown or ended, then ignored
		if r := c.open[canceled]; r != nil {
			r.answered = true
		}
		c.handle(ClientCanceled{Request: canceled})
	}
}

// sendRequest sends a new request with a random timeout, which is sometimes 0.
func (c *invariantChecker) sendRequest(id RequestID) {
	c.t.Helper()
	class := c.random.Intn(len(c.cfg.Classes))
	timeout := c.cfg.Classes[class].Deadline * c.random.Float64()
	if c.random.Intn(20) == 0 {
		timeout = 0
	}
	c.open[id] = &openRequest{class: class, deadline: c.now + timeout}
	c.handle(Request{ID: id, Class: class, Timeout: timeout})
}

// answerHealthCheck ends the oldest pending health check with a random load report.
func (c *invariantChecker) answerHealthCheck() {
	c.t.Helper()
	if len(c.pendingChecks) == 0 {
		return
	}
	checked := c.pendingChecks[0]
	c.pendingChecks = c.pendingChecks[1:]
	report := []float32{float32(c.random.Intn(6)), 0, 0.5}
	c.handle(HealthCheckResult{Endpoint: checked, Latency: 1, LoadReport: report})
}

// finishRandomAttempt ends an attempt in flight of one of the last 60 requests with a random result.
func (c *invariantChecker) finishRandomAttempt(lastID RequestID) {
	c.t.Helper()
	results := []Result{OK, OK, OK, OK, ServerError, Rejected, ConnectFailed, Reset, TimedOut}
	for id := lastID; id > 0 && id+60 > lastID; id-- {
		r := c.open[id]
		if r == nil {
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.inFlight || c.random.Intn(3) == 0 {
				continue
			}
			result := results[c.random.Intn(9)]
			a.inFlight, a.notExecuted = false, result.NotExecuted()
			r.answered = r.answered || result == OK
			c.handle(AttemptResult{
				Request:       id,
				Attempt:       i,
				Endpoint:      a.endpoint.ID,
				Result:        result,
				Latency:       c.now - a.sentAt,
				RequestClosed: r.answered,
			})
			return
		}
	}
}

// updateEndpoints changes some endpoints at random and sends an update of the given kind, from which other
// endpoints are missing.
func (c *invariantChecker) updateEndpoints(kind UpdateKind) {
	c.t.Helper()
	var entries []Endpoint
	for i := range 10 {
		id := EndpointID(i + 1)
		e := c.endpoints[id]
		if e == nil || c.random.Intn(4) == 0 {
			e = c.randomEndpoint(i)
			c.endpoints[id] = e
		}
		if kind == Delta && c.random.Intn(2) == 0 {
			continue
		}
		if kind != Delta && c.random.Intn(8) == 0 {
			c.usable[id] = false
			continue
		}
		c.usable[id] = e.Lifecycle == Ready
		entries = append(entries, *e)
	}
	c.handle(EndpointUpdate{Kind: kind, Endpoints: entries})
}

// randomEndpoint returns an endpoint that is ready or draining and may have just started.
func (c *invariantChecker) randomEndpoint(i int) *Endpoint {
	e := &Endpoint{
		ID:              EndpointID(i + 1),
		Lifecycle:       Lifecycle(c.random.Intn(3) % 2),
		NominalCapacity: 1,
		Cell:            i % 3,
		Zone:            i % 2,
		MachineType:     i % 2,
	}
	if c.random.Intn(3) == 0 {
		e.StartedAt = c.now
	}
	return e
}

func (c *invariantChecker) handle(event Event) {
	c.t.Helper()
	actions, err := c.b.Handle(c.now, event)
	if err != nil {
		c.t.Fatalf("%#v: %v", event, err)
	}
	c.apply(actions)
}

// apply checks actions and records the timers, health checks, attempts and responses that they ask for.
func (c *invariantChecker) apply(actions []Action) {
	c.t.Helper()
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			c.timers = append(c.timers, pendingTimer{at: c.now + a.Delay, token: a.Token})
		case HealthCheck:
			if !c.cfg.HealthChecks {
				c.t.Fatal("health check although the settings do not allow health checks")
			}
			c.pendingChecks = append(c.pendingChecks, a.Endpoint)
		case StartAttempt:
			c.startAttempt(a)
		case Reject, Fail:
			c.finishRequest(a)
		case CancelAttempt:
			if !c.cfg.CancelAttempts || a.Attempt >= len(c.open[a.Request].attempts) {
				c.t.Fatalf("cancellation is not allowed or names an unknown attempt: %+v", a)
			}
		}
	}
}

// startAttempt checks that an attempt is allowed and records the attempt.
func (c *invariantChecker) startAttempt(a Action) {
	c.t.Helper()
	r := c.open[a.Request]
	switch {
	case r.answered:
		c.t.Fatalf("request %d: attempt after its final response", a.Request)
	case !c.usable[a.Endpoint]:
		c.t.Fatalf("request %d: attempt at endpoint %d, which is draining or removed", a.Request, a.Endpoint)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.t.Fatalf("request %d: more than %d attempts", a.Request, c.cfg.MaxAttempts)
	}
	target := *c.endpoints[a.Endpoint]
	class := c.cfg.Classes[r.class]
	for _, earlier := range r.attempts {
		if earlier.inFlight && !c.cfg.Hedging {
			c.t.Fatalf("request %d: two attempts in flight without hedging", a.Request)
		}
		if earlier.notExecuted || class.Idempotency == Idempotent {
			continue
		}
		keyUnknown := class.DedupScope == DedupCell && earlier.endpoint.Cell != target.Cell ||
			class.DedupScope == DedupZone && earlier.endpoint.Zone != target.Zone
		keyExpired := c.now >= earlier.sentAt+class.DedupWindow
		if class.Idempotency == NonIdempotent || keyUnknown || keyExpired {
			c.t.Fatalf("request %d: retry could run the request twice", a.Request)
		}
	}
	r.attempts = append(r.attempts, openAttempt{endpoint: target, sentAt: c.now, inFlight: true})
}

// finishRequest checks that a final response is allowed and records the response.
func (c *invariantChecker) finishRequest(a Action) {
	c.t.Helper()
	r := c.open[a.Request]
	if r.answered || c.now > r.deadline+c.cfg.ResponseSlack {
		c.t.Fatalf("request %d: second or late final response at %v, deadline %v",
			a.Request, c.now, r.deadline)
	}
	r.answered = true
	class := c.cfg.Classes[r.class]
	if a.Kind == Fail || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll {
		return
	}
	for _, earlier := range r.attempts {
		if !earlier.notExecuted {
			c.t.Fatalf("request %d: rejected although it may have run", a.Request)
		}
	}
}

// fireTimers fires the timers that are due, in the order of their times and each at its own time.
func (c *invariantChecker) fireTimers() {
	c.t.Helper()
	end := c.now
	for {
		next := -1
		for i, timer := range c.timers {
			if timer.at <= end && (next < 0 || timer.at < c.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		timer := c.timers[next]
		c.timers = append(c.timers[:next], c.timers[next+1:]...)
		c.now = timer.at
		c.handle(Timer{Token: timer.token})
	}
	c.now = end
}

func (c *invariantChecker) hasOpenRequests() bool {
	for _, r := range c.open {
		if !r.answered {
			return true
		}
	}
	return false
}
