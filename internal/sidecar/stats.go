package sidecar

import (
	"context"
	"log/slog"
	"math"
	"time"

	"pebblelift/balance"
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
	FirstAttempts     int                      // requests with an attempt
	FirstAttemptTotal float64                  // ms from the arrival of requests to their first attempts, in all
	FirstAttemptMax   float64                  // the largest of these times since the last status line
	ClientsCanceled   int                      // requests whose client disconnected before the response
	Responses         [balance.ResultCount]int // responses to clients, by Response.Result
	Attempts          [balance.ResultCount]int // ended attempts, by result
	DiscoveryCalls    int                      // watches opened
	DiscoveryFailures int                      // calls to discovery that failed, and watches that ended
	DiscoveryOverdue  int                      // calls to discovery whose response did not begin in time
	DiscoveryLatency  float64                  // ms from the start of the latest watch to its first message
}

// noteFirstAttempt takes note of the time in ms from the arrival of a request to its first attempt.
func (s *Stats) noteFirstAttempt(ms float64) {
	s.FirstAttempts++
	s.FirstAttemptTotal += ms
	s.FirstAttemptMax = max(s.FirstAttemptMax, ms)
}

// ServerStats holds counts of the server for clients, since its start unless a field says otherwise.
type ServerStats struct {
	Open             int           // open connections now
	Accepted         int64         // connections accepted
	Rejected         int64         // connections rejected because too many were open
	AcceptErrors     int64         // failed calls of accept
	HealthChecks     int64         // answered health checks
	Refused          int64         // requests refused because there was no memory to serve them
	InvalidMessages  int64         // messages rejected as invalid
	LargeMessages    int64         // messages rejected as too large, or with too many header fields
	SlowMessages     int64         // messages rejected because they did not arrive in time
	UnstoredMessages int64         // messages rejected because there was no memory for them, or at the end of a shutdown
	Evicted          int64         // messages among these that gave up their memory to others
	Cut              int64         // rejected messages whose connections ended early, as their slots were needed
	Pauses           int64         // waits of clients that sent too fast
	MemoryWaits      int64         // messages that waited for memory
	FarAhead         int64         // rests of the reader because a client had sent far ahead of its responses
	Left             int64         // connections whose clients left before they were accepted
	ParseTime        time.Duration // time spent on reading messages of clients
	Busiest          ClientUse     // the address that took the most work since the last call
}

// ClientUse is what the clients at one address have made the server do.
type ClientUse struct {
	Address       string
	Connections   int           // accepted
	Messages      int           // complete
	Unserved      int           // messages that were not served
	Canceled      int           // requests in flight whose client has left
	ReceivedBytes int64         // from the clients
	SentBytes     int64         // to the clients
	Work          time.Duration // time for reading and writing messages, without waits for peers
}

// SetServerStats sets the function that returns the counts of the server for the status lines.
func (l *Loop) SetServerStats(stats func() ServerStats) { l.serverStats.Store(&stats) }

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

// logStatus logs the counts since the start and the present state, in several short lines, as tools that collect logs cut
// long ones. The difference between the counts of two lines shows what happened between them.
func (d *dispatcher) logStatus() {
	d.failedSinceStatus = 0
	if d.stats.Requests == 0 {
		return
	}
	d.logRequestStatus()
	d.logLoadStatus()
	d.logEndpointStatus()
	d.logClientStatus()
	d.logMemoryStatus()
	d.logProcessStatus()
}

// logRequestStatus logs what became of requests and attempts.
func (d *dispatcher) logRequestStatus() {
	lb, stats := d.balancer.Stats(), &d.stats
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
			"not_sent", lb.NotSent))
	d.log.Info("status.attempts", stats.attemptCounts()...)
	d.log.Info("status.first_attempt",
		"count", stats.FirstAttempts,
		"total_ms", math.Round(stats.FirstAttemptTotal),
		"max_ms", math.Round(stats.FirstAttemptMax))
	stats.FirstAttemptMax = 0
}

// logLoadStatus logs the balancer's view of the load.
func (d *dispatcher) logLoadStatus() {
	lb := d.balancer.Stats()
	d.log.Info("status.load",
		"base_shed_fraction", roundFraction(lb.BaseShedFraction),
		"overload", roundFraction(lb.Overload),
		"baseline_latency", roundFraction(lb.BaselineLatency),
		"short_term_latency", roundFraction(lb.ShortTermLatency),
		"concurrency_limit", roundFraction(lb.ConcurrencyLimit))
}

// roundFraction rounds a number for the log.
func roundFraction(x float64) float64 { return math.Round(x*1000) / 1000 }

// logEndpointStatus logs what is known of endpoints, the connections to them, and where the knowledge comes from.
func (d *dispatcher) logEndpointStatus() {
	lb, stats, poolStats := d.balancer.Stats(), &d.stats, d.pool.Stats()
	d.log.Info("status.endpoints",
		"listed", len(d.endpoints),
		"ejected", lb.Ejected,
		"warming_up", lb.WarmingUp,
		slog.Group("connections", "open", poolStats.Open, "dials", poolStats.Dials, "reuses", poolStats.Reuses,
			"unusable", poolStats.Unusable))
	d.log.Info("status.sources",
		slog.Group("discovery",
			"calls", stats.DiscoveryCalls,
			"failed", stats.DiscoveryFailures,
			"overdue", stats.DiscoveryOverdue,
			"latency_ms", math.Round(stats.DiscoveryLatency),
			"generation", d.generation),
		slog.Group("gossip", "received", lb.GossipReceived, "dropped", lb.GossipDropped))
}

// logClientStatus logs the counts of the server for clients, if they are known.
func (d *dispatcher) logClientStatus() {
	serverStats := d.loop.serverStats.Load()
	if serverStats == nil {
		return
	}
	stats := (*serverStats)()
	d.log.Info("status.clients",
		"open", stats.Open,
		"accepted", stats.Accepted,
		"rejected", stats.Rejected,
		"accept_errors", stats.AcceptErrors,
		"left", stats.Left,
		"health_checks", stats.HealthChecks,
		"refused", stats.Refused,
		"pauses", stats.Pauses,
		"memory_waits", stats.MemoryWaits,
		"far_ahead", stats.FarAhead)
	d.log.Info("status.messages",
		"invalid", stats.InvalidMessages,
		"too_large", stats.LargeMessages,
		"too_slow", stats.SlowMessages,
		"not_stored", stats.UnstoredMessages,
		"evicted", stats.Evicted,
		"cut", stats.Cut,
		"parse_ms", stats.ParseTime.Milliseconds())
	busiest := &stats.Busiest
	d.log.Info("status.busiest_client",
		"address", busiest.Address,
		"connections", busiest.Connections,
		"messages", busiest.Messages,
		"unserved", busiest.Unserved,
		"canceled", busiest.Canceled,
		"received_kb", busiest.ReceivedBytes>>10,
		"sent_kb", busiest.SentBytes>>10,
		"work_ms", busiest.Work.Milliseconds())
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
