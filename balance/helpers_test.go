package balance

import "testing"

// rig drives one balancer by a script of events and keeps what it asked for.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     float64
	actions []Action
	lastID  RequestID
}

func baseConfig() Config {
	return Config{
		Seed: 1, PeerCount: 3, MaxAttempts: 4, Hedging: true, CancelAttempts: true, RetryAfter: true, MaxRetryAfter: 1000,
		BatchInterval: 4, ResponseSlack: 16, SlowStartFraction: 0.2, SlowStartDuration: 20000, OverloadFactor: 2.5, OverloadWindow: 1000,
		PollInterval: 10000, DrainGrace: 2000,
		Classes: []Class{
			{Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			{Idempotency: NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
			{Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: 1200, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
			{Idempotency: IdempotentWithKey, DedupScope: DedupAll, DedupWindow: 1200, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
			{Idempotency: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 1200, LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3},
		},
	}
}

const (
	idempotentClass = iota
	nonIdempotentClass
	cellKeyClass
	globalKeyClass
	zoneKeyClass
)

func newHarness(t *testing.T, cfg Config, servers ...Endpoint) *harness {
	g := &harness{t: t, b: New(cfg), now: 1000}
	g.actions = append(g.actions, g.b.Start(g.now)...)
	g.handle(EndpointUpdate{Kind: CachedSnapshot, Endpoints: servers})
	for _, s := range g.b.endpoints {
		s.currentWeight = 0 // the random start would hide the sequence
	}
	return g
}

// fleet is n like servers with IDs from 1, two to a cell, four to a zone.
func newEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), NominalCapacity: 1, Cell: i / 2, Zone: i / 4}
	}
	return list
}

func (g *harness) handle(ev Event) []Action {
	g.t.Helper()
	acts, err := g.b.Handle(g.now, ev)
	if err != nil {
		g.t.Fatalf("%#v: %v", ev, err)
	}
	acts = append([]Action(nil), acts...)
	g.actions = append(g.actions, acts...)
	return acts
}

// ask brings a request and returns its ID with what was done at once.
func (g *harness) request(class int) (RequestID, []Action) {
	g.t.Helper()
	g.lastID++
	return g.lastID, g.handle(Request{ID: g.lastID, Class: class, Timeout: g.b.cfg.Classes[class].Deadline})
}

// answer ends an attempt with a result.
func (g *harness) finishAttempt(id RequestID, attempt int, res Result, took float64) []Action {
	g.t.Helper()
	s := g.b.requests[id].attempts[attempt].endpoint
	done := res == OK || g.b.requests[id].closed
	return g.handle(AttemptResult{Request: id, Attempt: attempt, Endpoint: s.ID, Result: res, Latency: took, RequestClosed: done})
}

func attemptTarget(acts []Action) (EndpointID, bool) {
	for _, a := range acts {
		if a.Kind == StartAttempt {
			return a.Endpoint, true
		}
	}
	return 0, false
}

func hasAction(acts []Action, kind ActionKind) bool {
	for _, a := range acts {
		if a.Kind == kind {
			return true
		}
	}
	return false
}
