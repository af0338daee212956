package balance

import (
	"fmt"
	"math"
	"testing"
)

// What may follow the end of a first attempt, for each effect, group and result, within the
// window and after it: another send, a refusal, a failure.
func TestRetryEligibilityByResult(t *testing.T) {
	for _, class := range []int{idempotentClass, nonIdempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass} {
		for _, res := range []Result{ServerError, Rejected, TimedOut, ConnectFailed, Reset, Canceled} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("class%d/result%d/late=%v", class, res, late), func(t *testing.T) {
					followAttempt(t, class, res, late)
				})
			}
		}
	}
}

func followAttempt(t *testing.T, class int, res Result, late bool) {
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // a re-route is worth its while to the end
		cfg.Classes[i].DedupWindow = 200
	}
	g := newHarness(t, cfg, newEndpoints(8)...)
	id, acts := g.request(class)
	first, ok := attemptTarget(acts)
	if !ok {
		t.Fatal("the request was not sent")
	}
	if g.now += 100; late {
		g.now += 200
	}
	acts = g.finishAttempt(id, 0, res, 100)
	c := cfg.Classes[class]
	mayResend := c.Idempotency == Idempotent || res.NotExecuted() || c.Idempotency == IdempotentWithKey && !late
	second, sent := attemptTarget(acts)
	if sent != mayResend {
		t.Fatalf("sent again: %v, want %v (%+v)", sent, mayResend, acts)
	}
	if !sent {
		mayRefuse := c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAll
		if hasAction(acts, Reject) != mayRefuse || hasAction(acts, Fail) == mayRefuse {
			t.Fatalf("refusal allowed: %v, got %+v", mayRefuse, acts)
		}
		return
	}
	a, b := g.b.endpointByID[first], g.b.endpointByID[second]
	dirty := !res.NotExecuted()
	if a == b || dirty && class == cellKeyClass && a.Cell != b.Cell || dirty && class == zoneKeyClass && a.Zone != b.Zone {
		t.Fatalf("sent to %+v after %+v", b.Endpoint, a.Endpoint)
	}
}

func TestPossiblyExecutedRequestsAreFailedNotRejected(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := g.request(class)
		g.now = g.b.requests[id].deadline
		acts := g.handle(Timer{Token: uint64(id)})
		if hasAction(acts, Reject) || !hasAction(acts, Fail) {
			t.Errorf("class %d at its deadline with an attempt out: %+v", class, acts)
		}
	}
}

func TestExpiredRequestIsAnsweredImmediately(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	acts := g.handle(Request{ID: 1, Class: nonIdempotentClass, Timeout: 0})
	if !hasAction(acts, Reject) || hasAction(acts, StartAttempt) {
		t.Fatalf("a request without time left: %+v", acts)
	}
}

func TestNoEligibleEndpoint(t *testing.T) {
	drained := newEndpoints(3)
	for i := range drained {
		drained[i].Lifecycle = Draining
	}
	for name, servers := range map[string][]Endpoint{"empty": nil, "draining": drained} {
		g := newHarness(t, baseConfig(), servers...)
		id, acts := g.request(nonIdempotentClass)
		if hasAction(acts, StartAttempt) || !hasAction(acts, SetTimer) {
			t.Fatalf("%s: %+v", name, acts)
		}
		refused := false
		for g.now < 1000+baseConfig().Classes[nonIdempotentClass].Deadline {
			g.now += 10
			refused = refused || hasAction(g.handle(Timer{Token: uint64(id)}), Reject)
		}
		if !refused || len(g.b.requests) != 0 {
			t.Fatalf("%s: refused %v, %d requests left", name, refused, len(g.b.requests))
		}
	}
}

func TestDrainingEndpointGetsNoNewAttempts(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(2)...)
	gone := newEndpoints(1)[0]
	gone.Lifecycle = Draining
	g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{gone}})
	for range 20 {
		id, acts := g.request(idempotentClass)
		if s, _ := attemptTarget(acts); s != 2 {
			t.Fatalf("sent to %d", s)
		}
		g.finishAttempt(id, 0, OK, 10)
	}
	gone.Lifecycle = Ready
	g.handle(EndpointUpdate{Kind: Snapshot, Endpoints: []Endpoint{gone}}) // the other is left out: it has gone
	id, acts := g.request(idempotentClass)
	if s, _ := attemptTarget(acts); s != 1 {
		t.Fatalf("sent to %d of request %d", s, id)
	}
}

func TestMaxAttempts(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	g := newHarness(t, cfg, newEndpoints(4)...)
	id, _ := g.request(idempotentClass)
	if acts := g.finishAttempt(id, 0, Rejected, 1); hasAction(acts, StartAttempt) || !hasAction(acts, Reject) {
		t.Fatalf("after the only attempt allowed: %+v", acts)
	}
}

// In overload an alarm came a rounding error before its time and was not set again, so that the
// request got no answer at its deadline.
func TestEarlyTimerIsRescheduled(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	id, _ := g.request(nonIdempotentClass)
	g.now = g.b.requests[id].wakeAt - 1e-4
	if acts := g.handle(Timer{Token: uint64(id)}); !hasAction(acts, SetTimer) {
		t.Fatalf("no timer after an early alarm: %+v", acts)
	}
}

// A cold server was pushed over when the budget followed what clients asked, repeats included; and by many
// sidecars that each knew of few answers. Whatever their number, all together stay under the multiple.
func TestSlowStartBudgetHoldsForAllSidecars(t *testing.T) {
	for _, c := range []struct{ sidecars, servers, perSecond int }{{4, 5, 150}, {40, 10, 15}, {300, 60, 2}} {
		cfg := baseConfig()
		cfg.PeerCount = c.sidecars
		toCold, later := 0, 0
		for n := range c.sidecars {
			cfg.Seed, cfg.PeerIndex = uint64(n+1), n
			servers := newEndpoints(c.servers)
			g := newHarness(t, cfg, servers...)
			g.now += 1000 * g.b.random() / float64(c.perSecond)
			start := g.now
			for told := false; g.now < start+6000; g.now += 1000 / float64(c.perSecond) {
				if !told && g.now >= start+3000 { // half-way one server restarts
					told, servers[0].StartedAt = true, g.now
					g.handle(EndpointUpdate{Kind: Delta, Endpoints: servers[:1]})
				}
				id, acts := g.request(idempotentClass)
				if s, ok := attemptTarget(acts); !ok {
					t.Fatal("nothing sent")
				} else if s == 1 && told && g.now < start+4000 {
					toCold++
				} else if s == 1 && told {
					later++
				}
				g.finishAttempt(id, 0, OK, 10)
			}
		}
		// A warm server gets its part of the traffic; the cold one can do ColdFrom of that and a little
		// more as it warms, and falls at FallMultiple times what it can do.
		limit := float64(c.sidecars*c.perSecond) / float64(c.servers) * cfg.OverloadFactor * (cfg.SlowStartFraction + 0.05)
		if later == 0 || float64(toCold) > limit {
			t.Errorf("%+v: %d sends to a cold server in its first second, at most %.0f wanted; %d later", c, toCold, limit, later)
		}
	}
}

// A server that lost connections, took no new ones and then answers has restarted, whatever the list says. Either
// alone proves no restart: live servers with full tables, and behind a network that resets, were given a cold
// server's share.
func TestRecoveredEndpointStartsSlow(t *testing.T) {
	for _, c := range []struct {
		ends []Result
		cold bool
	}{
		{[]Result{Reset, ConnectFailed, ConnectFailed}, true},
		{[]Result{ConnectFailed, Reset, ConnectFailed, TimedOut}, true},
		{[]Result{Reset}, false},
		{[]Result{Reset, Reset, Reset, Reset, Reset}, false},
		{[]Result{ConnectFailed, ConnectFailed, ConnectFailed}, false},
		{[]Result{Reset, ConnectFailed}, false},
		{[]Result{Reset, ConnectFailed, OK, ConnectFailed}, false},
	} {
		g := newHarness(t, baseConfig(), newEndpoints(1)...)
		for _, end := range append(c.ends, OK) {
			id, _ := g.request(nonIdempotentClass)
			g.finishAttempt(id, 0, end, 150)
			if rests := g.b.ejected(g.b.endpoints[0]); end == ConnectFailed && !rests {
				t.Errorf("%v: it does not rest", c.ends)
			}
			g.now += 60000
		}
		g.now -= 60000
		if got := g.b.warmingUp(g.b.endpoints[0]); got != c.cold {
			t.Errorf("%v: held to be cold %v", c.ends, got)
		}
	}
}

// Once a streamed answer has begun the client owns it: no deadline, no repeat, no answer of ours.
func TestStreamingResponseIsNotInterrupted(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[idempotentClass].Stream = true
	g := newHarness(t, cfg, newEndpoints(3)...)
	id, acts := g.request(idempotentClass)
	s, _ := attemptTarget(acts)
	g.handle(ResponseStarted{Request: id, Endpoint: s, Latency: 20})
	g.now += 5000
	if acts := g.handle(Timer{Token: uint64(id)}); hasAction(acts, Fail) || hasAction(acts, Reject) || hasAction(acts, StartAttempt) {
		t.Fatalf("a running stream got %+v", acts)
	}
	g.handle(AttemptResult{Request: id, Endpoint: s, Result: Reset, Latency: 5000, RequestClosed: true})
	if len(g.b.requests) != 0 {
		t.Fatal("an ended stream is remembered")
	}
}

// Failed list calls keep the old list and are made again, ever later, within the limit.
func TestDiscoveryPollsBackOff(t *testing.T) {
	var pauses [6]float64
	for seed := range 50 {
		cfg := baseConfig()
		cfg.Subscribe, cfg.Seed = true, uint64(seed)
		g := newHarness(t, cfg, newEndpoints(3)...)
		g.now += g.actions[0].Delay
		if !hasAction(g.handle(Timer{Token: pollTimer}), Watch) {
			t.Fatal("not subscribed")
		}
		for i := range pauses {
			acts := g.handle(EndpointUpdate{Kind: WatchFailed})
			if len(acts) != 1 || acts[0].Token != pollTimer || acts[0].Delay > cfg.PollInterval/2 {
				t.Fatalf("after a failed call: %+v", acts)
			}
			pauses[i] += acts[0].Delay
			g.now += acts[0].Delay
			if !hasAction(g.handle(Timer{Token: pollTimer}), Watch) {
				t.Fatal("not asked again")
			}
		}
		if len(g.b.endpoints) != 3 {
			t.Fatalf("%d servers", len(g.b.endpoints))
		}
	}
	if pauses[5] < 2*pauses[0] {
		t.Fatalf("pauses %v", pauses)
	}
}

// Discovery that has moved is asked at once, whether a call is out, answered or about to be made again, and not once more
// when the timer of the latter comes due: that would end a watch that is well.
func TestSourceChangeTriggersOnePoll(t *testing.T) {
	for name, before := range map[string][]Event{
		"before the first call": nil,
		"with a call out":       {Timer{Token: pollTimer}},
		"subscribed":            {Timer{Token: pollTimer}, EndpointUpdate{Kind: Delta}},
		"after a failed call":   {Timer{Token: pollTimer}, EndpointUpdate{Kind: WatchFailed}},
		"after silence":         {Timer{Token: pollTimer}, EndpointUpdate{Kind: WatchStalled}},
	} {
		cfg := baseConfig()
		cfg.Subscribe = true
		g := newHarness(t, cfg, newEndpoints(3)...)
		for _, ev := range before {
			g.handle(ev)
		}
		if !hasAction(g.handle(EndpointUpdate{Kind: SourceChanged}), Watch) {
			t.Errorf("%s: not asked", name)
		}
		if hasAction(g.handle(Timer{Token: pollTimer}), Watch) {
			t.Errorf("%s: asked once more", name)
		}
		if !hasAction(g.handle(EndpointUpdate{Kind: SourceChanged}), Watch) {
			t.Errorf("%s: not asked where it is now", name)
		}
	}
}

// 80 sidecars started together called discovery at once and again in step after each failure; it takes calls in turn,
// also those that have waited too long and failed, and for ten seconds hardly any got a list.
func TestPollsOfManySidecarsAreSpread(t *testing.T) {
	const peers, turn, patience = 80, 55.0, 2000.0
	type sidecar struct {
		*harness
		due, ends float64 // its next call; the end of the one that is out
		fails     bool
	}
	all := make([]*sidecar, peers)
	for i := range all {
		cfg := baseConfig()
		cfg.Subscribe, cfg.Seed, cfg.PeerCount, cfg.PeerIndex = true, uint64(i), peers, i
		c := &sidecar{harness: newHarness(t, cfg, newEndpoints(3)...), due: math.Inf(1), ends: math.Inf(1)}
		c.due = c.nextPoll(c.actions)
		all[i] = c
	}
	busyUntil, failed, listed := 0.0, 0, 0
	for now := 1000.0; now < 16000 && listed < peers; now++ {
		for _, c := range all {
			if c.now = now; now >= c.due {
				c.due = math.Inf(1)
				c.handle(Timer{Token: pollTimer})
				busyUntil = math.Max(busyUntil, now) + turn
				c.fails = busyUntil-now > patience
				c.ends = math.Min(busyUntil, now+patience)
			}
			if now < c.ends {
				continue
			}
			c.ends = math.Inf(1)
			if c.fails {
				failed++
				c.due = c.nextPoll(c.handle(EndpointUpdate{Kind: WatchFailed}))
			} else {
				listed++
			}
		}
	}
	if listed < peers || failed > peers/4 {
		t.Fatalf("%d of %d sidecars got a list, %d calls failed", listed, peers, failed)
	}
}

// 300 sidecars spread their first calls over 18 s, and some sent to a server that had gone 11 s before: whoever has not
// asked for AskWithin counts as told.
func TestFirstPollMeetsDeadlineInLargeFleets(t *testing.T) {
	latest := 0.0
	for i := range 300 {
		cfg := baseConfig()
		cfg.Subscribe, cfg.Seed, cfg.PeerCount, cfg.PeerIndex = true, uint64(i), 300, i
		g := newHarness(t, cfg, newEndpoints(3)...)
		latest = math.Max(latest, g.nextPoll(g.actions)-g.now)
	}
	if within := baseConfig().PollInterval; latest >= within || latest < within/10 {
		t.Fatalf("the last of 300 sidecars asks %.0f ms after its start, %.0f are allowed", latest, within)
	}
}

// A change counts as told 6 s after discovery had it and could be reached, also while calls fail: after one that hung for
// 3.5 s the next came up to 5 s later. However calls fail, and however often, one that began just before discovery was
// back leaves time for the next one and its answer. So do the start of a process, which came 6 s before the first call
// where 100 others were, and a watch that fell silent.
func TestNextPollPrecedesNotificationDeadline(t *testing.T) {
	const told, answer, silence = 6000, 1000, 2500
	worst := map[string]float64{}
	for _, peers := range []int{1, 8, 80, 300, 1200} {
		for seed := range 40 {
			for how, hangs := range map[string]float64{"refused": 0, "given up late": 3000, "no answer": math.Inf(1)} {
				cfg := baseConfig()
				cfg.Subscribe, cfg.Seed, cfg.PeerCount, cfg.PollInterval = true, uint64(seed), peers, 10000*float64(1+seed%2)
				g := newHarness(t, cfg, newEndpoints(3)...)
				started := g.now
				g.now = g.nextPoll(g.actions)
				worst["started"] = math.Max(worst["started"], g.now+answer-started)
				for range 9 {
					began := g.now
					call := g.handle(Timer{Token: pollTimer})
					g.now += math.Min(call[0].Delay, hangs)
					g.now = g.nextPoll(g.handle(EndpointUpdate{Kind: WatchFailed}))
					worst[how] = math.Max(worst[how], g.now+answer-began)
				}
				g.handle(Timer{Token: pollTimer})
				g.handle(EndpointUpdate{Kind: Delta})
				g.now += 60000
				heard := g.now - silence
				worst["silent"] = math.Max(worst["silent"], g.nextPoll(g.handle(EndpointUpdate{Kind: WatchStalled}))+answer-heard)
			}
		}
	}
	for how, ms := range worst {
		if ms > told || ms < told/4 {
			t.Errorf("%s: the list is had after %.0f ms", how, ms)
		}
	}
}

// nextCall is when the sidecar calls discovery, by what it has just asked for.
func (g *harness) nextPoll(acts []Action) float64 {
	for _, a := range acts {
		if a.Kind == SetTimer && a.Token == pollTimer {
			return g.now + a.Delay
		}
		if a.Kind == Watch {
			return g.now
		}
	}
	return math.Inf(1)
}

// Answers assumed for small sidecars counted in the budget of cold servers too, and together
// they pushed one over. A sidecar that has seen no answers may hardly send anything to a cold server.
func TestAssumedResponsesGrantNoSlowStartBudget(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(4)...)
	entry := g.b.endpoints[0].Endpoint
	entry.StartedAt = g.now
	g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
	g.now += 2000
	g.request(idempotentClass) // sets the weights
	s := g.b.endpoints[0]
	s.slowStartTokens, s.slowStartTokensAt = 0, g.now-2000
	if g.b.hasSlowStartBudget(s); s.slowStartTokens > 0.2 { // with ten assumed: 1
		t.Fatalf("%.2f sends in two seconds", s.slowStartTokens)
	}
	g.b.responsesPerWeight.rate(g.b, 400/g.b.weightInUse, 0) // of two hundred answers a second it may have its part
	s.slowStartTokens, s.slowStartTokensAt = 0, g.now-2000
	if g.b.hasSlowStartBudget(s); s.slowStartTokens < 0.5 {
		t.Fatalf("%.2f sends in two seconds for a busy sidecar", s.slowStartTokens)
	}
}

// All other servers failed, and every sidecar's re-routes went to the one that had just started, as it had no errors.
func TestRetriesRespectSlowStartBudget(t *testing.T) {
	toCold, limit := 0, 0.0
	const sidecars, requests = 40, 20
	for n := range sidecars {
		cfg := baseConfig()
		cfg.Seed = uint64(n + 1)
		g := newHarness(t, cfg, newEndpoints(5)...)
		entry := g.b.endpoints[0].Endpoint
		entry.StartedAt = g.now
		g.handle(EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}})
		for range requests {
			id, acts := g.request(idempotentClass)
			for i := 0; ; i++ {
				s, ok := attemptTarget(acts)
				if !ok {
					break
				}
				if s == 1 {
					toCold++
				}
				g.now++
				acts = g.finishAttempt(id, i, ServerError, 1)
			}
			g.now += 50
		}
	}
	// In this second a warm server's part of the requests is a fifth.
	limit = sidecars * requests / 5 * 2.5 * (0.2 + 0.05)
	if float64(toCold) > limit {
		t.Fatalf("%d sends to the cold server, at most %.0f wanted", toCold, limit)
	}
}

// A refused client is told when to come back: later in overload, never past what clients obey, and not at all
// where the settings do not allow it.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	for _, c := range []struct {
		over, most float64
		allowed    bool
		want       float64
	}{
		{-0.3, 1000, true, 15}, {0.1, 1000, true, 30}, {1.2, 1000, true, 75}, {0.5, 20, true, 20}, {0.1, 0, true, 30}, {0.5, 1000, false, 0},
	} {
		cfg := baseConfig()
		cfg.MaxRetryAfter, cfg.RetryAfter = c.most, c.allowed
		g := newHarness(t, cfg, newEndpoints(2)...)
		_, _ = g.request(idempotentClass)
		g.b.overload = c.over
		g.b.actions = g.b.actions[:0]
		for _, r := range g.b.requests {
			g.b.finishUnserved(r)
		}
		for _, a := range g.b.actions {
			if a.Kind == Reject && math.Abs(a.Delay-c.want) > 1e-9 {
				t.Errorf("%+v: %v", c, a.Delay)
			}
		}
		if !hasAction(g.b.actions, Reject) {
			t.Errorf("%+v: no refusal", c)
		}
	}
}

// An agent's news counts as told at once: it is asked at the start, and after a failed call again before what it has
// must be obeyed, however many sidecars there are and however often it failed.
func TestLocalAgentIsPolledImmediately(t *testing.T) {
	for grace, most := range map[float64]float64{0: 1000, 300: 300, 5000: 1000} {
		cfg := baseConfig()
		cfg.Subscribe, cfg.LocalAgent, cfg.PeerCount, cfg.DrainGrace = true, true, 300, grace
		g := newHarness(t, cfg, newEndpoints(3)...)
		if due := g.nextPoll(g.actions); due != g.now {
			t.Fatalf("first asked %v ms after the start", due-g.now)
		}
		for range 9 {
			g.handle(Timer{Token: pollTimer})
			due := g.nextPoll(g.handle(EndpointUpdate{Kind: WatchFailed}))
			if due > g.now+most {
				t.Fatalf("grace %v: asked again only after %v ms", grace, due-g.now)
			}
			g.now = due
		}
	}
}

// When the process ends, what is out, what waits and what is still to come is answered in time, and as its class allows.
func TestShutdownAnswersAllRequests(t *testing.T) {
	g := newHarness(t, baseConfig(), newEndpoints(3)...)
	safe, _ := g.request(idempotentClass)
	unsafe, _ := g.request(nonIdempotentClass)
	for _, a := range g.handle(Shutdown{Timeout: 100}) {
		if a.Kind != SetTimer || a.Delay > 100 {
			t.Errorf("%+v", a)
		}
	}
	g.now += 50
	later, _ := g.request(idempotentClass)
	if b := g.b.requests[later]; b.deadline != g.now+50 {
		t.Errorf("one that comes 50 ms before the end has %v ms", b.deadline-g.now)
	}
	g.now += 50
	answers := map[RequestID]ActionKind{}
	for _, id := range []RequestID{safe, unsafe, later} {
		for _, a := range g.handle(Timer{Token: uint64(id)}) {
			if a.Kind == Reject || a.Kind == Fail {
				answers[a.Request] = a.Kind
			}
		}
	}
	if answers[safe] != Reject || answers[unsafe] != Fail || answers[later] != Reject || len(answers) != 3 {
		t.Errorf("%v", answers)
	}
	if id, acts := g.request(nonIdempotentClass); !hasAction(acts, Reject) || hasAction(acts, StartAttempt) {
		t.Errorf("request %d after the end: %+v", id, acts)
	}
}

// A request whose client has left while it waited in here is not sent any more: not when its probes are back, when a
// cold server may have more, when a server is listed, nor when its attempt has failed and another would be next.
func TestNoAttemptAfterClientCanceled(t *testing.T) {
	for name, c := range map[string]struct {
		tune   func(*Config)
		list   []Endpoint
		waits  func(*harness)            // has it wait
		resume func(*harness, RequestID) // would let it go on
	}{
		"for probes": {
			tune: func(cfg *Config) {
				cfg.HealthChecks, cfg.ReportSource, cfg.ReportFields = true, ReportHealthCheck, []ReportField{FieldInFlight}
			},
			list: newEndpoints(3),
			resume: func(g *harness, _ RequestID) {
				for id := range 3 {
					g.handle(HealthCheckResult{Endpoint: EndpointID(id + 1), LoadReport: []float32{0}})
				}
			},
		},
		"for a server": {
			resume: func(g *harness, _ RequestID) { g.handle(EndpointUpdate{Kind: Snapshot, Endpoints: newEndpoints(3)}) },
		},
		"for a cold server": {
			list:   []Endpoint{{ID: 1, NominalCapacity: 1, StartedAt: 999}},
			waits:  func(g *harness) { g.b.endpoints[0].slowStartTokens = -1e6 },
			resume: func(g *harness, _ RequestID) { g.b.endpoints[0].slowStartTokens = 1e6 },
		},
		"for another attempt": {
			list: newEndpoints(3),
			resume: func(g *harness, id RequestID) {
				if g.b.requests[id] != nil {
					g.finishAttempt(id, 0, ConnectFailed, 1)
				}
			},
		},
	} {
		for _, leaves := range []bool{false, true} {
			cfg := baseConfig()
			cfg.CancelAttempts = false
			if c.tune != nil {
				c.tune(&cfg)
			}
			g := newHarness(t, cfg, c.list...)
			if c.waits != nil {
				c.waits(g)
			}
			id, acts := g.request(idempotentClass)
			if _, sent := attemptTarget(acts); sent != (name == "for another attempt") {
				t.Fatalf("%s: sent at once: %v", name, sent)
			}
			if leaves {
				g.handle(ClientCanceled{Request: id})
			}
			before := len(g.actions)
			c.resume(g, id)
			for range 20 {
				g.now += 5
				g.handle(Timer{Token: uint64(id)})
			}
			if _, sent := attemptTarget(g.actions[before:]); sent == leaves {
				t.Errorf("%s: the client leaves: %v; sent: %v", name, leaves, sent)
			}
		}
	}
}
