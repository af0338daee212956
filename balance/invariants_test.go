package balance

import (
	"math/rand"
	"testing"
)

// world feeds one balancer random but possible events and checks each action:
//   - attempts go to ready, listed endpoints only, and no more of them than the settings allow;
//   - a request runs at most as often as its idempotency allows;
//   - each request gets one final response, in time, and is rejected only where a client's retry is safe.
type world struct {
	t             *testing.T
	random        *rand.Rand
	b             *Balancer
	cfg           Config
	now           float64
	endpoints     map[EndpointID]*Endpoint
	usable        map[EndpointID]bool // listed and ready
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

func newWorld(t *testing.T, random *rand.Rand, cfg Config) *world {
	t.Helper()
	w := &world{
		t:         t,
		random:    random,
		b:         New(cfg),
		cfg:       cfg,
		now:       5000,
		endpoints: map[EndpointID]*Endpoint{},
		usable:    map[EndpointID]bool{},
		open:      map[RequestID]*openRequest{},
	}
	w.apply(w.b.Start(w.now))
	return w
}

// Random sequences of events keep the invariants that world checks, and all requests are answered.
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
			cfg.ReportFields = []ReportField{FieldInFlight, FieldQueue, FieldUtil}
		}
		w := newWorld(t, random, cfg)
		w.updateEndpoints(CachedSnapshot)
		for id := RequestID(1); id <= 1500; id++ {
			w.now += random.ExpFloat64() * 8
			w.fireTimers()
			w.randomEvent(id)
		}
		for w.now += 10; len(w.timers) > 0 && w.anyOpen(); w.now += 10 {
			w.fireTimers()
		}
		if w.anyOpen() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

// randomEvent generates one event; id is that of a new request if it is an arrival.
func (w *world) randomEvent(id RequestID) {
	w.t.Helper()
	switch n := w.random.Intn(20); {
	case n < 9:
		w.sendRequest(id)
	case n < 17:
		w.finishRandomAttempt(id)
	case n < 18:
		w.updateEndpoints([]UpdateKind{Snapshot, Delta, CachedSnapshot}[w.random.Intn(3)])
	case n < 19:
		w.answerHealthCheck()
	default:
		canceled := id - RequestID(w.random.Intn(20)) // unknown or ended ones must be ignored
		if r := w.open[canceled]; r != nil {
			r.answered = true
		}
		w.handle(ClientCanceled{Request: canceled})
	}
}

// sendRequest sends a new request with a random timeout, which sometimes is 0.
func (w *world) sendRequest(id RequestID) {
	w.t.Helper()
	class := w.random.Intn(len(w.cfg.Classes))
	timeout := w.cfg.Classes[class].Deadline * w.random.Float64()
	if w.random.Intn(20) == 0 {
		timeout = 0
	}
	w.open[id] = &openRequest{class: class, deadline: w.now + timeout}
	w.handle(Request{ID: id, Class: class, Timeout: timeout})
}

// answerHealthCheck ends the oldest pending health check with a random load report.
func (w *world) answerHealthCheck() {
	w.t.Helper()
	if len(w.pendingChecks) == 0 {
		return
	}
	checked := w.pendingChecks[0]
	w.pendingChecks = w.pendingChecks[1:]
	report := []float32{float32(w.random.Intn(6)), 0, 0.5}
	w.handle(HealthCheckResult{Endpoint: checked, Latency: 1, LoadReport: report})
}

// finishRandomAttempt ends one attempt in flight, of one of the last requests, with a random result.
func (w *world) finishRandomAttempt(lastID RequestID) {
	w.t.Helper()
	results := []Result{OK, OK, OK, OK, ServerError, Rejected, ConnectFailed, Reset, TimedOut}
	for id := lastID; id > 0 && id+60 > lastID; id-- {
		r := w.open[id]
		if r == nil {
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.inFlight || w.random.Intn(3) == 0 {
				continue
			}
			result := results[w.random.Intn(9)]
			a.inFlight, a.notExecuted = false, result.NotExecuted()
			r.answered = r.answered || result == OK
			w.handle(AttemptResult{
				Request:       id,
				Attempt:       i,
				Endpoint:      a.endpoint.ID,
				Result:        result,
				Latency:       w.now - a.sentAt,
				RequestClosed: r.answered,
			})
			return
		}
	}
}

// updateEndpoints changes some endpoints at random and sends a list of the given kind, which leaves out
// others.
func (w *world) updateEndpoints(kind UpdateKind) {
	w.t.Helper()
	var entries []Endpoint
	for i := range 10 {
		id := EndpointID(i + 1)
		e := w.endpoints[id]
		if e == nil || w.random.Intn(4) == 0 {
			e = w.randomEndpoint(i)
			w.endpoints[id] = e
		}
		if kind == Delta && w.random.Intn(2) == 0 {
			continue
		}
		if kind != Delta && w.random.Intn(8) == 0 {
			w.usable[id] = false
			continue
		}
		w.usable[id] = e.Lifecycle == Ready
		entries = append(entries, *e)
	}
	w.handle(EndpointUpdate{Kind: kind, Endpoints: entries})
}

// randomEndpoint returns an endpoint that is ready or draining and may have just started.
func (w *world) randomEndpoint(i int) *Endpoint {
	e := &Endpoint{
		ID:              EndpointID(i + 1),
		Lifecycle:       Lifecycle(w.random.Intn(3) % 2),
		NominalCapacity: 1,
		Cell:            i % 3,
		Zone:            i % 2,
		MachineType:     i % 2,
	}
	if w.random.Intn(3) == 0 {
		e.StartedAt = w.now
	}
	return e
}

func (w *world) handle(event Event) {
	w.t.Helper()
	actions, err := w.b.Handle(w.now, event)
	if err != nil {
		w.t.Fatalf("%#v: %v", event, err)
	}
	w.apply(actions)
}

// apply checks actions and keeps what they ask for.
func (w *world) apply(actions []Action) {
	w.t.Helper()
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, pendingTimer{at: w.now + a.Delay, token: a.Token})
		case HealthCheck:
			if !w.cfg.HealthChecks {
				w.t.Fatal("health check where they are not allowed")
			}
			w.pendingChecks = append(w.pendingChecks, a.Endpoint)
		case StartAttempt:
			w.startAttempt(a)
		case Reject, Fail:
			w.finishRequest(a)
		case CancelAttempt:
			if !w.cfg.CancelAttempts || a.Attempt >= len(w.open[a.Request].attempts) {
				w.t.Fatalf("invalid cancellation %+v", a)
			}
		}
	}
}

// startAttempt checks that an attempt is allowed and records it.
func (w *world) startAttempt(a Action) {
	w.t.Helper()
	r := w.open[a.Request]
	switch {
	case r.answered:
		w.t.Fatalf("request %d: attempt after its final response", a.Request)
	case !w.usable[a.Endpoint]:
		w.t.Fatalf("request %d: attempt at endpoint %d, which is draining or removed", a.Request, a.Endpoint)
	case len(r.attempts) >= w.cfg.MaxAttempts:
		w.t.Fatalf("request %d: more than %d attempts", a.Request, w.cfg.MaxAttempts)
	}
	target := *w.endpoints[a.Endpoint]
	class := w.cfg.Classes[r.class]
	for _, earlier := range r.attempts {
		if earlier.inFlight && !w.cfg.Hedging {
			w.t.Fatalf("request %d: two attempts in flight without hedging", a.Request)
		}
		if earlier.notExecuted || class.Idempotency == Idempotent {
			continue
		}
		keyUnknown := class.DedupScope == DedupCell && earlier.endpoint.Cell != target.Cell ||
			class.DedupScope == DedupZone && earlier.endpoint.Zone != target.Zone
		keyForgotten := w.now >= earlier.sentAt+class.DedupWindow
		if class.Idempotency == NonIdempotent || keyUnknown || keyForgotten {
			w.t.Fatalf("request %d: retried though it may run twice", a.Request)
		}
	}
	r.attempts = append(r.attempts, openAttempt{endpoint: target, sentAt: w.now, inFlight: true})
}

// finishRequest checks that a final response is allowed and records it.
func (w *world) finishRequest(a Action) {
	w.t.Helper()
	r := w.open[a.Request]
	if r.answered || w.now > r.deadline+w.cfg.ResponseSlack {
		w.t.Fatalf("request %d: second or late final response at %v, deadline %v",
			a.Request, w.now, r.deadline)
	}
	r.answered = true
	class := w.cfg.Classes[r.class]
	if a.Kind == Fail || class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAll {
		return
	}
	for _, earlier := range r.attempts {
		if !earlier.notExecuted {
			w.t.Fatalf("request %d: rejected though it may have run", a.Request)
		}
	}
}

// fireTimers fires the timers that are due, in order and each at its own time.
func (w *world) fireTimers() {
	w.t.Helper()
	end := w.now
	for {
		next := -1
		for i, timer := range w.timers {
			if timer.at <= end && (next < 0 || timer.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		timer := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = timer.at
		w.handle(Timer{Token: timer.token})
	}
	w.now = end
}

func (w *world) anyOpen() bool {
	for _, r := range w.open {
		if !r.answered {
			return true
		}
	}
	return false
}
