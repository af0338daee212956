package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const (
	restartAt       = 8000.0 // time of the endpoints' restart, in ms
	observedTime    = 8000.0 // ms after the restart in which attempts are counted
	minResponseTime = 100.0  // minimum time in ms that an endpoint needs for a response
	endpointRate    = 25.0   // requests per second that a warm endpoint can serve
)

// slowStartScenario describes a simulated fleet of sidecars that share endpoints, one or more of which
// restart half-way.
type slowStartScenario struct {
	name                    string
	sidecars                int
	endpointsPerTenSidecars int     // number of endpoints for each ten sidecars; at least 3 in total
	load                    float64 // request rate, as a fraction of what all endpoints can serve when warm
	skewed                  bool    // one sidecar in five has ten times the traffic of the others
	class                   int     // position of the requests' class in Config.Classes
	restartFraction         float64 // fraction of the endpoints that restart at restartAt; at least one does
	othersDie               bool    // the other endpoints accept no connections after restartAt
	failureFraction         float64 // fraction of attempts that fail, except at restarted endpoints
	restartSidecars         bool    // all sidecars restart too, when notified of the endpoints' restart
	notificationDelay       float64 // ms from the restart until the last sidecars are notified of it
}

// slowStartEvent is one event of a slowStartSimulation.
type slowStartEvent struct {
	at  float64 // ms
	seq int     // order of creation
	run func()
}

// slowStartQueue is a heap of events, ordered by time and then by creation.
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

// slowStartSimulation runs a slowStartScenario in virtual time.
type slowStartSimulation struct {
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
	attemptTimes  map[EndpointID][]float64 // attempts of notified sidecars, by restarted endpoint
	busyUntil     map[EndpointID]float64   // time at which each endpoint has finished its work
}

func newSlowStartSimulation(t *testing.T, scenario slowStartScenario, seed uint64) *slowStartSimulation {
	t.Helper()
	sim := &slowStartSimulation{
		slowStartScenario: scenario,
		t:                 t,
		random:            rand.New(rand.NewPCG(seed, 7)),
		attemptTimes:      map[EndpointID][]float64{},
		busyUntil:         map[EndpointID]float64{},
	}
	sim.endpointCount = max(3, scenario.sidecars*scenario.endpointsPerTenSidecars/10)
	sim.restartCount = max(1, int(scenario.restartFraction*float64(sim.endpointCount)))
	sim.listed = newEndpoints(sim.endpointCount)
	return sim
}

// run simulates the scenario and returns how much of the slow-start budget was used; see budgetUse.
func (scenario slowStartScenario) run(t *testing.T, seed uint64) (fullest, used float64) {
	t.Helper()
	sim := newSlowStartSimulation(t, scenario, seed)
	cfg := baseConfig()
	for n := range scenario.sidecars {
		sim.addSidecar(n, cfg)
	}
	sim.after(restartAt, sim.restartEndpoints)
	for sim.queue.Len() > 0 && sim.now < restartAt+observedTime {
		event := heap.Pop(&sim.queue).(slowStartEvent)
		sim.now = event.at
		event.run()
	}
	return sim.budgetUse(&cfg)
}

// after schedules an event.
func (sim *slowStartSimulation) after(ms float64, run func()) {
	sim.seq++
	heap.Push(&sim.queue, slowStartEvent{at: sim.now + ms, seq: sim.seq, run: run})
}

func (sim *slowStartSimulation) restartEndpoints() {
	for i := range sim.restartCount {
		sim.listed[i].StartedAt = sim.now
		sim.attemptTimes[sim.listed[i].ID] = nil
	}
}

// budgetUse returns two fractions. The first is the highest number of attempts in any overload window at any
// restarted endpoint, as a fraction of the endpoint's budget plus an allowance for chance. The second is the
// mean fraction of the budget, without the allowance, that was used over observedTime.
func (sim *slowStartSimulation) budgetUse(cfg *Config) (fullest, used float64) {
	// budget returns how many requests all sidecars may send in a window (in ms) to an endpoint of an age.
	budget := func(age, window float64) float64 {
		return cfg.OverloadFactor * slowStartFractionAt(age) * endpointRate * window / 1000
	}
	for _, times := range sim.attemptTimes {
		for i := range times {
			first := 0
			for times[first] <= times[i]-cfg.OverloadWindow {
				first++
			}
			ageAtWindowStart := math.Max(0, times[i]-restartAt-cfg.OverloadWindow)
			allowed := budget(ageAtWindowStart, cfg.OverloadWindow)
			fullest = math.Max(fullest, float64(i-first+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
		used += float64(len(times)) / budget(observedTime/2, observedTime) / float64(len(sim.attemptTimes))
	}
	return fullest, used
}

// slowStartFractionAt returns the least fraction of its capacity that an endpoint has at an age in ms.
func slowStartFractionAt(age float64) float64 {
	cfg := baseConfig()
	return cfg.SlowStartFraction + (1-cfg.SlowStartFraction)*math.Min(1, age/cfg.SlowStartDuration)
}

// attempt makes an attempt at an endpoint and returns its result and its latency in ms.
func (sim *slowStartSimulation) attempt(id EndpointID, notified bool) (Result, float64) {
	times, restarted := sim.attemptTimes[id]
	switch {
	case restarted && notified:
		sim.attemptTimes[id] = append(times, sim.now)
	case restarted: // sidecars that have not been notified cannot respect the budget
	case sim.now > restartAt && sim.othersDie:
		return ConnectFailed, 1
	case sim.random.Float64() < sim.failureFraction:
		return ServerError, 5
	}
	speed := 1.0
	if restarted {
		speed = slowStartFractionAt(sim.now - restartAt)
	}
	sim.busyUntil[id] = math.Max(sim.busyUntil[id], sim.now) + 1000/endpointRate/speed
	return OK, math.Max(minResponseTime, sim.busyUntil[id]-sim.now)
}

// slowStartSidecar is a sidecar of a slowStartSimulation, with its clients.
type slowStartSidecar struct {
	sim          *slowStartSimulation
	cfg          Config
	b            *Balancer // replaced when the sidecar restarts
	notified     bool      // the sidecar knows of the endpoints' restart
	traffic      float64   // request rate, relative to the sidecars with little traffic
	totalTraffic float64   // sum of traffic over all sidecars
}

// addSidecar starts a sidecar and schedules its requests and its notification of the restart.
func (sim *slowStartSimulation) addSidecar(n int, cfg Config) {
	cfg.Seed = uint64(n) + 100*sim.random.Uint64N(1000)
	cfg.PeerIndex = n
	cfg.PeerCount = sim.sidecars
	s := &slowStartSidecar{sim: sim, cfg: cfg, traffic: 1, totalTraffic: float64(sim.sidecars)}
	if sim.skewed {
		s.totalTraffic = 2.8 * float64(sim.sidecars)
		if n%5 == 0 {
			s.traffic = 10
		}
	}
	s.start()
	sim.after(restartAt+0.001+sim.notificationDelay*sim.random.Float64(), s.notifyOfRestart)
	sim.after(s.nextGap(), s.sendRequest)
}

func (s *slowStartSidecar) start() {
	s.b = New(s.cfg)
	s.apply(s.b, append([]Action(nil), s.b.Start(s.sim.now)...))
	s.handle(s.b, EndpointUpdate{Kind: Snapshot, Endpoints: s.sim.listed})
}

func (s *slowStartSidecar) notifyOfRestart() {
	s.notified = true
	if s.sim.restartSidecars {
		s.cfg.Seed++
		s.start()
	} else {
		s.handle(s.b, EndpointUpdate{Kind: Delta, Endpoints: s.sim.listed[:s.sim.restartCount]})
	}
}

// nextGap returns a random time in ms until the sidecar's next request.
func (s *slowStartSidecar) nextGap() float64 {
	sim := s.sim
	return sim.random.ExpFloat64() * 1000 * s.totalTraffic / s.traffic /
		(sim.load * endpointRate * float64(sim.endpointCount))
}

func (s *slowStartSidecar) sendRequest() {
	s.sim.lastID++
	timeout := s.cfg.Classes[s.sim.class].Deadline
	s.handle(s.b, Request{ID: s.sim.lastID, Class: s.sim.class, Timeout: timeout})
	s.sim.after(s.nextGap(), s.sendRequest)
}

// handle passes an event to a balancer of the sidecar: the current balancer or, for the result of an action
// from before a restart of the sidecar, the balancer that returned the action.
func (s *slowStartSidecar) handle(b *Balancer, event Event) {
	s.sim.t.Helper()
	actions, err := b.Handle(s.sim.now, event)
	if err != nil {
		s.sim.t.Fatal(err)
	}
	s.apply(b, append([]Action(nil), actions...))
}

// apply carries out the actions of a balancer.
func (s *slowStartSidecar) apply(b *Balancer, actions []Action) {
	started := map[RequestID]int{}
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			s.sim.after(a.Delay, func() { s.handle(b, Timer{Token: a.Token}) })
		case StartAttempt:
			number := len(b.requests[a.Request].attempts) - 1 + started[a.Request]
			started[a.Request]++
			result, latency := s.sim.attempt(a.Endpoint, s.notified)
			s.sim.after(latency, func() {
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

// finishAttempt passes the end of an attempt to the balancer if the attempt is still in flight.
func (s *slowStartSidecar) finishAttempt(b *Balancer, event AttemptResult) {
	r := b.requests[event.Request]
	if r != nil && event.Attempt < len(r.attempts) && r.attempts[event.Attempt].inFlight {
		s.handle(b, event)
	}
}

// Guards against overloading an endpoint that has just started: what all sidecars together send to it must
// stay within its slow-start budget, with a small allowance for chance, whatever happens to the other
// endpoints.
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
			{name: "other endpoints die", load: 0.7, restartFraction: 0.1, othersDie: true},
			{
				name: "other endpoints die and sidecars restart", load: 0.7,
				restartFraction: 0.1, othersDie: true, restartSidecars: true,
			},
			{name: "late notification", load: 0.7, notificationDelay: 900},
		} {
			scenario.sidecars, scenario.endpointsPerTenSidecars = sidecars, 4
			if sidecars == 300 {
				scenario.endpointsPerTenSidecars = 2
			}
			t.Run(fmt.Sprintf("%d sidecars/%s", sidecars, scenario.name), func(t *testing.T) {
				var fullest, used float64
				for seed := range uint64(2) {
					seedFullest, seedUsed := scenario.run(t, seed)
					fullest = math.Max(fullest, seedFullest)
					used += seedUsed / 2
				}
				t.Logf("fullest window: %.2f of the allowed attempts; %.2f of the budget used", fullest, used)
				if fullest > 1 {
					t.Errorf("fullest window: %.2f of the allowed attempts, want at most 1", fullest)
				}
			})
		}
	}
}

// Guards against overloading a warming-up endpoint. This happened when the slow-start budget followed the
// requests of clients, retries included, and when many sidecars had seen few responses each. Whatever their
// number, all sidecars together must stay within the allowed multiple of the endpoint's capacity.
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
		// A warm endpoint gets an equal share of the traffic. A warming-up endpoint can serve
		// SlowStartFraction of this share, a little more with time, and fails at OverloadFactor times what it
		// can serve.
		equalShare := float64(c.sidecars*c.perSecond) / float64(c.endpoints)
		limit := equalShare * cfg.OverloadFactor * (cfg.SlowStartFraction + 0.05)
		if later == 0 || float64(early) > limit {
			t.Errorf("%+v: %d attempts in the first second of warm-up, want at most %.0f; "+
				"%d later, want some", c, early, limit, later)
		}
	}
}

// attemptsAfterRestart simulates 6 s of one sidecar with steady traffic. Endpoint 1 restarts after 3 s. It
// returns the number of attempts at endpoint 1 in the first second after the restart, and after this second.
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

// An endpoint that lost connections, accepted no new connections and then responds has restarted, even if the
// endpoint list does not say so yet. Guards against taking either fault alone for a restart: endpoints with
// full accept backlogs, and endpoints behind a network that resets connections, got only the traffic of a
// warming-up endpoint.
func TestRecoveredEndpointStartsSlow(t *testing.T) {
	for _, c := range []struct {
		results   []Result // results of attempts, followed by one OK
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
				t.Errorf("results %v: the endpoint is not ejected after a failed connection", c.results)
			}
			h.now += 60000
		}
		h.now -= 60000
		if got := h.b.slowStart.warmingUp(e, h.b.now); got != c.warmingUp {
			t.Errorf("results %v: warming up %v, want %v", c.results, got, c.warmingUp)
		}
	}
}

// A sidecar that has seen no responses may send very few requests to a warming-up endpoint. Guards against
// counting assumed responses of sidecars with little traffic in slow-start budgets: the budgets of many such
// sidecars together overloaded an endpoint.
func TestAssumedResponsesGrantNoSlowStartBudget(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	e := h.b.endpoints[0]
	entry := e.Endpoint
	entry.StartedAt = h.now
	h.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	h.now += 2000
	h.request(idempotentClass) // sets slowStart.weightInUse and the weights
	e.warmUp.tokens, e.warmUp.refilledAt = 0, h.now-2000
	h.b.slowStart.hasBudget(e, h.b.now)
	if e.warmUp.tokens > 0.2 { // with ten assumed responses the budget would be 1
		t.Fatalf("budget of %.2f attempts in two seconds, want at most 0.2", e.warmUp.tokens)
	}
	// At 200 responses per second the endpoint may have its share of the traffic.
	h.b.slowStart.responsesPerWeight.add(h.b.now, 400/h.b.slowStart.weightInUse)
	e.warmUp.tokens, e.warmUp.refilledAt = 0, h.now-2000
	h.b.slowStart.hasBudget(e, h.b.now)
	if e.warmUp.tokens < 0.5 {
		t.Fatalf("busy sidecar: budget of %.2f attempts in two seconds, want at least 0.5", e.warmUp.tokens)
	}
}

// Guards against overloading a warming-up endpoint with retries: when all other endpoints failed, the retries
// of every sidecar went to the endpoint that had just started, because it had no errors.
func TestRetriesRespectSlowStartBudget(t *testing.T) {
	const sidecars, requests = 40, 20
	attempts := 0 // attempts at the warming-up endpoint
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
	// A warm endpoint would get one fifth of the requests in this second.
	limit := sidecars * requests / 5 * 2.5 * (0.2 + 0.05)
	if float64(attempts) > limit {
		t.Fatalf("%d attempts at the warming-up endpoint, want at most %.0f", attempts, limit)
	}
}

// An endpoint that accepted no connections and responds again has restarted, and warms up for all sidecars
// that receive gossip about it. Guards against the load of a warm endpoint from sidecars that had no attempts
// there and were not notified by discovery yet. An endpoint that failed in another way does not warm up.
func TestGossipStartsSlowStartOfRecoveredEndpoints(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		h := newHarness(t, gossipConfig(0), newEndpoints(8)...)
		e := h.b.endpoints[3]
		for sender := 1; sender < 20; sender++ { // the endpoint warms up however many failures there were
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
