package sidecar

import (
	"context"
	"log/slog"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/upstream"
)

const (
	// statusInterval is how often a busy sidecar logs what it did.
	statusInterval = 5 * time.Second
	// maxLoggedAttempts is how many attempts that failed have a line of their own between two status lines, which
	// count all: on a bad day there would be one for each request.
	maxLoggedAttempts = 100
)

// Stats is what the loop has seen since the start.
type Stats struct {
	Requests          int
	OpenRequests      int // in the table now
	OpenTraceIDs      int // likewise
	ClientsCanceled   int
	Responses         [balance.ResultCount]int // by Response.Result
	Attempts          [balance.ResultCount]int // by result
	DiscoveryCalls    int
	DiscoveryFailures int     // a watch that has ended counts as one
	DiscoveryLatency  float64 // ms until the last watch brought its first message
}

// ConnectionStats counts clients' connections.
type ConnectionStats struct {
	Open     int
	Accepted int64 // since the start
	Rejected int64 // since the start, as there were too many
}

// SetConnectionStats adds the counts of clients' connections to the status lines.
func (l *Loop) SetConnectionStats(stats func() ConnectionStats) { l.connectionStats.Store(&stats) }

// Stats returns the counts, or ctx's error.
func (l *Loop) Stats(ctx context.Context) (Stats, error) {
	result := make(chan Stats, 1)
	l.enqueue(func(d *dispatcher) {
		stats := d.stats
		stats.OpenRequests = len(d.requests)
		stats.OpenTraceIDs = len(d.traceIDs)
		result <- stats
	})
	select {
	case stats := <-result:
		return stats, nil
	case <-l.ended:
		return Stats{}, ErrStopped
	case <-ctx.Done():
		return Stats{}, ctx.Err()
	}
}

// logStatus writes one line with all counts since the start and the balancer's view of the load. The difference of two
// lines is what happened between them.
func (d *dispatcher) logStatus() {
	d.loggedCount = 0
	if d.stats.Requests == 0 {
		return
	}
	b, s, conns := d.balancer.Stats(), &d.stats, d.pool.Stats()
	d.log.Info("status",
		"requests", s.Requests,
		"open", len(d.requests),
		slog.Group("responses",
			"served", s.Responses[balance.OK],
			"rejected", s.Responses[balance.Rejected],
			"failed", s.Responses[balance.ServerError],
			"canceled", s.ClientsCanceled),
		slog.Group("unserved",
			"past_objective", b.PastObjective,
			"shed", b.Shed,
			"retries_exhausted", b.RetriesExhausted,
			"not_sent", b.NotSent),
		slog.Group("attempts", s.attemptCounts()...),
		slog.Group("load",
			"base_shed_fraction", b.BaseShedFraction,
			"overload", b.Overload,
			"baseline_latency", b.BaselineLatency,
			"short_term_latency", b.ShortTermLatency,
			"concurrency_limit", b.ConcurrencyLimit),
		slog.Group("endpoints", "listed", len(d.endpoints), "ejected", b.Ejected, "warming_up", b.WarmingUp),
		slog.Group("discovery",
			"calls", s.DiscoveryCalls,
			"failed", s.DiscoveryFailures,
			"latency_ms", s.DiscoveryLatency,
			"generation", d.generation),
		slog.Group("connections", "open", conns.Open, "dials", conns.Dials, "reuses", conns.Reuses),
		slog.Group("clients", d.clientCounts()...),
		slog.Group("gossip", "received", b.GossipReceived, "dropped", b.GossipDropped))
}

// attemptCounts leaves out results that no attempt has had.
func (s *Stats) attemptCounts() []any {
	var attrs []any
	for result, n := range s.Attempts {
		if n > 0 {
			attrs = append(attrs, slog.Int(balance.Result(result).String(), n))
		}
	}
	return attrs
}

func (d *dispatcher) clientCounts() []any {
	stats := d.loop.connectionStats.Load()
	if stats == nil {
		return nil
	}
	s := (*stats)()
	return []any{"open", s.Open, "accepted", s.Accepted, "rejected", s.Rejected}
}

// logAttempt writes a line about an attempt that was not served, unless there have been too many.
func (d *dispatcher) logAttempt(a *attempt, response upstream.Response, latency float64) {
	if response.Result == balance.OK || response.Result == balance.Canceled {
		return
	}
	d.loggedCount++
	if d.loggedCount > maxLoggedAttempts {
		return
	}
	name := ""
	if a.endpoint != nil {
		name = a.endpoint.name
	}
	d.log.Info("attempt",
		"trace_id", a.request.TraceID,
		"number", a.number,
		"endpoint", name,
		"result", response.Result.String(),
		"latency_ms", latency,
		"connection_idle", response.ConnectionIdle,
		"err", response.Err)
}
