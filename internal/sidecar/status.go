package sidecar

import (
	"log/slog"
	"time"

	"pebblelift/balance"
)

// statusEvery is how often a busy sidecar logs what it did.
const statusEvery = 5 * time.Second

// mostLogged is how many attempts that failed have a line of their own between two status lines, which count all.
const mostLogged = 100

// counts is what the loop has seen since the start.
type counts struct {
	requests, hangUps int
	answers           [balance.Moot + 1]int // by kind
	outcomes          [balance.Moot + 1]int // of attempts, by result
	logged            int                   // attempts since the last status line

	calls, callsFailed int     // to discovery; a watch that ends counts as failed
	answerTime         float64 // ms until the last watch began to tell
}

// logStatus writes one line with all counts since the start and the module's view of the load: what is refused is
// told with its reason, and the difference of two lines is what happened between them.
func (l *Loop) logStatus() {
	l.counts.logged = 0
	if l.counts.requests == 0 {
		return
	}
	b, c := l.b.Stats(), &l.counts
	open, dials, reuses := l.up.tally()
	var outcomes []any
	for result, n := range c.outcomes {
		if n > 0 {
			outcomes = append(outcomes, slog.Int(balance.Result(result).String(), n))
		}
	}
	clients := []any{}
	if b := l.clients.Load(); b != nil {
		clients = append(clients, "open", len(b.places), "taken", b.taken.Load(), "over", b.over.Load())
	}
	l.log.Info("status",
		"requests", c.requests, "open", len(l.requests),
		slog.Group("answers", "served", c.answers[balance.OK], "refused", c.answers[balance.Full],
			"failed", c.answers[balance.Failed], "hangups", c.hangUps),
		slog.Group("unserved", "late", b.Late, "shed", b.Shed, "spent", b.Spent, "unsent", b.Unsent),
		slog.Group("attempts", outcomes...),
		slog.Group("load", "steady", b.Steady, "over", b.Over, "quickest", b.Quickest, "pressure", b.Pressure, "limit", b.Limit),
		slog.Group("servers", "known", len(l.servers), "resting", b.Resting, "cold", b.Cold),
		slog.Group("discovery", "calls", c.calls, "failed", c.callsFailed, "took", c.answerTime, "generation", l.generation),
		slog.Group("conns", "open", open, "dials", dials, "reuses", reuses),
		slog.Group("clients", clients...),
		slog.Group("peers", "heard", b.Heard, "dropped", b.Dropped))
}

// mayLog counts the lines about single attempts: on a bad day there would be one for each.
func (l *Loop) mayLog() bool {
	l.counts.logged++
	return l.counts.logged <= mostLogged
}
