package balance

import (
	"math/rand"
	"testing"
)

// world feeds one balancer random but legal events and checks rules 1 to 3 at every action.
type world struct {
	t             *testing.T
	rnd           *rand.Rand
	b             *Balancer
	cfg           Config
	now           float64
	endpoints     map[EndpointID]*Endpoint
	known         map[EndpointID]bool // may be sent to
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

func newWorld(t *testing.T, rnd *rand.Rand, cfg Config) *world {
	w := &world{
		t: t, rnd: rnd, b: New(cfg), cfg: cfg, now: 5000, endpoints: map[EndpointID]*Endpoint{},
		known: map[EndpointID]bool{}, open: map[RequestID]*openRequest{},
	}
	w.apply(w.b.Start(w.now))
	return w
}

func TestRandomEventsPreserveInvariants(t *testing.T) {
	for seed := range int64(40) {
		rnd := rand.New(rand.NewSource(seed))
		cfg := baseConfig()
		cfg.Seed = uint64(seed)
		cfg.Hedging, cfg.CancelAttempts = seed%2 == 0, seed%3 != 0
		cfg.MaxAttempts = 1 + int(seed%4)
		cfg.Subscribe = seed%5 == 0
		if seed%4 == 1 {
			cfg.HealthChecks, cfg.ReportSource, cfg.ReportFields = true, ReportHealthCheck, []ReportField{FieldInFlight, FieldQueue, FieldUtil}
		}
		w := newWorld(t, rnd, cfg)
		w.list(CachedSnapshot)
		for id := RequestID(1); id <= 1500; id++ {
			w.now += rnd.ExpFloat64() * 8
			w.fireTimers()
			w.anything(id)
		}
		for w.now += 10; len(w.timers) > 0 && w.anyOpen(); w.now += 10 {
			w.fireTimers()
		}
		if w.anyOpen() {
			t.Fatalf("seed %d: a request was never answered", seed)
		}
	}
}

func (w *world) anything(id RequestID) {
	switch n := w.rnd.Intn(20); {
	case n < 9:
		class := w.rnd.Intn(len(w.cfg.Classes))
		left := w.cfg.Classes[class].Deadline * w.rnd.Float64()
		if w.rnd.Intn(20) == 0 {
			left = 0
		}
		w.open[id] = &openRequest{class: class, deadline: w.now + left}
		w.handle(Request{ID: id, Class: class, Timeout: left})
	case n < 17:
		w.endOne(id)
	case n < 18:
		w.list([]UpdateKind{Snapshot, Delta, CachedSnapshot}[w.rnd.Intn(3)])
	case n < 19:
		if len(w.pendingChecks) > 0 {
			s := w.pendingChecks[0]
			w.pendingChecks = w.pendingChecks[1:]
			w.handle(HealthCheckResult{Endpoint: s, Latency: 1, LoadReport: []float32{float32(w.rnd.Intn(6)), 0, 0.5}})
		}
	default:
		gone := id - RequestID(w.rnd.Intn(20)) // may never have been or have ended: ignored then
		if o := w.open[gone]; o != nil {
			o.answered = true
		}
		w.handle(ClientCanceled{Request: gone})
	}
}

// endOne ends one live attempt of some request at random.
func (w *world) endOne(before RequestID) {
	for id := before; id > 0 && id+60 > before; id-- {
		o := w.open[id]
		if o == nil {
			continue
		}
		for i := range o.attempts {
			if a := &o.attempts[i]; a.inFlight && w.rnd.Intn(3) > 0 {
				res := []Result{OK, OK, OK, OK, ServerError, Rejected, ConnectFailed, Reset, TimedOut}[w.rnd.Intn(9)]
				a.inFlight, a.notExecuted = false, res.NotExecuted()
				o.answered = o.answered || res == OK
				w.handle(AttemptResult{
					Request: id, Attempt: i, Endpoint: a.endpoint.ID, Result: res, Latency: w.now - a.sentAt, RequestClosed: o.answered,
				})
				return
			}
		}
	}
}

func (w *world) list(kind UpdateKind) {
	var entries []Endpoint
	for i := range 10 {
		id := EndpointID(i + 1)
		s := w.endpoints[id]
		if s == nil || w.rnd.Intn(4) == 0 {
			s = &Endpoint{ID: id, Lifecycle: Lifecycle(w.rnd.Intn(3) % 2), NominalCapacity: 1, Cell: i % 3, Zone: i % 2, MachineType: i % 2}
			if w.rnd.Intn(3) == 0 {
				s.StartedAt = w.now
			}
			w.endpoints[id] = s
		}
		if kind == Delta && w.rnd.Intn(2) == 0 {
			continue
		}
		if kind != Delta && w.rnd.Intn(8) == 0 {
			w.known[id] = false
			continue
		}
		w.known[id] = s.Lifecycle == Ready
		entries = append(entries, *s)
	}
	w.handle(EndpointUpdate{Kind: kind, Endpoints: entries})
}

func (w *world) handle(ev Event) {
	acts, err := w.b.Handle(w.now, ev)
	if err != nil {
		w.t.Fatalf("%#v: %v", ev, err)
	}
	w.apply(acts)
}

func (w *world) apply(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case SetTimer:
			w.timers = append(w.timers, pendingTimer{w.now + a.Delay, a.Token})
		case HealthCheck:
			if !w.cfg.HealthChecks {
				w.t.Fatal("probed where probes are not allowed")
			}
			w.pendingChecks = append(w.pendingChecks, a.Endpoint)
		case StartAttempt:
			w.send(a)
		case Reject, Fail:
			w.final(a)
		case CancelAttempt:
			if !w.cfg.CancelAttempts || a.Attempt >= len(w.open[a.Request].attempts) {
				w.t.Fatalf("cancel of %+v", a)
			}
		}
	}
}

func (w *world) send(a Action) {
	o, c := w.open[a.Request], w.cfg.Classes[w.open[a.Request].class]
	switch {
	case o.answered:
		w.t.Fatalf("request %d was sent after its answer", a.Request)
	case !w.known[a.Endpoint]:
		w.t.Fatalf("request %d was sent to server %d, which drains or is gone", a.Request, a.Endpoint)
	case len(o.attempts) >= w.cfg.MaxAttempts:
		w.t.Fatalf("request %d was sent too often", a.Request)
	}
	to := *w.endpoints[a.Endpoint]
	for _, p := range o.attempts {
		if p.inFlight && !w.cfg.Hedging {
			w.t.Fatalf("request %d is out twice", a.Request)
		}
		if p.notExecuted || c.Idempotency == Idempotent {
			continue
		}
		apart := c.DedupScope == DedupCell && p.endpoint.Cell != to.Cell || c.DedupScope == DedupZone && p.endpoint.Zone != to.Zone
		if c.Idempotency == NonIdempotent || apart || w.now >= p.sentAt+c.DedupWindow {
			w.t.Fatalf("request %d may have run and was sent again", a.Request)
		}
	}
	o.attempts = append(o.attempts, openAttempt{endpoint: to, sentAt: w.now, inFlight: true})
}

func (w *world) final(a Action) {
	o, c := w.open[a.Request], w.cfg.Classes[w.open[a.Request].class]
	if o.answered || w.now > o.deadline+w.cfg.ResponseSlack {
		w.t.Fatalf("request %d: a second or late answer at %v, deadline %v", a.Request, w.now, o.deadline)
	}
	o.answered = true
	if a.Kind == Fail || c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAll {
		return
	}
	for _, p := range o.attempts {
		if !p.notExecuted {
			w.t.Fatalf("request %d may have run and was refused", a.Request)
		}
	}
}

// fireTimers brings the alarms that are due, each at its own time.
func (w *world) fireTimers() {
	end := w.now
	for {
		next := -1
		for i, p := range w.timers {
			if p.at <= end && (next < 0 || p.at < w.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		p := w.timers[next]
		w.timers = append(w.timers[:next], w.timers[next+1:]...)
		w.now = p.at
		w.handle(Timer{Token: p.token})
	}
	w.now = end
}

func (w *world) anyOpen() bool {
	for _, o := range w.open {
		if !o.answered {
			return true
		}
	}
	return false
}
