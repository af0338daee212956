package downstream

import (
	"net/http"
	"sync/atomic"
	"time"

	"pebblelift/internal/sidecar"
)

// serverStats counts since the start of the process.
type serverStats struct {
	accepted, rejectedConnections        atomic.Int64
	acceptErrors                         atomic.Int64
	healthChecks, refused                atomic.Int64
	invalid, tooLarge, tooSlow, noMemory atomic.Int64 // rejected messages by reason
	evicted                              atomic.Int64 // unfinished messages rejected because others needed their memory
	cut                                  atomic.Int64 // rejected messages whose connections ended early, as their slots were needed
	memoryWaits                          atomic.Int64 // messages that waited for memory
	left                                 atomic.Int64 // connections whose clients left before they were accepted
	farAhead                             atomic.Int64 // rests of the reader because a client had sent far ahead
	pauses                               atomic.Int64 // waits of clients that send too fast
	parse                                durationSum  // time for reading the messages of clients
}

// durationSum is a sum of durations.
type durationSum struct{ nanoseconds atomic.Int64 }

func (s *durationSum) add(d time.Duration) { s.nanoseconds.Add(int64(d)) }

func (s *durationSum) total() time.Duration { return time.Duration(s.nanoseconds.Load()) }

// countRejection counts a rejected message by its reason.
func (s *serverStats) countRejection(err *RequestError) {
	switch {
	case err.Err == errTimeout:
		s.tooSlow.Add(1)
	case err.Status == http.StatusServiceUnavailable:
		s.noMemory.Add(1)
	case err.Status == http.StatusBadRequest:
		s.invalid.Add(1)
	default:
		s.tooLarge.Add(1)
	}
}

// currentStats returns the counts for the status lines.
func (s *Server) currentStats() sidecar.ServerStats {
	stats := &s.stats
	return sidecar.ServerStats{
		Open:             s.table.size(),
		Accepted:         stats.accepted.Load(),
		Rejected:         stats.rejectedConnections.Load(),
		AcceptErrors:     stats.acceptErrors.Load(),
		HealthChecks:     stats.healthChecks.Load(),
		Refused:          stats.refused.Load(),
		InvalidMessages:  stats.invalid.Load(),
		LargeMessages:    stats.tooLarge.Load(),
		SlowMessages:     stats.tooSlow.Load(),
		UnstoredMessages: stats.noMemory.Load(),
		Evicted:          stats.evicted.Load(),
		Cut:              stats.cut.Load(),
		Pauses:           stats.pauses.Load(),
		MemoryWaits:      stats.memoryWaits.Load(),
		FarAhead:         stats.farAhead.Load(),
		Left:             stats.left.Load(),
		ParseTime:        stats.parse.total(),
		Busiest:          s.uses.takeBusiest(),
	}
}
