package sidecar

import (
	"context"
	"errors"
	"strings"
	"syscall"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
	"pebblelift/internal/upstream"
)

// If an endpoint never responds, the client still gets a response in time, the attempt's connection is closed and the
// request is removed from the table.
func TestHungEndpoint(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.NeverRespond)
	h := newHarnessWithEndpoints(t, stub.Addr)
	if resp := h.do(nonIdempotentRequest("t").withTimeout(50)); resp.Result != balance.ServerError {
		t.Errorf("result %v, want %v", resp.Result, balance.ServerError)
	}
	nettest.Receive(t, stub.Disconnects)
	h.runInLoop(func() {
		if n := len(h.loop.dispatcher.requests); n != 0 {
			t.Errorf("%d requests in the table, want none", n)
		}
	})
}

// If the client disconnects while the upstream connection is being opened, the request is not forwarded, even if the
// settings do not allow canceling attempts.
func TestClientCancelBeforeUpstreamConnects(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	dialing, connect := make(chan struct{}, 1), make(chan struct{})
	settings := strings.Replace(nettest.Settings, `"cancel": true`, `"cancel": false`, 1)
	delayConnect := func(l *Loop) {
		options := poolOptions(l)
		options.Control = func(string, string, syscall.RawConn) error {
			dialing <- struct{}{}
			<-connect
			return nil
		}
		l.dispatcher.pool = upstream.NewPool(options)
	}
	h := newHarnessWithSettings(
		t, settings, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), delayConnect)
	ctx, disconnect := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	in := nonIdempotentRequest("t")
	in.ArrivedAt = h.loop.clock.Now()
	go func() {
		_, err := h.loop.Do(ctx, in)
		ended <- err
	}()
	nettest.Receive(t, dialing)
	disconnect()
	if err := nettest.Receive(t, ended); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
	h.runInLoop(func() {
		if n := h.loop.dispatcher.stats.ClientsCanceled; n != 1 {
			t.Errorf("%d requests counted as canceled by the client, want 1", n)
		}
	})
	close(connect)
	if resp := h.do(nonIdempotentRequest("later")); resp.Result != balance.OK || stub.Requests.Load() != 1 {
		t.Errorf("later request: result %v, %d requests were forwarded, want %v and 1",
			resp.Result, stub.Requests.Load(), balance.OK)
	}
}

// Guards against answered requests that stay in memory, with their bodies, until the client's deadline.
func TestAnsweredRequestIsReleased(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	if resp := h.do(nonIdempotentRequest("t")); resp.Result != balance.OK {
		t.Fatalf("result %v, want %v", resp.Result, balance.OK)
	}
	h.runInLoop(func() {
		for _, timer := range h.loop.dispatcher.timers {
			if timer.attempt != nil {
				t.Error("a timer still refers to the attempt of the answered request")
			}
		}
	})
}
