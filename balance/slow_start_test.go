package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	restartAt    = 8000.0 // ms
	observedTime = 8000.0 // ms from then on in which attempts are counted
	responseTime = 100.0  // ms at the least
	endpointRate = 25.0   // requests per second that a warm endpoint can do
)

// slowStartScenario describes a fleet of sidecars in virtual time that share endpoints, one or more of which
// restart half-way.
type slowStartScenario struct {
	name                string
	sidecars            int
	endpointsPerSidecar int     // subset size from which the number of endpoints follows
	load                float64 // fraction of what all endpoints can do when warm
	skewed              bool    // one sidecar in five has ten times the traffic of the others
	class               int
	restartFraction     float64 // of the endpoints that restart at restartAt, one at the least
	restDies            bool    // from then on the others accept no connections
	failureFraction     float64 // of the attempts at the others that fail and may be retried
	restartSidecars     bool    // all sidecars restart, too
	notificationDelay   float64 // ms after which the last sidecars are notified of the restart
}

type slowStartEvent struct {
	at  float64
	seq int
	run func()
}

// slowStartQueue is a heap of events in the order of time, then of creation.
type slowStartQueue []slowStartEvent

func (q slowStartQueue) Len() int { return len(q) }

func (q slowStartQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q slowStartQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *slowStartQueue) Push(v any) { *q = append(*q, v.(slowStartEvent)) }

func (q *slowStartQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// slowStartWorld plays a slowStartScenario.
type slowStartWorld struct {
	slowStartScenario
	t             *testing.T
	random        *rand.Rand
	now           float64
	seq           int
	queue         slowStartQueue
	lastID        RequestID
	endpointCount int
	restartCount  int
	listed        []Endpoint
	attemptTimes  map[EndpointID][]float64 // of notified sidecars, by endpoint that restarted
	busyUntil     map[EndpointID]float64   // until when each endpoint has work
}

func newSlowStartWorld(t *testing.T, scenario slowStartScenario, seed uint64) *slowStartWorld {
	t.Helper()
	w := &slowStartWorld{
		slowStartScenario: scenario,
		t:                 t,
		random:            rand.New(rand.NewPCG(seed, 7)),
		attemptTimes:      map[EndpointID][]float64{},
		busyUntil:         map[EndpointID]float64{},
	}
	w.endpointCount = max(3, scenario.sidecars*scenario.endpointsPerSidecar/10)
	w.restartCount = max(1, int(scenario.restartFraction*float64(w.endpointCount)))
	w.listed = newEndpoints(w.endpointCount)
	return w
}

// play runs the scenario and returns how much of the slow-start budget was used, see budgetUse.
func (d slowStartScenario) play(t *testing.T, seed uint64) (fullest, used float64) {
	t.Helper()
	w := newSlowStartWorld(t, d, seed)
	cfg := baseConfig()
	for n := range d.sidecars {
		w.addSidecar(n, cfg)
	}
	w.after(restartAt, w.restartEndpoints)
	for w.queue.Len() > 0 && w.now < restartAt+observedTime {
		event := heap.Pop(&w.queue).(slowStartEvent)
		w.now = event.at
		event.run()
	}
	return w.budgetUse(&cfg)
}

func (w *slowStartWorld) after(ms float64, run func()) {
	w.seq++
	heap.Push(&w.queue, slowStartEvent{at: w.now + ms, seq: w.seq, run: run})
}

func (w *slowStartWorld) restartEndpoints() {
	for i := range w.restartCount {
		w.listed[i].StartedAt = w.now
		w.attemptTimes[w.listed[i].ID] = nil
	}
}

// budgetUse returns the fullest overload window of any restarted endpoint, as a fraction of its budget with
// an allowance for chance, and the mean fraction of the plain budget that was used over the observed time.
func (w *slowStartWorld) budgetUse(cfg *Config) (fullest, used float64) {
	// budget is how many requests an endpoint may be sent in a window.
	budget := func(age, window float64) float64 {
		return cfg.OverloadFactor * slowStartFractionAt(age) * endpointRate * window / 1000
	}
	for _, times := range w.attemptTimes {
		for i := range times {
			first := 0
			for times[first] <= times[i]-cfg.OverloadWindow {
				first++
			}
			ageAtWindowStart := math.Max(0, times[i]-restartAt-cfg.OverloadWindow)
			allowed := budget(ageAtWindowStart, cfg.OverloadWindow)
			fullest = math.Max(fullest, float64(i-first+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
		used += float64(len(times)) / budget(observedTime/2, observedTime) / float64(len(w.attemptTimes))
	}
	return fullest, used
}

// slowStartFractionAt is the least fraction of its capacity that an endpoint has at an age.
func slowStartFractionAt(age float64) float64 {
	cfg := baseConfig()
	return cfg.SlowStartFraction + (1-cfg.SlowStartFraction)*math.Min(1, age/cfg.SlowStartDuration)
}

// attempt returns the result of an attempt and its latency.
func (w *slowStartWorld) attempt(id EndpointID, notified bool) (Result, float64) {
	times, restarted := w.attemptTimes[id]
	switch {
	case restarted && notified:
		w.attemptTimes[id] = append(times, w.now)
	case restarted: // the budget does not bind sidecars that have not been notified yet
	case w.now > restartAt && w.restDies:
		return ConnectFailed, 1
	case w.random.Float64() < w.failureFraction:
		return ServerError, 5
	}
	speed := 1.0
	if restarted {
		speed = slowStartFractionAt(w.now - restartAt)
	}
	w.busyUntil[id] = math.Max(w.busyUntil[id], w.now) + 1000/endpointRate/speed
	return OK, math.Max(responseTime, w.busyUntil[id]-w.now)
}

// slowStartSidecar is a sidecar of a slowStartWorld, with its clients.
type slowStartSidecar struct {
	w            *slowStartWorld
	cfg          Config
	b            *Balancer // another one after a restart
	notified     bool      // of the endpoints' restart
	traffic      float64   // relative to the other sidecars
	totalTraffic float64   // of all sidecars, likewise
}

// addSidecar starts a sidecar and schedules its requests and its notification of the restart.
func (w *slowStartWorld) addSidecar(n int, cfg Config) {
	cfg.Seed = uint64(n) + 100*w.random.Uint64N(1000)
	cfg.PeerIndex = n
	cfg.PeerCount = w.sidecars
	s := &slowStartSidecar{w: w, cfg: cfg, traffic: 1, totalTraffic: float64(w.sidecars)}
	if w.skewed {
		s.totalTraffic = 2.8 * float64(w.sidecars)
		if n%5 == 0 {
			s.traffic = 10
		}
	}
	s.start()
	w.after(restartAt+0.001+w.notificationDelay*w.random.Float64(), s.notifyOfRestart)
	w.after(s.nextGap(), s.sendRequest)
}

func (s *slowStartSidecar) start() {
	s.b = New(s.cfg)
	s.apply(s.b, append([]Action(nil), s.b.Start(s.w.now)...))
	s.handle(s.b, EndpointUpdate{Kind: Snapshot, Endpoints: s.w.listed})
}

func (s *slowStartSidecar) notifyOfRestart() {
	s.notified = true
	if s.w.restartSidecars {
		s.cfg.Seed++
		s.start()
	} else {
		s.handle(s.b, EndpointUpdate{Kind: Delta, Endpoints: s.w.listed[:s.w.restartCount]})
	}
}

// nextGap returns the time until the sidecar's next request.
func (s *slowStartSidecar) nextGap() float64 {
	w := s.w
	return w.random.ExpFloat64() * 1000 * s.totalTraffic / s.traffic /
		(w.load * endpointRate * float64(w.endpointCount))
}

func (s *slowStartSidecar) sendRequest() {
	s.w.lastID++
	timeout := s.cfg.Classes[s.w.class].Deadline
	s.handle(s.b, Request{ID: s.w.lastID, Class: s.w.class, Timeout: timeout})
	s.w.after(s.nextGap(), s.sendRequest)
}

// handle passes an event to a balancer of the sidecar: its present one or, for what was started before a
// restart, the one that started it.
func (s *slowStartSidecar) handle(b *Balancer, event Event) {
	s.w.t.Helper()
	actions, err := b.Handle(s.w.now, event)
	if err != nil {
		s.w.t.Fatal(err)
	}
	s.apply(b, append([]Action(nil), actions...))
}

// apply carries out the actions of a balancer.
func (s *slowStartSidecar) apply(b *Balancer, actions []Action) {
	started := map[RequestID]int{}
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			s.w.after(a.Delay, func() { s.handle(b, Timer{Token: a.Token}) })
		case StartAttempt:
			number := len(b.requests[a.Request].attempts) - 1 + started[a.Request]
			started[a.Request]++
			result, latency := s.w.attempt(a.Endpoint, s.notified)
			s.w.after(latency, func() {
				s.finishAttempt(b, AttemptResult{
					Request:       a.Request,
					Attempt:       number,
					Endpoint:      a.Endpoint,
					Result:        result,
					Latency:       latency,
					RequestClosed: result == OK,
				})
			})
		}
	}
}

// finishAttempt passes on the end of an attempt that is still in flight.
func (s *slowStartSidecar) finishAttempt(b *Balancer, event AttemptResult) {
	r := b.requests[event.Request]
	if r != nil && event.Attempt < len(r.attempts) && r.attempts[event.Attempt].inFlight {
		s.handle(b, event)
	}
}

// What all sidecars together send to an endpoint that has just started stays within its slow-start budget,
// with a small allowance for chance and whatever happens to the other endpoints.
func TestSlowStartBudgetHoldsAcrossFleet(t *testing.T) {
	for _, sidecars := range []int{2, 8, 20, 30, 300} {
		for _, scenario := range []slowStartScenario{
			{name: "even traffic", load: 0.7},
			{name: "skewed traffic", load: 0.7, skewed: true},
			{name: "overload", load: 1.3},
			{name: "retries", load: 0.7, failureFraction: 0.5},
			{name: "idempotency key of a cell", load: 0.7, class: cellKeyClass, failureFraction: 0.3},
			{name: "non-idempotent", load: 0.7, class: nonIdempotentClass, failureFraction: 0.3},
			{name: "sidecars restart", load: 0.7, restartSidecars: true},
			{name: "most endpoints restart", load: 0.7, restartFraction: 0.8},
			{name: "all endpoints restart", load: 0.7, restartFraction: 1},
			{name: "other endpoints die", load: 0.7, restartFraction: 0.1, restDies: true},
			{
				name: "other endpoints die and sidecars restart", load: 0.7,
				restartFraction: 0.1, restDies: true, restartSidecars: true,
			},
			{name: "late notification", load: 0.7, notificationDelay: 900},
		} {
			scenario.sidecars, scenario.endpointsPerSidecar = sidecars, 4
			if sidecars == 300 {
				scenario.endpointsPerSidecar = 2
			}
			t.Run(fmt.Sprintf("%d sidecars/%s", sidecars, scenario.name), func(t *testing.T) {
				var fullest, used float64
				for seed := range uint64(2) {
					seedFullest, seedUsed := scenario.play(t, seed)
					fullest = math.Max(fullest, seedFullest)
					used += seedUsed / 2
				}
				t.Logf("fullest window: %.2f of what is allowed; %.2f of the budget used", fullest, used)
				if fullest > 1 {
					t.Errorf("fullest window: %.2f of what is allowed, want at most 1", fullest)
				}
			})
		}
	}
}

// Incidents: an endpoint that was warming up was overloaded when its budget followed the clients' requests,
// retries included; and by many sidecars each of which knew of few responses. Whatever their number, all
// sidecars together stay within the allowed multiple of its capacity.
func TestSlowStartBudgetHoldsForAllSidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, endpoints, perSecond int }{
		{sidecars: 4, endpoints: 5, perSecond: 150},
		{sidecars: 40, endpoints: 10, perSecond: 15},
		{sidecars: 300, endpoints: 60, perSecond: 2},
	} {
		cfg := baseConfig()
		cfg.PeerCount = c.sidecars
		early, later := 0, 0
		for n := range c.sidecars {
			cfg.Seed, cfg.PeerIndex = uint64(n+1), n
			sidecarEarly, sidecarLater := attemptsAfterRestart(t, cfg, c.endpoints, c.perSecond)
			early += sidecarEarly
			later += sidecarLater
		}
		// A warm endpoint gets its share of the traffic. One that warms up can do SlowStartFraction of that
		// and a little more with time, and fails at OverloadFactor times what it can do.
		share := float64(c.sidecars*c.perSecond) / float64(c.endpoints)
		limit := share * cfg.OverloadFactor * (cfg.SlowStartFraction + 0.05)
		if later == 0 || float64(early) > limit {
			t.Errorf("%+v: %d attempts in the first second of warm-up, want at most %.0f; "+
				"%d later, want some", c, early, limit, later)
		}
	}
}

// attemptsAfterRestart plays 6 s of one sidecar with steady traffic, half-way through which endpoint 1
// restarts. It returns the attempts there in the first second after that, and those later.
func attemptsAfterRestart(t *testing.T, cfg Config, endpointCount, perSecond int) (early, later int) {
	t.Helper()
	endpoints := newEndpoints(endpointCount)
	h := newHarness(t, cfg, endpoints...)
	h.now += 1000 * h.b.random.float64() / float64(perSecond)
	start := h.now
	restarted := false
	for ; h.now < start+6000; h.now += 1000 / float64(perSecond) {
		if !restarted && h.now >= start+3000 {
			restarted = true
			endpoints[0].StartedAt = h.now
			h.handle(EndpointUpdate{Kind: Delta, Endpoints: endpoints[:1]})
		}
		id, actions := h.request(idempotentClass)
		target, ok := attemptTarget(actions)
		switch {
		case !ok:
			t.Fatalf("got actions %+v, want an attempt", actions)
		case target == 1 && restarted && h.now < start+4000:
			early++
		case target == 1 && restarted:
			later++
		}
		h.finishAttempt(id, 0, OK, 10)
	}
	return early, later
}

// An endpoint that lost connections, accepted no new ones and then responds has restarted, whatever the
// endpoint list says. Either alone proves no restart. Incident: endpoints with full backlogs, and those
// behind a network that resets connections, got only the share of an endpoint that warms up.
func TestRecoveredEndpointStartsSlow(t *testing.T) {
	for _, c := range []struct {
		results   []Result // followed by a success
		warmingUp bool
	}{
		{[]Result{Reset, ConnectFailed, ConnectFailed}, true},
		{[]Result{ConnectFailed, Reset, ConnectFailed, TimedOut}, true},
		{[]Result{Reset}, false},
		{[]Result{Reset, Reset, Reset, Reset, Reset}, false},
		{[]Result{ConnectFailed, ConnectFailed, ConnectFailed}, false},
		{[]Result{Reset, ConnectFailed}, false},
		{[]Result{Reset, ConnectFailed, OK, ConnectFailed}, false},
	} {
		h := newHarness(t, baseConfig(), newEndpoints(1)...)
		e := h.b.endpoints[0]
		for _, result := range append(c.results, OK) {
			id, _ := h.request(nonIdempotentClass)
			h.finishAttempt(id, 0, result, 150)
			if result == ConnectFailed && !e.outlier.ejected(h.b.now) {
				t.Errorf("%v: the endpoint is not ejected after a failed connection", c.results)
			}
			h.now += 60000
		}
		h.now -= 60000
		if got := h.b.slowStart.warmingUp(e, h.b.now); got != c.warmingUp {
			t.Errorf("%v: warming up %v, want %v", c.results, got, c.warmingUp)
		}
	}
}

// Incident: responses that were assumed for sidecars of little traffic counted in slow-start budgets too, and
// together they overloaded an endpoint. A sidecar that has seen no responses may send hardly anything to an
// endpoint that warms up.
func TestAssumedResponsesGrantNoSlowStartBudget(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	e := h.b.endpoints[0]
	entry := e.Endpoint
	entry.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	h.now += 2000
	h.request(idempotentClass) // sets the weights
	e.warmUp.tokens, e.warmUp.refilledAt = 0, h.now-2000
	h.b.slowStart.hasBudget(e, h.b.now)
	if e.warmUp.tokens > 0.2 { // with ten assumed responses it would be 1
		t.Fatalf("budget of %.2f attempts in two seconds, want at most 0.2", e.warmUp.tokens)
	}
	// Of two hundred responses a second the endpoint may have its share.
	h.b.slowStart.responsesPerWeight.add(h.b.now, 400/h.b.slowStart.weightInUse)
	e.warmUp.tokens, e.warmUp.refilledAt = 0, h.now-2000
	h.b.slowStart.hasBudget(e, h.b.now)
	if e.warmUp.tokens < 0.5 {
		t.Fatalf("busy sidecar: budget of %.2f attempts in two seconds, want at least 0.5", e.warmUp.tokens)
	}
}

// Incident: all other endpoints failed, and the retries of every sidecar went to the one that had just
// started, as it had no errors.
func TestRetriesRespectSlowStartBudget(t *testing.T) {
	const sidecars, requests = 40, 20
	attempts := 0 // at the endpoint that warms up
	for n := range sidecars {
		cfg := baseConfig()
		cfg.Seed = uint64(n + 1)
		h := newHarness(t, cfg, newEndpoints(5)...)
		entry := h.b.endpoints[0].Endpoint
		entry.StartedAt = h.now
		h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
		for range requests {
			id, actions := h.request(idempotentClass)
			for attempt := 0; ; attempt++ {
				target, ok := attemptTarget(actions)
				if !ok {
					break
				}
				if target == entry.ID {
					attempts++
				}
				h.now++
				actions = h.finishAttempt(id, attempt, ServerError, 1)
			}
			h.now += 50
		}
	}
	// In this second a warm endpoint's share of the requests is a fifth.
	limit := sidecars * requests / 5 * 2.5 * (0.2 + 0.05)
	if float64(attempts) > limit {
		t.Fatalf("%d attempts at the endpoint that warms up, want at most %.0f", attempts, limit)
	}
}

// An endpoint that accepted no connections and responds again has restarted, and warms up for all sidecars
// that receive gossip about it. Incident: those without attempts there sent it the load of a warm endpoint
// until discovery notified them. One that failed in another way does not warm up.
func TestGossipStartsSlowStartOfRecoveredEndpoints(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		h := newHarness(t, gossipConfig(0), newEndpoints(8)...)
		e := h.b.endpoints[3]
		for sender := 1; sender < 20; sender++ { // however often it failed
			h.receiveConnectionFailures(sender, e, 3, unreachable)
		}
		ejected, warmingUp := e.outlier.ejected(h.b.now), h.b.slowStart.warmingUp(e, h.b.now)
		if !ejected || warmingUp {
			t.Fatalf("unreachable %v, failing: ejected %v, want true; warming up %v, want false",
				unreachable, ejected, warmingUp)
		}
		responses := 0
		for ; e.outlier.ejected(h.b.now) && responses < 5; responses++ {
			h.receiveSuccess(20+responses, e)
		}
		ejected, warmingUp = e.outlier.ejected(h.b.now), h.b.slowStart.warmingUp(e, h.b.now)
		if ejected || warmingUp != unreachable {
			t.Errorf("unreachable %v, after %d responses: ejected %v, want false; warming up %v, want %v",
				unreachable, responses, ejected, warmingUp, unreachable)
		}
	}
}
