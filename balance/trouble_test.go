package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

func healthCheckConfig() Config {
	cfg := baseConfig()
	cfg.HealthChecks, cfg.ReportSource, cfg.ReportFields = true, ReportHealthCheck, []ReportField{FieldInFlight}
	return cfg
}

// probes answers the probes of acts: servers in dark give no answer, the others hold n requests.
func (g *harness) answerHealthChecks(acts []Action, n float32, dark map[EndpointID]bool) []Action {
	var after []Action
	for _, a := range acts {
		if a.Kind != HealthCheck {
			continue
		}
		res := HealthCheckResult{Endpoint: a.Endpoint, LoadReport: []float32{n}}
		if dark[a.Endpoint] {
			res = HealthCheckResult{Endpoint: a.Endpoint, Result: TimedOut}
		}
		after = append(after, g.handle(res)...)
	}
	return after
}

// Links were cut and most probes lost, and the servers next in turn, which nobody could use,
// were probed again for every request.
func TestUnreachableEndpointsAreEjectedAndReturn(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	dark := map[EndpointID]bool{1: true, 2: true}
	for i := range 4 {
		id, acts := g.request(idempotentClass)
		if asked := len(acts) - 1; i > 0 && asked > 1 {
			t.Fatalf("request %d: %d servers probed though two are out of reach", id, asked)
		}
		if s, ok := attemptTarget(g.answerHealthChecks(acts, 0, dark)); !ok || s != 3 {
			t.Fatalf("request %d went to %d", id, s)
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	g.now += 10000 // their rest is over and they answer again
	used := map[EndpointID]bool{}
	for range 6 {
		id, acts := g.request(idempotentClass)
		s, _ := attemptTarget(g.answerHealthChecks(acts, 0, nil))
		used[s] = true
		g.finishAttempt(id, 0, OK, 10)
	}
	if !used[1] || !used[2] {
		t.Fatalf("used %v after they came back", used)
	}
}

// A sidecar with little traffic cannot know from its own requests what others fill.
func TestQueuedEndpointIsSkippedAfterHealthCheck(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	g.b.endpoints[0].currentWeight = 1000 // its turn
	id, acts := g.request(idempotentClass)
	if hasAction(acts, StartAttempt) {
		t.Fatal("sent before the probes were answered")
	}
	g.handle(HealthCheckResult{Endpoint: 1, LoadReport: []float32{5}})
	g.handle(HealthCheckResult{Endpoint: 2, LoadReport: []float32{0}})
	if s, ok := attemptTarget(g.handle(HealthCheckResult{Endpoint: 3, LoadReport: []float32{4}})); !ok || s != 2 {
		t.Fatalf("request %d went to %d, want the empty server", id, s)
	}
}

func TestWaitForHealthChecksIsBounded(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), newEndpoints(3)...)
	id, _ := g.request(idempotentClass)
	g.now = g.b.requests[id].wakeAt
	if acts := g.handle(Timer{Token: uint64(id)}); !hasAction(acts, StartAttempt) || g.now > 1000+0.1*300 {
		t.Fatalf("at %v: %+v", g.now, acts)
	}
}

// A hung server is passed over at once, for what it holds, and rested after several strikes;
// what is stuck there must not look like overload of the whole fleet.
func TestHungEndpointIsNotOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(6)...)
	hung := 0
	for range 900 {
		g.now += 5
		for _, a := range g.dueTimers() {
			g.handle(a)
		}
		id, acts := g.request(idempotentClass)
		s, ok := attemptTarget(acts)
		if !ok {
			t.Fatalf("request %d was refused: shed %v", id, g.b.baseShedFraction)
		}
		if s == 1 {
			hung++
			continue
		}
		g.now++
		g.finishAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung server got %d of 900", hung)
	}
}

// due returns the timers of open requests that have come.
func (g *harness) dueTimers() []Timer {
	var list []Timer
	for id := RequestID(1); id <= g.lastID; id++ {
		if r := g.b.requests[id]; r != nil && r.wakeAt <= g.now && !r.closed {
			list = append(list, Timer{Token: uint64(id)})
		}
	}
	return list
}

// In overload every queue filled and all answers came late. What cannot be answered in time is
// refused before it is sent, least worth first.
func TestOverloadShedsLowestPriorityFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	refused := map[int]int{}
	var open []RequestID
	for i := range 2000 {
		g.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, acts := g.request(class)
		if hasAction(acts, Reject) {
			refused[class]++
			continue
		}
		open = append(open, id)
		if len(open) > 150 { // answers take 300 ms and more
			g.finishAttempt(open[0], 0, OK, 300)
			open = open[1:]
		}
	}
	if refused[idempotentClass] < 100 || refused[nonIdempotentClass] >= refused[idempotentClass] {
		t.Fatalf("refused %d of low worth and %d of high worth", refused[idempotentClass], refused[nonIdempotentClass])
	}
}

// In a congested fleet all answers are late, and that is no server's fault: once the class is
// known to take long, an attempt of 430 ms with an aim of 300 is no error.
func TestLatenessUnderCongestionIsNoError(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	times := []float64{370, 430, 400}
	for i := range 60 {
		id, acts := g.request(nonIdempotentClass)
		if !hasAction(acts, StartAttempt) {
			continue
		}
		end := g.now + times[i%3]
		for r := g.b.requests[id]; !r.closed && r.wakeAt < end; {
			g.now = r.wakeAt
			g.handle(Timer{Token: uint64(id)})
		}
		g.now = end
		if i > 30 && g.b.requests[id].attempts[0].overdue {
			t.Fatalf("attempt %d of %v ms is held to be overdue after %v", i, times[i%3], g.b.overdueAfter(g.b.requests[id]))
		}
		g.finishAttempt(id, 0, OK, times[i%3])
	}
	id, _ := g.request(nonIdempotentClass)
	r := g.b.requests[id]
	if g.now = r.wakeAt; g.now >= r.deadline {
		t.Fatal("nothing looks at the attempt before its deadline")
	}
	if g.handle(Timer{Token: uint64(id)}); !r.attempts[0].overdue || r.attempts[0].endpoint.consecutiveErrors != 1 {
		t.Fatal("an attempt far beyond all others is no error")
	}
}

// What hangs at a resting server is that server's trouble and must not shed load. But as a whole fleet broke
// down all servers rested, nothing in flight counted, and the shedding stopped when it was needed most.
func TestEjectedEndpointsAreNoLoadUnlessMostAreEjected(t *testing.T) {
	for _, c := range []struct {
		rested, steady float64
		sheds          bool
	}{{20, 0.1, true}, {0.4, 0.5, false}} {
		g := newHarness(t, baseConfig(), newEndpoints(2)...)
		g.b.responseRate.rate(g.b, 2, 0)
		g.b.shortTermLatency = 1
		g.b.endpoints[0].objectiveLoad, g.b.endpoints[1].objectiveLoad = c.rested, c.steady
		g.b.eject(g.b.endpoints[0])
		for range 20 {
			g.request(nonIdempotentClass)
			g.b.endpoints[0].objectiveLoad, g.b.endpoints[1].objectiveLoad = c.rested, c.steady
		}
		if g.b.baseShedFraction > 0 != c.sheds {
			t.Errorf("%+v: lasting part %.2f", c, g.b.baseShedFraction)
		}
	}
}

// crowd sets the lasting part to shed and fills the fleet so that answers take the given part of the
// aim longer than they may.
func (g *harness) overload(lasting, over float64) {
	full := g.b.baselineLatency + queueAllowance*(1-g.b.baselineLatency)
	g.b.baseShedFraction = lasting
	g.b.endpoints[0].objectiveLoad += (full+over)*g.b.responseRate.rate(g.b, 0, assumedResponses)/trustedLoadFraction - g.offeredLoad()
	g.b.shortTermLatency = 1
}

// shedding brings 4000 requests, drawn from turns of (class, tenant), of which 0.4 of the work is to be shed,
// and returns the part refused of each class and of each tenant.
func shedding(t *testing.T, cfg Config, turns ...[2]int) (byClass, byTenant [5]float64) {
	t.Helper()
	g := newHarness(t, cfg, newEndpoints(4)...)
	var asked [2][5]float64
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		turn := turns[draw.IntN(len(turns))]
		g.now++
		g.overload(0.4, 0)
		asked[0][turn[0]]++
		asked[1][turn[1]]++
		id := RequestID(i + 1)
		acts := g.handle(Request{ID: id, Class: turn[0], Tenant: turn[1], Timeout: cfg.Classes[turn[0]].Deadline})
		if hasAction(acts, Reject) {
			byClass[turn[0]]++
			byTenant[turn[1]]++
		} else {
			g.finishAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, asked[0][i])
		byTenant[i] /= max(1, asked[1][i])
	}
	return byClass, byTenant
}

// Busy sidecars let queues grow for seconds before enough was shed, and crowded servers
// stayed slow. What is shed follows the load at once, between nothing and twice the lasting part; a
// sidecar that has not shed lately refuses nothing, as its few requests may crowd by chance.
func TestSheddingFollowsLoadImmediately(t *testing.T) {
	for _, c := range []struct {
		lasting, over float64 // over: of the aim, beyond what answers may take
		least, most   float64 // part refused
	}{{0, 0.5, 0, 0.1}, {0.4, 0, 0.3, 0.5}, {0.4, 0.5, 0.7, 0.9}, {0.4, -0.3, 0, 0}} {
		g := newHarness(t, baseConfig(), newEndpoints(4)...)
		for range 100 {
			id, _ := g.request(idempotentClass)
			g.now += 5
			g.finishAttempt(id, 0, OK, 50)
		}
		refused := 0.0
		for range 200 {
			g.overload(c.lasting, c.over)
			if _, acts := g.request(idempotentClass); hasAction(acts, Reject) {
				refused++
			}
		}
		if refused /= 200; refused < c.least || refused > c.most {
			t.Errorf("%+v: %.2f were refused", c, refused)
		}
	}
}

// Of two tenants with equal shares the one that asks three times as much loses what is beyond its
// share; when both ask for the same they lose the same.
func TestTenantsOverQuotaAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{QuotaShare: 0.5}, {QuotaShare: 0.5}}
	_, refused := shedding(t, cfg, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 0}, [2]int{0, 1})
	if refused[0] < 0.4 || refused[1] > 0.1 {
		t.Fatalf("refused %.2f of the tenant with much traffic, %.2f of the other", refused[0], refused[1])
	}
	_, refused = shedding(t, cfg, [2]int{0, 0}, [2]int{0, 1})
	if math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("of equal tenants %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// The class of least worth was refused wholly although the worst-served class weighs much
// in the goal. Then the classes come near each other; without such a weight the least goes first.
func TestGoalOfTheWorstClassKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	turns := [][2]int{{idempotentClass, 0}, {nonIdempotentClass, 0}}
	cfg.Goal = Goal{Overall: 1}
	if refused, _ := shedding(t, cfg, turns...); refused[idempotentClass] < 0.7 || refused[nonIdempotentClass] > 0.1 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[idempotentClass], refused[nonIdempotentClass])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstClass: 0.7}
	if refused, _ := shedding(t, cfg, turns...); refused[idempotentClass] > 0.5 || refused[nonIdempotentClass] < 0.3 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[idempotentClass], refused[nonIdempotentClass])
	}
}

// A tenant beyond its share is not starved where the worst-served tenant weighs in the goal.
func TestGoalOfTheWorstTenantKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{QuotaShare: 0.8}, {QuotaShare: 0.2}}
	turns := [][2]int{{0, 0}, {0, 1}}
	cfg.Goal = Goal{Overall: 1}
	if _, refused := shedding(t, cfg, turns...); refused[0] > 0.1 || refused[1] < 0.7 {
		t.Fatalf("without the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstTenant: 0.7}
	if _, refused := shedding(t, cfg, turns...); math.Abs(refused[0]-refused[1]) > 0.15 {
		t.Fatalf("with the weight %.2f and %.2f are refused", refused[0], refused[1])
	}
}

// A restarted server starts afresh: nothing of its rests, nor that it was dark, is left.
func TestRestartClearsOutlierState(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(2)...)
	s := g.b.endpoints[0]
	g.handle(HealthCheckResult{Endpoint: s.ID, Result: TimedOut})
	if !s.unreachable || !g.b.ejected(s) {
		t.Fatal("a probe without answer does not rest the server")
	}
	entry := s.Endpoint
	entry.StartedAt = g.now
	g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	if s.unreachable || s.ejections != 0 || g.b.ejected(s) {
		t.Fatalf("after the restart: dark %v, rests %d", s.unreachable, s.ejections)
	}
}

// Twice as fast a server is found to be larger, and its kind with it.
func TestCapacityIsLearned(t *testing.T) {
	servers := newEndpoints(4)
	servers[2].MachineType, servers[3].MachineType = 1, 1
	g := newHarness(t, baseConfig(), servers...)
	hits := map[EndpointID]int{}
	for range 1500 {
		id, acts := g.request(idempotentClass)
		s, _ := attemptTarget(acts)
		hits[s]++
		g.now += 5
		g.finishAttempt(id, 0, OK, map[bool]float64{true: 20, false: 40}[s > 2])
	}
	if hits[3]+hits[4] < 3*(hits[1]+hits[2])/2 {
		t.Fatalf("hits %v", hits)
	}
	if g.b.machineTypeCapacity[1] <= g.b.machineTypeCapacity[0] {
		t.Fatalf("kinds %v", g.b.machineTypeCapacity)
	}
}

// Half the fleet was gone and clients' later tries, too late to be worth anything, took what was
// left of it.
func TestLateClientRetriesAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].LateWeight = 0.3
	for _, c := range []struct {
		shed, remaining float64
		refused         bool
	}{
		{0.5, 1000, true},   // 500 ms gone, the aim of 300 has passed
		{0.2, 1000, false},  // the load to shed is less than what a late answer is worth
		{0.5, 1300, false},  // 200 ms gone, it can still be in time
		{0.99, 1500, false}, // a first try
	} {
		g := newHarness(t, cfg, newEndpoints(4)...)
		g.request(idempotentClass)
		g.b.baseShedFraction = c.shed
		r := &request{
			Request: Request{Timeout: c.remaining}, class: &g.b.cfg.Classes[idempotentClass], classStats: &g.b.classes[idempotentClass],
		}
		if got := g.b.pastObjective(r) && g.b.baseShedFraction >= r.class.LateWeight; got != c.refused {
			t.Errorf("%+v: refused %v", c, got)
		}
		if !c.refused {
			continue
		}
		g.b.baseShedFraction = c.shed
		if acts := g.handle(Request{ID: 77, Timeout: c.remaining}); !hasAction(acts, Reject) {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// Where clients mark later tries, a first try is never late, and one later try that takes all the time left to its
// client did not make the sidecar refuse all first tries after it.
func TestLongClientRetry(t *testing.T) {
	cfg := baseConfig()
	cfg.ClientsMarkRetries = true
	g := newHarness(t, cfg, newEndpoints(4)...)
	next := RequestID(0)
	come := func(remaining float64, repeat bool) []Action {
		next++
		return g.handle(Request{ID: next, Class: idempotentClass, Timeout: remaining, IsRetry: repeat})
	}
	come(700, false)
	come(1490, true)
	for _, c := range []struct {
		remaining float64
		repeat    bool
		refused   bool
	}{
		{700, false, false},
		{650, false, false}, // it came late to us, not to its client
		{700, true, false},  // perhaps at once after the first
		{1300, true, false}, // 200 ms gone
		{600, true, true},   // 900 ms gone
	} {
		if acts := come(c.remaining, c.repeat); hasAction(acts, Reject) != c.refused {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// A server that hangs raised no error before the client's time was up. What may run again goes to another server
// once the first is overdue, never while the first attempt is still out, and not where nothing can be gained.
func TestOverdueAttemptIsRetriedElsewhere(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     int
		servers   int
		shed      float64
		past      float64 // since the request came
		elsewhere bool
	}{
		{"a hung server", idempotentClass, 3, 0, 100, true},
		{"it must not run twice", nonIdempotentClass, 3, 0, 100, false},
		{"the key is known in its cell alone", cellKeyClass, 3, 0, 100, false},
		{"there is no other", idempotentClass, 1, 0, 100, false},
		{"load is shed", idempotentClass, 3, 0.5, 100, false},
		{"too late to be in time", idempotentClass, 3, 0, 299, false},
	} {
		g := newHarness(t, baseConfig(), newEndpoints(c.servers)...)
		for range 20 {
			id, _ := g.request(c.class)
			g.now += 10
			g.finishAttempt(id, 0, OK, 10)
		}
		id, acts := g.request(c.class)
		first, _ := attemptTarget(acts)
		g.b.baseShedFraction = c.shed
		g.now += c.past
		acts = g.handle(Timer{Token: uint64(id)})
		if hasAction(acts, StartAttempt) || hasAction(acts, CancelAttempt) != c.elsewhere {
			t.Errorf("%s: %+v", c.name, acts)
		}
		if !c.elsewhere {
			continue
		}
		if next, ok := attemptTarget(g.finishAttempt(id, 0, Canceled, 100)); !ok || next == first {
			t.Errorf("%s: sent again %v, to %d after %d", c.name, ok, next, first)
		}
		if acts := g.handle(Timer{Token: uint64(id)}); hasAction(acts, CancelAttempt) || hasAction(acts, StartAttempt) {
			t.Errorf("%s: then %+v", c.name, acts)
		}
	}
}

// A server that leaves several attempts unanswered is rested, and used again after an answer.
func TestConsecutiveErrorsEjectAnEndpoint(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(3)...)
	s := g.b.endpoints[0]
	for range ejectionErrors - 1 {
		g.b.recordError(s, false)
	}
	if g.b.ejected(s) {
		t.Fatal("rested before the last strike")
	}
	g.b.recordError(s, false)
	if !g.b.ejected(s) {
		t.Fatal("not rested after the last strike")
	}
	for range 12 {
		id, acts := g.request(idempotentClass)
		if to, _ := attemptTarget(acts); to == s.ID {
			t.Fatal("a resting server got a request")
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	g.now = s.ejectedUntil
	for range 12 {
		id, acts := g.request(idempotentClass)
		to, _ := attemptTarget(acts)
		if g.finishAttempt(id, 0, OK, 10); to == s.ID && s.ejectedUntil == 0 && s.consecutiveErrors == 0 {
			return
		}
	}
	t.Fatal("the server was not tried after its rest")
}

// When all servers rest the cause is hardly theirs.
func TestAllEjectedEndpointsAreStillUsed(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(3)...)
	for _, s := range g.b.endpoints {
		g.b.recordError(s, true)
	}
	if _, acts := g.request(idempotentClass); !hasAction(acts, StartAttempt) {
		t.Fatalf("nothing was sent: %+v", acts)
	}
}

// Where probes cost too much to make any, every request was remembered as waiting for some, for good.
func TestAnsweredRequestsAreForgotten(t *testing.T) {
	for _, price := range []float64{0.0001, 0.05} {
		cfg := baseConfig()
		cfg.HealthChecks, cfg.ReportSource, cfg.ReportFields = true, ReportHealthCheck, []ReportField{FieldInFlight}
		cfg.Penalties.HealthCheck = price
		g := newHarness(t, cfg, newEndpoints(3)...)
		for range 100 {
			id, acts := g.request(idempotentClass)
			for _, a := range acts {
				if a.Kind == HealthCheck {
					g.handle(HealthCheckResult{Endpoint: a.Endpoint, LoadReport: []float32{0}})
				}
			}
			g.finishAttempt(id, 0, OK, 10)
			g.now += 100
		}
		if len(g.b.requests) != 0 || len(g.b.awaitingChecks) != 0 {
			t.Errorf("price %v: %d requests known and %d held after all were answered", price, len(g.b.requests), len(g.b.awaitingChecks))
		}
	}
}

// Probes cost: in quiet hours a few find an idle server, in busy ones all are asked.
func TestHealthCheckFanoutFollowsBusyFraction(t *testing.T) {
	g := newHarness(t, healthCheckConfig(), newEndpoints(12)...)
	asked := func(holds float32) int {
		n := 0
		for range 60 {
			g.now += 10
			id, acts := g.request(idempotentClass)
			n = 0
			for _, a := range acts {
				if a.Kind == HealthCheck {
					n++
				}
			}
			g.answerHealthChecks(acts, holds, nil)
			g.finishAttempt(id, 0, OK, 10)
		}
		return n
	}
	idle := asked(0)
	if busy := asked(1); idle > 3 || busy != 12 {
		t.Fatalf("%d servers probed when all are idle, %d when all are busy", idle, busy)
	}
}

// Where crossing zones has a price, the own zone gets more, and others still take their part.
func TestOwnZoneIsPreferredWhenCrossingCosts(t *testing.T) {
	for price, least := range map[float64]int{0: 10, 0.05: 25} {
		cfg := baseConfig()
		cfg.Penalties.CrossZone, cfg.Zone = price, 1
		g := newHarness(t, cfg, newEndpoints(8)...)
		own := 0
		for _, s := range sequence(g, 40) {
			if s > 4 {
				own++
			}
		}
		if own < least || own > 38 || price == 0 && own != 20 {
			t.Errorf("price %v: %d of 40 in the own zone", price, own)
		}
	}
}

// Traffic grew sevenfold within seconds on an enlarged fleet; answers stayed fast, but the attempts
// in flight were set against the rate of answers of some time before, and half was refused.
func TestFastGrowthIsNoOverload(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(12)...)
	var open []RequestID
	refused := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold in some nine seconds
		g.now += gap
		id, acts := g.request(idempotentClass)
		if hasAction(acts, Reject) {
			refused++
			continue
		}
		open = append(open, id)
		for len(open) > 0 && g.b.requests[open[0]].arrivedAt <= g.now-80 { // each answer takes about 80 ms
			g.finishAttempt(open[0], 0, OK, 80)
			open = open[1:]
		}
	}
	if refused > 0 {
		t.Fatalf("%d requests were refused", refused)
	}
}

// A restarted sidecar with few requests used slow servers as much as fast ones for a minute.
func TestCapacityIsLearnedFastAtFirst(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(2)...)
	fast, slow := g.b.endpoints[0], g.b.endpoints[1]
	for range 20 {
		g.b.learnCapacity(fast, 0.5)
		g.b.learnCapacity(slow, 1.5)
	}
	early := fast.learnedCapacity - slow.learnedCapacity
	for range 2000 { // much later, of two servers alike, one turns fast
		g.b.learnCapacity(fast, 1)
		g.b.learnCapacity(slow, 1)
	}
	before := fast.learnedCapacity - slow.learnedCapacity
	for range 20 {
		g.b.learnCapacity(fast, 0.5)
		g.b.learnCapacity(slow, 1.5)
	}
	if late := fast.learnedCapacity - slow.learnedCapacity - before; early < 3*late || late <= 0 {
		t.Fatalf("learned %.3f at first and %.3f later", early, late)
	}
}

// A request that must not run twice was lost for good at a server that had just failed, while others did well.
func TestNonIdempotentRequestsAvoidUnhealthyEndpoints(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	suspect := g.b.endpoints[2]
	suspect.consecutiveErrors, suspect.lastErrorAt = 1, g.now
	hits := map[int]int{}
	for i := range 40 {
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, acts := g.request(class)
		if s, _ := attemptTarget(acts); s == suspect.ID {
			hits[class]++
		}
		g.b.requests[id].classStats.samples = 0
		g.finishAttempt(id, 0, OK, 10)
		suspect.consecutiveErrors, suspect.lastErrorAt = 1, g.now
	}
	if hits[nonIdempotentClass] != 0 || hits[idempotentClass] == 0 {
		t.Fatalf("the suspect got %d that must not repeat, %d that may", hits[nonIdempotentClass], hits[idempotentClass])
	}
	for _, s := range g.b.endpoints { // with all suspect the rotation goes on over all of them
		s.consecutiveErrors, s.lastErrorAt = 1, g.now
	}
	if _, acts := g.request(nonIdempotentClass); !hasAction(acts, StartAttempt) {
		t.Fatal("nothing was sent with all suspect")
	}
}

// Every request of a failing fleet was sent twice, which doubled the load. Repeats come out of a budget.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(6)...)
	repeats := 0
	const requests = 200
	for range requests {
		id, acts := g.request(idempotentClass)
		if !hasAction(acts, StartAttempt) {
			continue
		}
		g.now++
		if hasAction(g.finishAttempt(id, 0, ServerError, 1), StartAttempt) {
			repeats++
			g.finishAttempt(id, 1, ServerError, 1)
		}
	}
	if most := int(retryBudgetBurst + retryBudgetRatio*requests); repeats < most/2 || repeats > most {
		t.Fatalf("%d of %d requests were repeated, at most %d wanted", repeats, requests, most)
	}
}

// A safe request that failed after its aim was refused though a late answer was still worth something.
func TestLateResponsesOfValueAreAwaited(t *testing.T) {
	for worth, sent := range map[float64]bool{0: false, 0.5: true} {
		cfg := baseConfig()
		cfg.Classes[idempotentClass].LateWeight = worth
		g := newHarness(t, cfg, newEndpoints(3)...)
		id, _ := g.request(idempotentClass)
		g.now += cfg.Classes[idempotentClass].LatencyObjective + 1
		if acts := g.finishAttempt(id, 0, ServerError, 301); hasAction(acts, StartAttempt) != sent || hasAction(acts, Reject) == sent {
			t.Errorf("worth %v of late answers: %+v", worth, acts)
		}
	}
}

// A few requests of a quiet sidecar often meet by chance; they were taken for a crowd and some refused. While
// answers come quickly nothing is shed, whatever is in flight.
func TestFastResponsesShedNothing(t *testing.T) {
	for quick, refuses := range map[bool]bool{true: false, false: true} {
		g := newHarness(t, baseConfig(), newEndpoints(4)...)
		for range 60 {
			id, _ := g.request(idempotentClass)
			g.now += 5
			g.finishAttempt(id, 0, OK, map[bool]float64{true: 30, false: 290}[quick])
		}
		refused := false
		for range 60 {
			g.b.endpoints[0].objectiveLoad++
			_, acts := g.request(idempotentClass)
			refused = refused || hasAction(acts, Reject)
		}
		if refused != refuses {
			t.Errorf("quick answers %v: refused %v", quick, refused)
		}
	}
}

// The own data centre had more traffic than its servers could carry, while the other stood idle: where
// answers turn slow the favour that the price of crossing earns the own zone ends.
func TestSlowResponsesEndZonePreference(t *testing.T) {
	cfg := baseConfig()
	cfg.Penalties.CrossZone, cfg.Zone = 0.05, 1
	g := newHarness(t, cfg, newEndpoints(8)...)
	near, far := g.b.endpoints[7], g.b.endpoints[0]
	if g.b.weightOf(near) < 10*g.b.weightOf(far) {
		t.Error("the own zone is not favoured in quiet times")
	}
	g.b.baselineLatency, g.b.meanLatency = 0.2, 0.6
	if g.b.weightOf(near) != g.b.weightOf(far) {
		t.Error("the own zone is favoured though answers are slow")
	}
}

// Of the same crowd a sidecar of few requests must take in as much as a busy one within some aims: it went on
// sending until servers that stay slow once crowded had choked.
func TestLowTrafficFollowsLoad(t *testing.T) {
	steady := map[float64]float64{}
	for _, gap := range []float64{300, 3} {
		g := newHarness(t, baseConfig(), newEndpoints(4)...)
		for range 8 {
			g.now += gap
			g.b.requestRate.rate(g.b, 1, 0)
		}
		g.overload(0.1, 0.5)
		g.request(idempotentClass)
		steady[gap] = g.b.baseShedFraction - 0.1
	}
	if steady[300] < 2*steady[3] || steady[3] <= 0 {
		t.Fatalf("a request moved the lasting part by %v", steady)
	}
}

func (g *harness) offeredLoad() float64 {
	steady, _ := g.b.inFlightLoad()
	return steady
}

// Where nothing was answered before the clients gave up, only the quick answers counted and all seemed well.
func TestTimeoutsCountAsSlowResponses(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	for range 10 {
		id, _ := g.request(nonIdempotentClass)
		g.finishAttempt(id, 0, TimedOut, 600)
	}
	if g.b.shortTermLatency < 1 {
		t.Fatalf("pressure %.2f after ten time-outs", g.b.shortTermLatency)
	}
}
