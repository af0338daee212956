package balance

import (
	"fmt"
	"testing"
)

// A retry is sent to the endpoint with the best health among the untried ones, regardless of the rotation.
func TestRetryPicksHealthiestUntriedEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, e := range h.b.endpoints {
		e.outlier.consecutiveErrors, e.outlier.lastErrorAt = 2, h.now
	}
	h.b.endpoints[2].outlier.consecutiveErrors = 1
	h.b.endpoints[1].rotation.currentWeight = 1000 // next in the rotation, but not the healthiest
	id, actions := h.request(idempotentClass)
	if target, _ := attemptTarget(actions); target != 2 {
		t.Fatalf("first attempt at endpoint %d, want 2", target)
	}
	h.b.endpoints[3].rotation.currentWeight = 1000 // next in the rotation, which a retry must ignore
	if target, ok := attemptTarget(h.finishAttempt(id, 0, Rejected, 1)); !ok || target != 3 {
		t.Fatalf("retried at endpoint %d (%v), want 3", target, ok)
	}
}

// A first attempt is followed by a retry, a rejection or a failure, as its idempotency, deduplication scope
// and result allow within the deduplication window and after it.
func TestRetryEligibilityByResult(t *testing.T) {
	classes := []int{idempotentClass, nonIdempotentClass, cellKeyClass, globalKeyClass, zoneKeyClass}
	results := []Result{ServerError, Rejected, TimedOut, ConnectFailed, Reset, Canceled}
	for _, class := range classes {
		for _, result := range results {
			for _, windowPassed := range []bool{false, true} {
				name := fmt.Sprintf("class %d/%v/window passed=%v", class, result, windowPassed)
				t.Run(name, func(t *testing.T) {
					checkAfterFirstAttempt(t, class, result, windowPassed)
				})
			}
		}
	}
}

// checkAfterFirstAttempt ends the first attempt of a request with the given result and checks what follows.
func checkAfterFirstAttempt(t *testing.T, class int, result Result, windowPassed bool) {
	t.Helper()
	cfg := baseConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = cfg.Classes[i].Deadline // late retries keep their full value
		cfg.Classes[i].DedupWindow = 200
	}
	h := newHarness(t, cfg, newEndpoints(8)...)
	id, actions := h.request(class)
	firstID, ok := attemptTarget(actions)
	if !ok {
		t.Fatal("no first attempt")
	}
	h.now += 100
	if windowPassed {
		h.now += 200
	}
	actions = h.finishAttempt(id, 0, result, 100)
	c := cfg.Classes[class]
	mayRetry := c.Idempotency == Idempotent || result.NotExecuted() ||
		c.Idempotency == IdempotentWithKey && !windowPassed
	secondID, retried := attemptTarget(actions)
	if retried != mayRetry {
		t.Fatalf("retried %v, want %v; actions %+v", retried, mayRetry, actions)
	}
	if !retried {
		mayReject := c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAll
		if hasAction(actions, Reject) != mayReject || hasAction(actions, Fail) == mayReject {
			t.Fatalf("got actions %+v; want a rejection: %v, otherwise a failure", actions, mayReject)
		}
		return
	}
	first, second := h.b.endpointByID[firstID], h.b.endpointByID[secondID]
	mayHaveRun := !result.NotExecuted()
	wrongCell := mayHaveRun && class == cellKeyClass && first.Cell != second.Cell
	wrongZone := mayHaveRun && class == zoneKeyClass && first.Zone != second.Zone
	if first == second || wrongCell || wrongZone {
		t.Fatalf("retried at %+v after an attempt at %+v", second.Endpoint, first.Endpoint)
	}
}

// A request that may have run must fail rather than be rejected, because clients repeat rejected requests.
func TestPossiblyExecutedRequestsAreFailedNotRejected(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(4)...)
	for _, class := range []int{nonIdempotentClass, cellKeyClass, zoneKeyClass} {
		id, _ := h.request(class)
		h.now = h.b.requests[id].deadline
		actions := h.handle(Timer{Token: uint64(id)})
		if hasAction(actions, Reject) || !hasAction(actions, Fail) {
			t.Errorf("class %d at its deadline with an attempt in flight: got actions %+v, want a failure",
				class, actions)
		}
	}
}

// No request gets more attempts than the settings allow.
func TestMaxAttempts(t *testing.T) {
	cfg := baseConfig()
	cfg.MaxAttempts = 1
	h := newHarness(t, cfg, newEndpoints(4)...)
	id, _ := h.request(idempotentClass)
	actions := h.finishAttempt(id, 0, Rejected, 1)
	if hasAction(actions, StartAttempt) || !hasAction(actions, Reject) {
		t.Fatalf("after the only attempt allowed: got actions %+v, want a rejection and no retry", actions)
	}
}

// Guards against requests that wait for a hung endpoint, which causes no error, until the client's timeout. A
// request that may run again is retried at another endpoint when its attempt is overdue, but only after that
// attempt has ended, and only if the other endpoint can serve the request in time and no load is shed.
func TestOverdueAttemptIsRetriedElsewhere(t *testing.T) {
	for _, c := range []struct {
		name          string
		class         int
		endpointCount int
		shed          float64 // fraction of the load that is shed, from 0 to 1
		age           float64 // ms from the request's arrival to the timer
		retried       bool
	}{
		{"hung endpoint", idempotentClass, 3, 0, 100, true},
		{"non-idempotent", nonIdempotentClass, 3, 0, 100, false},
		{"key recognized only in its cell", cellKeyClass, 3, 0, 100, false},
		{"no other endpoint", idempotentClass, 1, 0, 100, false},
		{"load is shed", idempotentClass, 3, 0.5, 100, false},
		{"too late for its objective", idempotentClass, 3, 0, 299, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, baseConfig(), newEndpoints(c.endpointCount)...)
			for range 20 {
				id, _ := h.request(c.class)
				h.now += 10
				h.finishAttempt(id, 0, OK, 10)
			}
			id, actions := h.request(c.class)
			first, _ := attemptTarget(actions)
			h.b.shedder.baseShedFraction = c.shed
			h.now += c.age
			actions = h.handle(Timer{Token: uint64(id)})
			if hasAction(actions, StartAttempt) || hasAction(actions, CancelAttempt) != c.retried {
				t.Errorf("overdue: got actions %+v, want no attempt yet, and a cancellation: %v",
					actions, c.retried)
			}
			if !c.retried {
				return
			}
			actions = h.finishAttempt(id, 0, Canceled, 100)
			if second, ok := attemptTarget(actions); !ok || second == first {
				t.Errorf("after the cancellation: retried %v, at endpoint %d, want another one than %d",
					ok, second, first)
			}
			actions = h.handle(Timer{Token: uint64(id)})
			if hasAction(actions, CancelAttempt) || hasAction(actions, StartAttempt) {
				t.Errorf("after the retry: got actions %+v, want neither cancellation nor attempt", actions)
			}
		})
	}
}

// Guards against doubled load: in a failing fleet every request was retried. The retry budget limits retries.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(6)...)
	retries := 0
	const requests = 200
	for range requests {
		id, actions := h.request(idempotentClass)
		if !hasAction(actions, StartAttempt) {
			continue
		}
		h.now++
		if hasAction(h.finishAttempt(id, 0, ServerError, 1), StartAttempt) {
			retries++
			h.finishAttempt(id, 1, ServerError, 1)
		}
	}
	if limit := int(retryBudgetBurst + retryBudgetRatio*requests); retries < limit/2 || retries > limit {
		t.Fatalf("%d of %d requests were retried, want %d to %d", retries, requests, limit/2, limit)
	}
}
