package sidecar

import (
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/nettest"
)

// The timeout of an attempt is handled before a timer of the balancer that is due at the same moment, so that the
// balancer gets the attempt's result as a timeout.
func TestAttemptTimeoutPrecedesBalancerTimer(t *testing.T) {
	cfg, err := config.Parse(nettest.ConfigJSON("127.0.0.1:1", "null", nettest.Settings))
	if err != nil {
		t.Fatal(err)
	}
	l := NewLoop(clock.New(), &cfg, nil)
	due := l.clock.Now() + 100
	a := &attempt{}
	l.dispatcher.execute([]balance.Action{{Kind: balance.SetTimer, Token: 7, Delay: due - l.clock.Now()}})
	l.dispatcher.timers.add(&timer{due: due, attempt: a})
	if l.dispatcher.timers[0].attempt != a {
		t.Error("the balancer's timer comes first")
	}
}
