package sidecar

import (
	"context"
	"log/slog"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/transient"
	"pebblelift/internal/upstream"
)

const (
	// statusInterval is the time between two status lines in the log. No status line is written before the first
	// request.
	statusInterval = 5 * time.Second
	// maxLoggedAttempts is how many failed attempts are logged individually between two status lines. Without the
	// limit the log would get a line for each request while most requests fail. The status lines count all attempts.
	maxLoggedAttempts = 100
)

// Stats holds counts of the event loop, since its start unless a field says otherwise.
type Stats struct {
	Requests          int                      // requests added to the request table
	OpenRequests      int                      // requests in the request table now
	OpenTraceIDs      int                      // trace IDs in use now
	Repeated          int                      // requests that were not accepted because they may have run before
	ClientsCanceled   int                      // requests whose client disconnected before the response
	Responses         [balance.ResultCount]int // responses to clients, by Response.Result
	Attempts          [balance.ResultCount]int // ended attempts, by result
	DiscoveryCalls    int                      // watches opened
	DiscoveryFailures int                      // calls to discovery that failed, and watches that ended
	DiscoveryOverdue  int                      // calls to discovery whose response did not begin in time
	DiscoveryLatency  float64                  // ms from the start of the latest watch to its first message
}

// ConnectionStats holds counts of clients' connections.
type ConnectionStats struct {
	Open     int   // open connections
	Accepted int64 // connections accepted since the start
	Rejected int64 // connections rejected since the start because too many were open
}

// SetConnectionStats sets the function that returns the counts of clients' connections for the status lines.
func (l *Loop) SetConnectionStats(stats func() ConnectionStats) { l.connectionStats.Store(&stats) }

// Stats returns the present counts. It returns ErrStopped if the loop has ended, or the error of ctx.
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

// logStatus logs one line with all counts since the start and the balancer's view of the load. The difference between
// the counts of two lines shows what happened between them.
func (d *dispatcher) logStatus() {
	d.failedSinceStatus = 0
	if d.stats.Requests == 0 {
		return
	}
	lb, stats, poolStats := d.balancer.Stats(), &d.stats, d.pool.Stats()
	d.log.Info("status",
		"requests", stats.Requests,
		"open", len(d.requests),
		"repeated", stats.Repeated,
		slog.Group("responses",
			"served", stats.Responses[balance.OK],
			"rejected", stats.Responses[balance.Rejected],
			"failed", stats.Responses[balance.ServerError],
			"canceled", stats.ClientsCanceled),
		slog.Group("unserved",
			"past_objective", lb.PastObjective,
			"shed", lb.Shed,
			"retries_exhausted", lb.RetriesExhausted,
			"not_sent", lb.NotSent),
		slog.Group("attempts", stats.attemptCounts()...),
		slog.Group("load",
			"base_shed_fraction", lb.BaseShedFraction,
			"overload", lb.Overload,
			"baseline_latency", lb.BaselineLatency,
			"short_term_latency", lb.ShortTermLatency,
			"concurrency_limit", lb.ConcurrencyLimit),
		slog.Group("endpoints", "listed", len(d.endpoints), "ejected", lb.Ejected, "warming_up", lb.WarmingUp),
		slog.Group("discovery",
			"calls", stats.DiscoveryCalls,
			"failed", stats.DiscoveryFailures,
			"overdue", stats.DiscoveryOverdue,
			"latency_ms", stats.DiscoveryLatency,
			"generation", d.generation),
		"waited_out_errors", transient.Total(),
		slog.Group("connections", "open", poolStats.Open, "dials", poolStats.Dials, "reuses", poolStats.Reuses),
		slog.Group("clients", d.clientConnectionCounts()...),
		slog.Group("gossip", "received", lb.GossipReceived, "dropped", lb.GossipDropped))
}

// attemptCounts returns the number of attempts by result as log attributes. It omits results without attempts.
func (s *Stats) attemptCounts() []any {
	var attrs []any
	for result, n := range s.Attempts {
		if n > 0 {
			attrs = append(attrs, slog.Int(balance.Result(result).String(), n))
		}
	}
	return attrs
}

// clientConnectionCounts returns the counts of clients' connections as log attributes, or nil if they are not known.
func (d *dispatcher) clientConnectionCounts() []any {
	connectionStats := d.loop.connectionStats.Load()
	if connectionStats == nil {
		return nil
	}
	stats := (*connectionStats)()
	return []any{"open", stats.Open, "accepted", stats.Accepted, "rejected", stats.Rejected}
}

// logAttempt logs an attempt that failed, unless maxLoggedAttempts have been logged since the last status line. An
// attempt that was canceled is not a failure.
func (d *dispatcher) logAttempt(a *attempt, response upstream.Response, latency float64) {
	if response.Result == balance.OK || response.Result == balance.Canceled {
		return
	}
	d.failedSinceStatus++
	if d.failedSinceStatus > maxLoggedAttempts {
		return
	}
	endpointName := ""
	if a.endpoint != nil {
		endpointName = a.endpoint.name
	}
	d.log.Info("attempt",
		"trace_id", a.request.TraceID,
		"number", a.number,
		"endpoint", endpointName,
		"result", response.Result.String(),
		"latency_ms", latency,
		"connection_idle", response.ConnectionIdle,
		"err", response.Err)
}
