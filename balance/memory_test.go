package balance

import (
	"fmt"
	"testing"
)

// Guards against memory leaks: answered requests, removed endpoints and requests that have waited for health
// checks are dropped.
func TestMemoryIsBounded(t *testing.T) {
	h := newHarness(t, healthCheckConfig(), newEndpoints(5)...)
	for i := range 20000 {
		h.actions = h.actions[:0]
		h.now += 5
		id, actions := h.request(idempotentClass)
		actions = append(actions, h.answerHealthChecks(actions, 0, nil)...)
		if _, ok := attemptTarget(actions); ok {
			h.finishAttempt(id, 0, OK, 5)
		}
		if i%20 == 0 { // a rolling deploy replaces endpoints by ones with new IDs
			endpoints := newEndpoints(5)
			for k := range endpoints {
				endpoints[k].ID = EndpointID(i + k + 1)
			}
			h.handle(EndpointUpdate{Kind: Snapshot, Endpoints: endpoints})
		}
	}
	b := h.b
	if len(b.requests) > 1 || len(b.endpoints) != 5 || len(b.endpointByID) != 5 ||
		len(b.healthChecks.waiting) > 1 || cap(b.actions) > 100 {
		t.Fatalf("%d requests, want at most 1; %d endpoints and %d by ID, want 5; "+
			"%d requests wait for health checks, want at most 1; capacity for %d actions, want at most 100",
			len(b.requests), len(b.endpoints), len(b.endpointByID),
			len(b.healthChecks.waiting), cap(b.actions))
	}
}

// BenchmarkRequest measures the cost of a request for several numbers of endpoints. The cost grows little,
// because each sidecar uses a subset of the endpoints.
func BenchmarkRequest(b *testing.B) {
	for _, endpointCount := range []int{12, 100, 300, 1000} {
		b.Run(fmt.Sprintf("%d-endpoints", endpointCount), func(b *testing.B) {
			cfg := baseConfig()
			cfg.PeerCount = 10 * endpointCount
			balancer := New(cfg)
			balancer.Start(0)
			snapshot := EndpointUpdate{Kind: Snapshot, Endpoints: newEndpoints(endpointCount)}
			if _, err := balancer.Handle(0, snapshot); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			now := 0.0
			for i := range b.N {
				now += 5
				id := RequestID(i + 1)
				actions, err := balancer.Handle(now, Request{ID: id, Timeout: 1500})
				if err != nil || len(actions) == 0 {
					b.Fatal(err, actions)
				}
				if actions[0].Kind != StartAttempt {
					continue
				}
				success := AttemptResult{
					Request:       id,
					Endpoint:      actions[0].Endpoint,
					Latency:       4,
					RequestClosed: true,
				}
				if _, err := balancer.Handle(now+4, success); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
