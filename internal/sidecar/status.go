package sidecar

import (
	"log/slog"
	"time"

	"pebblelift/balance"
)

// statusEvery is how often a busy sidecar logs what it did.
const statusInterval = 5 * time.Second

// mostLogged is how many attempts that failed have a line of their own between two status lines, which count all.
const maxLoggedAttempts = 100

// counts is what the loop has seen since the start.
type statistics struct {
	requests, clientsCanceled int
	responses                 [balance.NotSent + 1]int // by kind
	attempts                  [balance.NotSent + 1]int // of attempts, by result
	loggedAttempts            int                      // attempts since the last status line

	discoveryCalls, discoveryFailures int     // to discovery; a watch that ends counts as failed
	discoveryLatency                  float64 // ms until the last watch began to tell
}

// logStatus writes one line with all counts since the start and the module's view of the load: what is refused is
// told with its reason, and the difference of two lines is what happened between them.
func (l *Loop) logStatus() {
	l.statistics.loggedAttempts = 0
	if l.statistics.requests == 0 {
		return
	}
	b, c := l.balancer.Stats(), &l.statistics
	open, dials, reuses := l.pool.stats()
	var outcomes []any
	for result, n := range c.attempts {
		if n > 0 {
			outcomes = append(outcomes, slog.Int(balance.Result(result).String(), n))
		}
	}
	clients := []any{}
	if b := l.listener.Load(); b != nil {
		clients = append(clients, "open", len(b.slots), "taken", b.accepted.Load(), "over", b.rejected.Load())
	}
	l.log.Info("status",
		"requests", c.requests, "open", len(l.requests),
		slog.Group("answers", "served", c.responses[balance.OK], "refused", c.responses[balance.Rejected],
			"failed", c.responses[balance.ServerError], "hangups", c.clientsCanceled),
		slog.Group("unserved", "late", b.PastObjective, "shed", b.Shed, "spent", b.RetriesExhausted, "unsent", b.NotSent),
		slog.Group("attempts", outcomes...),
		slog.Group("load", "steady", b.BaseShedFraction, "over", b.Overload, "quickest", b.BaselineLatency, "pressure", b.ShortTermLatency, "limit", b.ConcurrencyLimit),
		slog.Group("servers", "known", len(l.endpoints), "resting", b.Ejected, "cold", b.WarmingUp),
		slog.Group("discovery", "calls", c.discoveryCalls, "failed", c.discoveryFailures, "took", c.discoveryLatency, "generation", l.generation),
		slog.Group("conns", "open", open, "dials", dials, "reuses", reuses),
		slog.Group("clients", clients...),
		slog.Group("peers", "heard", b.GossipReceived, "dropped", b.GossipDropped))
}

// mayLog counts the lines about single attempts: on a bad day there would be one for each.
func (l *Loop) mayLogAttempt() bool {
	l.statistics.loggedAttempts++
	return l.statistics.loggedAttempts <= maxLoggedAttempts
}
