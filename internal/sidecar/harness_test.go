package sidecar

import (
	"context"
	"log/slog"
	"testing"

	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
	"pebblelift/internal/upstream"
)

// The positions of the classes in nettest.Settings.
const (
	idempotentClass = iota
	idempotencyKeyClass
	nonIdempotentClass
)

// requestTimeout, in ms, is longer than any test takes.
const requestTimeout = 9000

// harness runs an event loop without the downstream server, until the end of the test.
type harness struct {
	t    *testing.T
	loop *Loop
}

func newHarness(t *testing.T, discovery, cachedCatalog string) *harness {
	t.Helper()
	return newHarnessWithSettings(t, nettest.Settings, discovery, cachedCatalog)
}

// newHarnessWithSettings runs an event loop with a settings object. The configure functions change the loop before it
// runs.
func newHarnessWithSettings(
	t *testing.T, settings, discovery, cachedCatalog string, configure ...func(*Loop),
) *harness {
	t.Helper()
	cfg, err := config.Parse(nettest.ConfigJSON(discovery, cachedCatalog, settings))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, loop: NewLoop(clock.New(), &cfg, slog.New(slog.DiscardHandler))}
	for _, f := range configure {
		f(h.loop)
	}
	ctx, stop := context.WithCancel(context.Background())
	go h.loop.Run(ctx)
	t.Cleanup(stop)
	return h
}

// newHarnessWithEndpoints runs an event loop with a cached catalog of endpoints. Discovery is down.
func newHarnessWithEndpoints(t *testing.T, addrs ...string) *harness {
	t.Helper()
	return newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(addrs...))
}

func idempotentRequest(traceID string) Request {
	return newRequest(traceID, idempotentClass, "GET", "/look")
}

func nonIdempotentRequest(traceID string) Request {
	return newRequest(traceID, nonIdempotentClass, "POST", "/once")
}

func newRequest(traceID string, class int, method, target string) Request {
	return Request{
		Forwarded: upstream.Request{
			Method: method,
			Target: target,
			Header: []upstream.HeaderField{{Name: headers.TraceID, Value: traceID}},
		},
		TraceID: traceID,
		Class:   class,
		Tenant:  -1,
		Timeout: requestTimeout,
	}
}

func (r Request) withTimeout(ms float64) Request {
	r.Timeout = ms
	return r
}

// do serves a request that arrives now.
func (h *harness) do(r Request) Response {
	h.t.Helper()
	r.ArrivedAt = h.loop.clock.Now()
	response, err := h.loop.Do(h.t.Context(), r)
	if err != nil {
		h.t.Fatal(err)
	}
	return response
}

// runInLoop runs f on the event loop and waits for it.
func (h *harness) runInLoop(f func()) {
	h.t.Helper()
	done := make(chan struct{})
	h.loop.enqueue(func(*dispatcher) {
		f()
		close(done)
	})
	nettest.Receive(h.t, done)
}
