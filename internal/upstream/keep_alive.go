package upstream

import (
	"time"
)

const (
	// idleTimeoutFraction is the fraction of an endpoint's idle timeout for which the pool reuses an idle connection.
	// It is below 1 so that the pool closes an idle connection before the endpoint does.
	idleTimeoutFraction = 0.8
	// minLearnedIdleLimit is the shortest idle limit that a keepAliveEstimator learns. A connection that was lost
	// after a shorter idle time was hardly lost because it was idle.
	minLearnedIdleLimit = 20 * time.Millisecond
	// learnedLimitTTL is how long a learned idle limit applies. After that, longer idle times are tried again.
	learnedLimitTTL = 10 * time.Second
)

// keepAliveEstimator learns after how much idle time an endpoint drops its connections. Some endpoints drop them far
// sooner than the settings say, which shows only when the next request on the connection is reset, and not every such
// request may be retried.
type keepAliveEstimator struct {
	// candidateLimit is the idle time of the last lost connection. It is 0 if no connection was lost since a limit was
	// learned, or if a connection that had been idle for at least as long has worked since the loss.
	candidateLimit time.Duration
	learnedLimit   time.Duration // connections that were idle for longer are not reused; 0 if no limit was learned
	learnedAt      time.Time     // when learnedLimit was set
}

// recordLost records that a connection was lost when it was reused after some idle time. Because connections are also
// lost by chance, a limit is learned only from two losses in a row, without a connection working in between that had
// been idle for at least as long as the first lost one. Losses after less than minLearnedIdleLimit are ignored.
func (k *keepAliveEstimator) recordLost(idleTime time.Duration) {
	switch {
	case idleTime < minLearnedIdleLimit:
	case k.candidateLimit == 0:
		k.candidateLimit = idleTime
	default:
		shorter := min(idleTime, k.candidateLimit)
		k.learnedLimit = max(minLearnedIdleLimit, time.Duration(idleTimeoutFraction*float64(shorter)))
		k.learnedAt = time.Now()
		k.candidateLimit = 0
	}
}

// recordReused records that a connection still worked after some idle time.
func (k *keepAliveEstimator) recordReused(idleTime time.Duration) {
	if idleTime >= k.candidateLimit {
		k.candidateLimit = 0
	}
}

// idleLimit returns the longest idle time after which a connection may be reused: the configured limit, or a shorter
// learned limit until that expires.
func (k *keepAliveEstimator) idleLimit(configured time.Duration) time.Duration {
	if k.learnedLimit > 0 && time.Since(k.learnedAt) < learnedLimitTTL {
		return min(k.learnedLimit, configured)
	}
	return configured
}
