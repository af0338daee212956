package balance

import "testing"

// harness passes events to one balancer and records the actions that the balancer returns.
type harness struct {
	t       *testing.T
	b       *Balancer
	now     float64  // current time, ms
	actions []Action // all actions since the start
	lastID  RequestID
}

// The classes of baseConfig: each constant is an index of Config.Classes.
const (
	idempotentClass    = iota // requests may run any number of times
	nonIdempotentClass        // requests must not run twice
	cellKeyClass              // requests have an idempotency key that endpoints of one cell recognize
	globalKeyClass            // requests have an idempotency key that all endpoints recognize
	zoneKeyClass              // requests have an idempotency key that endpoints of one zone recognize
)

// baseConfig returns the settings that most tests use or modify.
func baseConfig() Config {
	keyClass := Class{
		Idempotency:      IdempotentWithKey,
		DedupWindow:      1200,
		LatencyObjective: 400,
		Deadline:         2000,
		PriorityWeight:   3,
	}
	cellKey, globalKey, zoneKey := keyClass, keyClass, keyClass
	cellKey.DedupScope = DedupCell
	globalKey.DedupScope = DedupAll
	zoneKey.DedupScope = DedupZone
	return Config{
		Seed:              1,
		PeerCount:         3,
		MaxAttempts:       4,
		Hedging:           true,
		CancelAttempts:    true,
		RetryAfter:        true,
		MaxRetryAfter:     1000,
		BatchInterval:     4,
		ResponseSlack:     16,
		SlowStartFraction: 0.2,
		SlowStartDuration: 20000,
		OverloadFactor:    2.5,
		OverloadWindow:    1000,
		PollInterval:      10000,
		DrainGrace:        2000,
		Classes: []Class{
			{Idempotency: Idempotent, LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1},
			{Idempotency: NonIdempotent, LatencyObjective: 300, Deadline: 600, PriorityWeight: 5},
			cellKey,
			globalKey,
			zoneKey,
		},
	}
}

// newHarness starts a balancer at 1000 ms and passes the given endpoints to it as a cached snapshot.
func newHarness(t *testing.T, cfg Config, endpoints ...Endpoint) *harness {
	t.Helper()
	h := &harness{t: t, b: New(cfg), now: 1000}
	h.actions = append(h.actions, h.b.Start(h.now)...)
	h.handle(EndpointUpdate{Kind: CachedSnapshot, Endpoints: endpoints})
	for _, e := range h.b.endpoints {
		e.rotation.currentWeight = 0 // random initial weights would hide the order of picks
	}
	return h
}

// newEndpoints returns n endpoints of equal capacity with IDs from 1. Each cell has two and each zone has
// four.
func newEndpoints(n int) []Endpoint {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{ID: EndpointID(i + 1), NominalCapacity: 1, Cell: i / 2, Zone: i / 4}
	}
	return endpoints
}

// handle passes an event to the balancer and returns a copy of the resulting actions.
func (h *harness) handle(event Event) []Action {
	h.t.Helper()
	result, err := h.b.Handle(h.now, event)
	if err != nil {
		h.t.Fatalf("%#v: %v", event, err)
	}
	actions := append([]Action(nil), result...)
	h.actions = append(h.actions, actions...)
	return actions
}

// request sends a new request, whose timeout is the deadline of its class, and returns the request's ID and
// the resulting actions.
func (h *harness) request(class int) (RequestID, []Action) {
	h.t.Helper()
	h.lastID++
	event := Request{ID: h.lastID, Class: class, Timeout: h.b.cfg.Classes[class].Deadline}
	return h.lastID, h.handle(event)
}

// finishAttempt ends an attempt with the given result and latency.
func (h *harness) finishAttempt(id RequestID, attempt int, result Result, latency float64) []Action {
	h.t.Helper()
	r := h.b.requests[id]
	return h.handle(AttemptResult{
		Request:       id,
		Attempt:       attempt,
		Endpoint:      r.attempts[attempt].endpoint.ID,
		Result:        result,
		Latency:       latency,
		RequestClosed: result == OK || r.closed,
	})
}

// attemptTarget returns the endpoint of the first StartAttempt action, and whether there is one.
func attemptTarget(actions []Action) (EndpointID, bool) {
	for _, a := range actions {
		if a.Kind == StartAttempt {
			return a.Endpoint, true
		}
	}
	return 0, false
}

// hasAction reports whether there is an action of the given kind.
func hasAction(actions []Action, kind ActionKind) bool {
	for _, a := range actions {
		if a.Kind == kind {
			return true
		}
	}
	return false
}

// dueTimers returns the due timers of open requests.
func (h *harness) dueTimers() []Timer {
	var timers []Timer
	for id := RequestID(1); id <= h.lastID; id++ {
		if r := h.b.requests[id]; r != nil && r.timerAt <= h.now && !r.closed {
			timers = append(timers, Timer{Token: uint64(id)})
		}
	}
	return timers
}
