package balance

import (
	"math"
	"testing"
)

// nextPoll returns the time in ms at which the sidecar calls discovery next, according to the actions that
// its balancer has just returned; +Inf if there is no next call.
func (h *harness) nextPoll(actions []Action) float64 {
	for _, a := range actions {
		if a.Kind == SetTimer && a.Token == pollTimer {
			return h.now + a.Delay
		}
		if a.Kind == Watch {
			return h.now
		}
	}
	return math.Inf(1)
}

// Failed polls keep the old endpoint list and are repeated with a growing backoff of at most half the poll
// interval.
func TestDiscoveryPollsBackOff(t *testing.T) {
	var backoffs [6]float64 // by number of earlier failures, in ms, summed over all seeds
	for seed := range 50 {
		cfg := baseConfig()
		cfg.Subscribe = true
		cfg.Seed = uint64(seed)
		h := newHarness(t, cfg, newEndpoints(3)...)
		h.now += h.actions[0].Delay
		if !hasAction(h.handle(Timer{Token: pollTimer}), Watch) {
			t.Fatal("no watch when the first poll is due")
		}
		for i := range backoffs {
			actions := h.handle(EndpointUpdate{Kind: WatchFailed})
			if len(actions) != 1 || actions[0].Token != pollTimer || actions[0].Delay > cfg.PollInterval/2 {
				t.Fatalf("after a failed poll: actions %+v, want one poll timer of at most %v ms",
					actions, cfg.PollInterval/2)
			}
			backoffs[i] += actions[0].Delay
			h.now += actions[0].Delay
			if !hasAction(h.handle(Timer{Token: pollTimer}), Watch) {
				t.Fatal("no watch after the backoff")
			}
		}
		if len(h.b.endpoints) != 3 {
			t.Fatalf("%d endpoints after failed polls, want 3", len(h.b.endpoints))
		}
	}
	if backoffs[5] < 2*backoffs[0] {
		t.Fatalf("backoffs %v, want the last at least twice the first", backoffs)
	}
}

// When the address of discovery changes, the new address is polled at once, whatever the state of the earlier
// call. Guards against a second poll by a retry that was scheduled before the change, which would end a
// working watch.
func TestSourceChangeTriggersOnePoll(t *testing.T) {
	for name, before := range map[string][]Event{
		"before the first call": nil,
		"with a call in flight": {Timer{Token: pollTimer}},
		"with a working watch":  {Timer{Token: pollTimer}, EndpointUpdate{Kind: Delta}},
		"after a failed call":   {Timer{Token: pollTimer}, EndpointUpdate{Kind: WatchFailed}},
		"after a stalled watch": {Timer{Token: pollTimer}, EndpointUpdate{Kind: WatchStalled}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := baseConfig()
			cfg.Subscribe = true
			h := newHarness(t, cfg, newEndpoints(3)...)
			for _, event := range before {
				h.handle(event)
			}
			if !hasAction(h.handle(EndpointUpdate{Kind: SourceChanged}), Watch) {
				t.Error("no watch at the new address")
			}
			if hasAction(h.handle(Timer{Token: pollTimer}), Watch) {
				t.Error("the earlier poll timer started a second watch")
			}
			if !hasAction(h.handle(EndpointUpdate{Kind: SourceChanged}), Watch) {
				t.Error("no watch after a second change of address")
			}
		})
	}
}

// A response that begins late, to a call that was overdue, is as good as any: discovery is not called again.
func TestLateResponseEndsPolling(t *testing.T) {
	cfg := baseConfig()
	cfg.Subscribe = true
	h := newHarness(t, cfg, newEndpoints(3)...)
	h.handle(Timer{Token: pollTimer})
	if !hasAction(h.handle(EndpointUpdate{Kind: WatchOverdue}), SetTimer) {
		t.Fatal("no further call is scheduled while a call is overdue")
	}
	h.handle(EndpointUpdate{Kind: WatchOpened})
	if hasAction(h.handle(Timer{Token: pollTimer}), Watch) {
		t.Error("discovery is called again although it has responded")
	}
	h.handle(EndpointUpdate{Kind: WatchFailed})
	if !hasAction(h.handle(Timer{Token: pollTimer}), Watch) {
		t.Error("discovery is not called again after the end of the watch")
	}
}

// After a change of address a sidecar counts as notified of all changes within 4 s. Calls that fail are repeated so
// soon that discovery, once it can be reached, has the time to respond, however many calls failed before.
func TestPollsAfterSourceChangeMeetDeadline(t *testing.T) {
	const deadline, longestBackoff = 4000, 500
	for seed := range 40 {
		cfg := baseConfig()
		cfg.Subscribe = true
		cfg.Seed = uint64(seed)
		cfg.PeerCount = 300
		h := newHarness(t, cfg, newEndpoints(3)...)
		for range 9 {
			h.handle(Timer{Token: pollTimer})
			h.handle(EndpointUpdate{Kind: WatchFailed})
		}
		changedAt := h.now
		h.handle(EndpointUpdate{Kind: SourceChanged})
		for h.now < changedAt+deadline {
			due := h.nextPoll(h.handle(EndpointUpdate{Kind: WatchFailed}))
			if latest := math.Max(changedAt+deadline-discoveryResponseTime, h.now+longestBackoff); due > latest {
				t.Fatalf("next poll %.0f ms after the change of address, want at most %.0f", due-changedAt, latest-changedAt)
			}
			h.now = due + 1
			h.handle(Timer{Token: pollTimer})
		}
	}
}

// Guards against synchronized polls. Discovery handles calls one after another, including calls that have
// timed out already. When 80 sidecars that were started together polled at the same time, and again at the
// same time after each failure, very few of them got a list for ten seconds.
func TestPollsOfManySidecarsAreSpread(t *testing.T) {
	const (
		peers    = 80
		callTime = 55.0   // ms that discovery works on one call
		timeout  = 2000.0 // ms after which a sidecar gives up its call
	)
	type sidecar struct {
		*harness
		nextCallAt float64
		callEndsAt float64 // end of the call in flight; +Inf if there is none
		callFails  bool    // the call in flight will time out
	}
	sidecars := make([]*sidecar, peers)
	for i := range sidecars {
		cfg := baseConfig()
		cfg.Subscribe = true
		cfg.Seed = uint64(i)
		cfg.PeerCount = peers
		cfg.PeerIndex = i
		s := &sidecar{harness: newHarness(t, cfg, newEndpoints(3)...), callEndsAt: math.Inf(1)}
		s.nextCallAt = s.nextPoll(s.actions)
		sidecars[i] = s
	}
	busyUntil, failed, listed := 0.0, 0, 0
	for now := 1000.0; now < 16000 && listed < peers; now++ {
		for _, s := range sidecars {
			s.now = now
			if now >= s.nextCallAt {
				s.nextCallAt = math.Inf(1)
				s.handle(Timer{Token: pollTimer})
				busyUntil = math.Max(busyUntil, now) + callTime
				s.callFails = busyUntil-now > timeout
				s.callEndsAt = math.Min(busyUntil, now+timeout)
			}
			if now < s.callEndsAt {
				continue
			}
			s.callEndsAt = math.Inf(1)
			if s.callFails {
				failed++
				s.nextCallAt = s.nextPoll(s.handle(EndpointUpdate{Kind: WatchFailed}))
			} else {
				listed++
			}
		}
	}
	if listed < peers || failed > peers/4 {
		t.Fatalf("%d of %d sidecars got a list, want all; %d calls failed, want at most %d",
			listed, peers, failed, peers/4)
	}
}

// Guards against late first polls in large fleets. A sidecar that has not polled within PollInterval counts
// as notified of all changes. When 300 sidecars spread their first polls over 18 s, some sent attempts to an
// endpoint that had been removed 11 s before.
func TestFirstPollMeetsDeadlineInLargeFleets(t *testing.T) {
	latest := 0.0
	for i := range 300 {
		cfg := baseConfig()
		cfg.Subscribe = true
		cfg.Seed = uint64(i)
		cfg.PeerCount = 300
		cfg.PeerIndex = i
		h := newHarness(t, cfg, newEndpoints(3)...)
		latest = math.Max(latest, h.nextPoll(h.actions)-h.now)
	}
	if interval := baseConfig().PollInterval; latest >= interval || latest < interval/10 {
		t.Fatalf("the last of 300 sidecars polls %.0f ms after its start, want from %.0f to below %.0f",
			latest, interval/10, interval)
	}
}

// A sidecar counts as notified of a change 6 s after discovery knew of the change and could be reached, even
// if calls fail. The next call and its response must fit into this time after a failed call that began just
// before discovery could be reached again (however and however often calls fail), after the start of the
// process and after a stalled watch. Guards against two faults: after a call that hung for 3.5 s the next
// call came up to 5 s later, and in a fleet of 100 sidecars the first call came 6 s after the start.
func TestNextPollPrecedesNotificationDeadline(t *testing.T) {
	const deadline, responseTime, stallTime = 6000, 1000, 2500
	worst := map[string]float64{} // longest time in ms until the list is known, by the cause of the wait
	record := func(cause string, knownAfter float64) {
		worst[cause] = math.Max(worst[cause], knownAfter)
	}
	simulate := func(peers, seed int, cause string, failsAfter float64) {
		cfg := baseConfig()
		cfg.Subscribe = true
		cfg.Seed = uint64(seed)
		cfg.PeerCount = peers
		cfg.PollInterval = 10000 * float64(1+seed%2)
		h := newHarness(t, cfg, newEndpoints(3)...)
		startedAt := h.now
		h.now = h.nextPoll(h.actions)
		record("start", h.now+responseTime-startedAt)
		for range 9 {
			calledAt := h.now
			call := h.handle(Timer{Token: pollTimer})
			h.now += math.Min(call[0].Delay, failsAfter)
			h.now = h.nextPoll(h.handle(EndpointUpdate{Kind: WatchFailed}))
			record(cause, h.now+responseTime-calledAt)
		}
		h.handle(Timer{Token: pollTimer})
		h.handle(EndpointUpdate{Kind: Delta})
		h.now += 60000
		lastHeardAt := h.now - stallTime
		nextPollAt := h.nextPoll(h.handle(EndpointUpdate{Kind: WatchStalled}))
		record("stalled watch", nextPollAt+responseTime-lastHeardAt)
	}
	failures := map[string]float64{"call rejected": 0, "call failed late": 3000, "no response": math.Inf(1)}
	for _, peers := range []int{1, 8, 80, 300, 1200} {
		for seed := range 40 {
			for cause, failsAfter := range failures {
				simulate(peers, seed, cause, failsAfter)
			}
		}
	}
	for cause, ms := range worst {
		if ms > deadline || ms < deadline/4 {
			t.Errorf("%s: the list is known after %.0f ms, want %d to %d", cause, ms, deadline/4, deadline)
		}
	}
}

// A sidecar with a local agent counts as notified at once of what the agent knows. The agent must therefore
// be polled at the start, and again within the drain grace after a failed call, however many sidecars there
// are and however often calls failed.
func TestLocalAgentIsPolledImmediately(t *testing.T) {
	for grace, maxBackoff := range map[float64]float64{0: 1000, 300: 300, 5000: 1000} {
		cfg := baseConfig()
		cfg.Subscribe = true
		cfg.LocalAgent = true
		cfg.PeerCount = 300
		cfg.DrainGrace = grace
		h := newHarness(t, cfg, newEndpoints(3)...)
		if due := h.nextPoll(h.actions); due != h.now {
			t.Fatalf("grace %v: first poll %v ms after the start, want 0", grace, due-h.now)
		}
		for range 9 {
			h.handle(Timer{Token: pollTimer})
			due := h.nextPoll(h.handle(EndpointUpdate{Kind: WatchFailed}))
			if due > h.now+maxBackoff {
				t.Fatalf("grace %v: backoff %v ms, want at most %v", grace, due-h.now, maxBackoff)
			}
			h.now = due
		}
	}
}
