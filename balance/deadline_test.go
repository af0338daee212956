package balance

import "testing"

// Guards against clients with hardly any time left that make a healthy fleet look dead or fast: their attempts end
// before any endpoint could have responded.
func TestShortDeadlinesTellNothingAboutEndpoints(t *testing.T) {
	const usualLatency, shortTimeout = 20.0, 1.0
	for _, result := range []Result{TimedOut, ConnectFailed} {
		cfg := baseConfig()
		cfg.ClientsMarkRetries = true // otherwise short timeouts would be those of retries
		h := newHarness(t, cfg, newEndpoints(9)...)
		for range 200 {
			h.now += usualLatency
			id, _ := h.request(idempotentClass)
			h.finishAttempt(id, 0, OK, usualLatency)
		}
		latency := h.b.latency
		for range 2000 {
			h.lastID++
			if _, sent := attemptTarget(h.handle(Request{ID: h.lastID, Class: idempotentClass, Timeout: shortTimeout})); !sent {
				t.Fatalf("%v: request %d was rejected although all endpoints are idle", result, h.lastID)
			}
			h.now += shortTimeout
			r := h.b.requests[h.lastID]
			h.handle(AttemptResult{
				Request: h.lastID, Endpoint: r.attempts[0].endpoint.ID, Result: result, Latency: shortTimeout,
				DeadlineReached: true,
			})
		}
		if stats := h.b.Stats(); stats.Ejected > 0 || h.b.latency != latency {
			t.Errorf("%v: %d endpoints ejected, latency %+v, want none and %+v", result, stats.Ejected, h.b.latency, latency)
		}
	}
}

// An endpoint that hangs is ejected although each request to it ends by the deadline of its client.
func TestDeadlinesOfUsualLengthEjectHangingEndpoint(t *testing.T) {
	h := newHarness(t, baseConfig(), newEndpoints(1)...)
	for range consecutiveErrorsToEject {
		id, _ := h.request(nonIdempotentClass)
		h.now += 600
		h.finishAttempt(id, 0, TimedOut, 600)
	}
	if stats := h.b.Stats(); stats.Ejected != 1 {
		t.Errorf("%d endpoints ejected, want 1", stats.Ejected)
	}
}
