package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Rejections carry a Retry-After that grows with the overload and never exceeds the longest Retry-After that
// clients obey. There is no Retry-After if the settings do not allow it.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, c := range []struct {
		overload      float64
		maxRetryAfter float64
		enabled       bool
		want          float64
	}{
		{overload: -0.3, maxRetryAfter: 1000, enabled: true, want: 15},
		{overload: 0.1, maxRetryAfter: 1000, enabled: true, want: 30},
		{overload: 1.2, maxRetryAfter: 1000, enabled: true, want: 75},
		{overload: 0.5, maxRetryAfter: 20, enabled: true, want: 20},
		{overload: 0.1, maxRetryAfter: 0, enabled: true, want: 30},
		{overload: 0.5, maxRetryAfter: 1000, enabled: false, want: 0},
	} {
		cfg := baseConfig()
		cfg.MaxRetryAfter, cfg.RetryAfter = c.maxRetryAfter, c.enabled
		h := newHarness(t, cfg, newEndpoints(2)...)
		h.request(idempotentClass)
		h.b.shedder.overload = c.overload
		h.b.actions = h.b.actions[:0]
		for _, r := range h.b.requests {
			h.b.finishUnserved(r)
		}
		for _, a := range h.b.actions {
			if a.Kind == Reject && math.Abs(a.Delay-c.want) > 1e-9 {
				t.Errorf("%+v: got Retry-After %v, want %v", c, a.Delay, c.want)
			}
		}
		if !hasAction(h.b.actions, Reject) {
			t.Errorf("%+v: the request was not rejected", c)
		}
	}
}

// Guards against shedding because of a single hung endpoint, whose requests in flight look like overload of
// the whole fleet. The endpoint must soon be skipped because of its requests in flight, and be ejected after
// consecutive errors.
func TestHungEndpointIsNotOverload(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(6)...)
	hung := 0
	for range 900 {
		h.now += 5
		for _, timer := range h.dueTimers() {
			h.handle(timer)
		}
		id, actions := h.request(idempotentClass)
		target, ok := attemptTarget(actions)
		if !ok {
			t.Fatalf("request %d was rejected, base shed fraction %v", id, h.b.shedder.baseShedFraction)
		}
		if target == 1 {
			hung++
			continue
		}
		h.now++
		h.finishAttempt(id, 0, OK, 10)
	}
	if hung > 40 {
		t.Fatalf("the hung endpoint got %d of 900 requests, want at most 40", hung)
	}
}

// Guards against queues that fill in overload until all responses are late. Load that cannot be served in
// time must be rejected before any attempt, requests of the lowest priority weight first.
func TestOverloadShedsLowestPriorityFirst(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	rejected := map[int]int{} // by class
	var inFlight []RequestID
	for i := range 2000 {
		h.now += 2
		class := []int{idempotentClass, nonIdempotentClass}[i%2]
		id, actions := h.request(class)
		if hasAction(actions, Reject) {
			rejected[class]++
			continue
		}
		inFlight = append(inFlight, id)
		if len(inFlight) > 150 { // responses take 300 ms or more
			h.finishAttempt(inFlight[0], 0, OK, 300)
			inFlight = inFlight[1:]
		}
	}
	if rejected[idempotentClass] < 100 || rejected[nonIdempotentClass] >= rejected[idempotentClass] {
		t.Fatalf("rejected %d requests of low priority weight, want at least 100; %d of high, want fewer",
			rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// Requests that hang at an ejected endpoint are a fault of the endpoint and must not cause shedding. The test
// also guards against the opposite failure: after all endpoints of an overloaded fleet were ejected, no load
// counted and shedding stopped.
func TestEjectedEndpointsAreNoLoadUnlessMostAreEjected(t *testing.T) {
	for _, c := range []struct {
		ejectedLoad float64
		healthyLoad float64
		sheds       bool
	}{
		{ejectedLoad: 20, healthyLoad: 0.1, sheds: true},
		{ejectedLoad: 0.4, healthyLoad: 0.5, sheds: false},
	} {
		h := newHarness(t, baseConfig(), newEndpoints(2)...)
		h.b.shedder.responseRate.add(h.b.now, 2)
		h.b.latency.shortTerm = 1
		ejected, healthy := h.b.endpoints[0], h.b.endpoints[1]
		ejected.objectiveLoad, healthy.objectiveLoad = c.ejectedLoad, c.healthyLoad
		h.b.eject(ejected)
		for range 20 {
			h.request(nonIdempotentClass)
			ejected.objectiveLoad, healthy.objectiveLoad = c.ejectedLoad, c.healthyLoad
		}
		if h.b.shedder.baseShedFraction > 0 != c.sheds {
			t.Errorf("%+v: base shed fraction %.2f", c, h.b.shedder.baseShedFraction)
		}
	}
}

// setOverload sets the base shed fraction, and adds load in flight until the estimated latency exceeds the
// allowed latency by the given fraction of the latency objective.
func (h *harness) setOverload(baseShedFraction, overload float64) {
	h.b.shedder.baseShedFraction = baseShedFraction
	allowed := h.b.latency.baseline + allowedQueueingFraction*(1-h.b.latency.baseline)
	responseRate := h.b.shedder.responseRate.rate(h.b.now, assumedResponses)
	healthy, _ := h.b.inFlightLoad()
	h.b.endpoints[0].objectiveLoad += (allowed+overload)*responseRate/countedInFlightFraction - healthy
	h.b.latency.shortTerm = 1
}

// arrival holds the class and the tenant of a request, by their positions in Config.
type arrival struct{ class, tenant int }

// rejectedFractions sends 4000 requests, drawn at random from the arrivals, while a fraction of 0.4 of the
// work is to be shed. It returns the fraction of the requests of each class and of each tenant that was
// rejected.
func rejectedFractions(t *testing.T, cfg Config, arrivals ...arrival) (byClass, byTenant [5]float64) {
	t.Helper()
	h := newHarness(t, cfg, newEndpoints(4)...)
	var classRequests, tenantRequests [5]float64
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 4000 {
		next := arrivals[random.IntN(len(arrivals))]
		h.now++
		h.setOverload(0.4, 0)
		classRequests[next.class]++
		tenantRequests[next.tenant]++
		id := RequestID(i + 1)
		timeout := cfg.Classes[next.class].Deadline
		actions := h.handle(Request{ID: id, Class: next.class, Tenant: next.tenant, Timeout: timeout})
		if hasAction(actions, Reject) {
			byClass[next.class]++
			byTenant[next.tenant]++
		} else {
			h.finishAttempt(id, 0, OK, 50)
		}
	}
	for i := range 5 {
		byClass[i] /= max(1, classRequests[i])
		byTenant[i] /= max(1, tenantRequests[i])
	}
	return byClass, byTenant
}

// Guards against queues that grow for seconds because busy sidecars shed too little at first. Endpoints that
// were overloaded stay slow. The shed fraction must follow the load at once, between 0 and twice the base
// shed fraction. A sidecar with a base shed fraction of 0 must reject at most a tenth of its requests, as its
// few requests may be in flight together by chance.
func TestSheddingFollowsLoadImmediately(t *testing.T) {
	for _, c := range []struct {
		baseShedFraction float64
		overload         float64 // latency beyond the allowed latency, as a fraction of the objective
		minRejected      float64 // fraction of the requests
		maxRejected      float64 // fraction of the requests
	}{
		{baseShedFraction: 0, overload: 0.5, minRejected: 0, maxRejected: 0.1},
		{baseShedFraction: 0.4, overload: 0, minRejected: 0.3, maxRejected: 0.5},
		{baseShedFraction: 0.4, overload: 0.5, minRejected: 0.7, maxRejected: 0.9},
		{baseShedFraction: 0.4, overload: -0.3, minRejected: 0, maxRejected: 0},
	} {
		h := newHarness(t, baseConfig(), newEndpoints(4)...)
		for range 100 {
			id, _ := h.request(idempotentClass)
			h.now += 5
			h.finishAttempt(id, 0, OK, 50)
		}
		rejected := 0.0
		for range 200 {
			h.setOverload(c.baseShedFraction, c.overload)
			if _, actions := h.request(idempotentClass); hasAction(actions, Reject) {
				rejected++
			}
		}
		if rejected /= 200; rejected < c.minRejected || rejected > c.maxRejected {
			t.Errorf("%+v: %.2f of the requests were rejected", c, rejected)
		}
	}
}

// If one of two tenants with equal quotas sends three times as much traffic as the other, its requests beyond
// the quota are rejected first. With equal traffic the same fraction of both is rejected.
func TestTenantsOverQuotaAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{QuotaShare: 0.5}, {QuotaShare: 0.5}}
	first, second := arrival{tenant: 0}, arrival{tenant: 1}
	_, rejected := rejectedFractions(t, cfg, first, first, first, second)
	if rejected[0] < 0.4 || rejected[1] > 0.1 {
		t.Fatalf("rejected %.2f of the tenant over its quota, want at least 0.4; "+
			"%.2f of the other, want at most 0.1", rejected[0], rejected[1])
	}
	_, rejected = rejectedFractions(t, cfg, first, second)
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("rejected %.2f and %.2f of equal tenants, want nearly the same", rejected[0], rejected[1])
	}
}

// Guards against rejecting all requests of the class with the lowest priority weight although the goal gives
// the worst-served class a high weight. With such a goal all classes must be served about equally. With a
// goal of the overall service level alone, the class of the lowest priority weight must be shed first.
func TestGoalOfTheWorstClassKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	arrivals := []arrival{{class: idempotentClass}, {class: nonIdempotentClass}}
	cfg.Goal = Goal{Overall: 1}
	rejected, _ := rejectedFractions(t, cfg, arrivals...)
	if rejected[idempotentClass] < 0.7 || rejected[nonIdempotentClass] > 0.1 {
		t.Fatalf("overall goal: rejected %.2f of the low class, want at least 0.7; "+
			"%.2f of the high, want at most 0.1",
			rejected[idempotentClass], rejected[nonIdempotentClass])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstClass: 0.7}
	rejected, _ = rejectedFractions(t, cfg, arrivals...)
	if rejected[idempotentClass] > 0.5 || rejected[nonIdempotentClass] < 0.3 {
		t.Fatalf("worst-class goal: rejected %.2f of the low class, want at most 0.5; "+
			"%.2f of the high, want at least 0.3",
			rejected[idempotentClass], rejected[nonIdempotentClass])
	}
}

// A tenant over its quota is still served if the goal gives the worst-served tenant a high weight.
func TestGoalOfTheWorstTenantKeepsItServed(t *testing.T) {
	cfg := baseConfig()
	cfg.Tenants = []Tenant{{QuotaShare: 0.8}, {QuotaShare: 0.2}}
	arrivals := []arrival{{tenant: 0}, {tenant: 1}}
	cfg.Goal = Goal{Overall: 1}
	_, rejected := rejectedFractions(t, cfg, arrivals...)
	if rejected[0] > 0.1 || rejected[1] < 0.7 {
		t.Fatalf("overall goal: rejected %.2f within the quota, want at most 0.1; "+
			"%.2f over it, want at least 0.7", rejected[0], rejected[1])
	}
	cfg.Goal = Goal{Overall: 0.3, WorstTenant: 0.7}
	_, rejected = rejectedFractions(t, cfg, arrivals...)
	if math.Abs(rejected[0]-rejected[1]) > 0.15 {
		t.Fatalf("worst-tenant goal: rejected %.2f within the quota and %.2f over it, want nearly the same",
			rejected[0], rejected[1])
	}
}

// Guards against clients' retries that take up scarce capacity although they come too late to be of value,
// for example after half of the fleet has failed.
func TestLateClientRetriesAreShedFirst(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].LateWeight = 0.3
	for _, c := range []struct {
		baseShedFraction float64
		timeout          float64
		rejected         bool
	}{
		{baseShedFraction: 0.5, timeout: 1000, rejected: true},   // retry after 500 ms: past the 300 ms objective
		{baseShedFraction: 0.2, timeout: 1000, rejected: false},  // retry, but shedding below the late weight
		{baseShedFraction: 0.5, timeout: 1300, rejected: false},  // retry after 200 ms: it can meet the objective
		{baseShedFraction: 0.99, timeout: 1500, rejected: false}, // first request: it has the whole timeout
	} {
		h := newHarness(t, cfg, newEndpoints(4)...)
		h.request(idempotentClass)
		h.b.shedder.baseShedFraction = c.baseShedFraction
		r := &request{
			Request:    Request{Timeout: c.timeout},
			class:      &h.b.cfg.Classes[idempotentClass],
			classStats: &h.b.demand.classes[idempotentClass],
		}
		got := h.b.pastObjective(r) && h.b.shedder.baseShedFraction >= r.class.LateWeight
		if got != c.rejected {
			t.Errorf("%+v: rejected %v", c, got)
		}
		if !c.rejected {
			continue
		}
		h.b.shedder.baseShedFraction = c.baseShedFraction
		if actions := h.handle(Request{ID: 77, Timeout: c.timeout}); !hasAction(actions, Reject) {
			t.Errorf("%+v: got actions %+v, want a rejection", c, actions)
		}
	}
}

// If clients mark their retries, only a marked retry may count as late. Guards against a failure in which a
// single retry with a long timeout made the sidecar reject all later first requests.
func TestLongClientRetry(t *testing.T) {
	cfg := baseConfig()
	cfg.ClientsMarkRetries = true
	h := newHarness(t, cfg, newEndpoints(4)...)
	lastID := RequestID(0)
	send := func(timeout float64, isRetry bool) []Action {
		lastID++
		return h.handle(Request{ID: lastID, Class: idempotentClass, Timeout: timeout, IsRetry: isRetry})
	}
	send(700, false)
	send(1490, true)
	for _, c := range []struct {
		timeout  float64
		isRetry  bool
		rejected bool
	}{
		{timeout: 700, isRetry: false, rejected: false},
		{timeout: 650, isRetry: false, rejected: false}, // a first request that reached the sidecar late
		{timeout: 700, isRetry: true, rejected: false},  // possibly sent right after the first request
		{timeout: 1300, isRetry: true, rejected: false}, // sent after 200 ms
		{timeout: 600, isRetry: true, rejected: true},   // sent after 900 ms
	} {
		if actions := send(c.timeout, c.isRetry); hasAction(actions, Reject) != c.rejected {
			t.Errorf("%+v: got actions %+v", c, actions)
		}
	}
}

// Guards against shedding when traffic grows fast while responses stay fast. When traffic grew sevenfold
// within seconds on an enlarged fleet, the attempts in flight were divided by an outdated, lower response
// rate, and half of the load was rejected.
func TestFastGrowthIsNoOverload(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(12)...)
	var inFlight []RequestID
	rejected := 0
	for gap := 20.0; gap > 2; gap *= 0.998 { // tenfold within about nine seconds
		h.now += gap
		id, actions := h.request(idempotentClass)
		if hasAction(actions, Reject) {
			rejected++
			continue
		}
		inFlight = append(inFlight, id)
		// Responses take about 80 ms.
		for len(inFlight) > 0 && h.b.requests[inFlight[0]].arrivedAt <= h.now-80 {
			h.finishAttempt(inFlight[0], 0, OK, 80)
			inFlight = inFlight[1:]
		}
	}
	if rejected > 0 {
		t.Fatalf("%d requests were rejected, want none", rejected)
	}
}

// An idempotent request whose attempt failed after its latency objective is retried if a late response still
// has value. Guards against rejecting every such request.
func TestLateResponsesOfValueAreAwaited(t *testing.T) {
	for lateWeight, retried := range map[float64]bool{0: false, 0.5: true} {
		cfg := baseConfig()
		cfg.Classes[idempotentClass].LateWeight = lateWeight
		h := newHarness(t, cfg, newEndpoints(3)...)
		id, _ := h.request(idempotentClass)
		h.now += cfg.Classes[idempotentClass].LatencyObjective + 1
		actions := h.finishAttempt(id, 0, ServerError, 301)
		if hasAction(actions, StartAttempt) != retried || hasAction(actions, Reject) == retried {
			t.Errorf("late weight %v: got actions %+v, want a retry: %v", lateWeight, actions, retried)
		}
	}
}

// Guards against taking the few requests that a sidecar with little traffic has in flight together by chance
// for overload. While responses are fast, nothing may be shed, however many requests are in flight.
func TestFastResponsesShedNothing(t *testing.T) {
	for latency, wantRejected := range map[float64]bool{30: false, 290: true} {
		h := newHarness(t, baseConfig(), newEndpoints(4)...)
		for range 60 {
			id, _ := h.request(idempotentClass)
			h.now += 5
			h.finishAttempt(id, 0, OK, latency)
		}
		rejected := false
		for range 60 {
			h.b.endpoints[0].objectiveLoad++
			_, actions := h.request(idempotentClass)
			rejected = rejected || hasAction(actions, Reject)
		}
		if rejected != wantRejected {
			t.Errorf("latency %v ms: any request rejected: %v, want %v", latency, rejected, wantRejected)
		}
	}
}

// Guards against a sidecar with few requests that sheds too late: it kept sending until endpoints were
// overloaded, and such endpoints stay slow. Each of its requests must raise the base shed fraction by more,
// so that the fraction rises within a few latency objectives as it does on a busy sidecar.
func TestLowTrafficFollowsLoad(t *testing.T) {
	const lowTrafficGap, highTrafficGap = 300, 3 // ms between requests
	increase := map[float64]float64{}            // of the base shed fraction with one request
	for _, gap := range []float64{lowTrafficGap, highTrafficGap} {
		h := newHarness(t, baseConfig(), newEndpoints(4)...)
		for range 8 {
			h.now += gap
			h.b.requestRate.add(h.b.now, 1)
		}
		h.setOverload(0.1, 0.5)
		h.request(idempotentClass)
		increase[gap] = h.b.shedder.baseShedFraction - 0.1
	}
	if increase[lowTrafficGap] < 2*increase[highTrafficGap] || increase[highTrafficGap] <= 0 {
		t.Fatalf("increase of the base shed fraction by gap between requests: %v, want it above 0, "+
			"and at low traffic at least twice as much", increase)
	}
}

// Guards against a mean latency that looks good in overload because most attempts time out and only the few
// fast responses count.
func TestTimeoutsCountAsSlowResponses(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for range 10 {
		id, _ := h.request(nonIdempotentClass)
		h.finishAttempt(id, 0, TimedOut, 600)
	}
	if h.b.latency.shortTerm < 1 {
		t.Fatalf("short-term latency %.2f after ten timeouts, want at least 1", h.b.latency.shortTerm)
	}
}
