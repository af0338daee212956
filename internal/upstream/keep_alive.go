package upstream

import (
	"time"
)

const (
	idleFraction    = 0.8 // of the time after which an endpoint closes an idle connection: we close it first
	minLearnedIdle  = 20 * time.Millisecond
	relearnInterval = 10 * time.Second
)

// keepAliveEstimator learns how long an endpoint's idle connections can be used. Some endpoints forget theirs far
// sooner than the settings say, and show it only by a reset of the next request, which may not always be sent again.
type keepAliveEstimator struct {
	suspectIdle time.Duration // idle time of the last connection that was lost; 0: a longer one has worked since
	maxIdle     time.Duration // none is used that was idle for longer; 0: as the settings say
	learnedAt   time.Time
}

// recordLost takes in that a connection was lost after some idle time. Connections are lost by chance too: only two in
// a row, with none that idled longer working between them, show a limit. One lost sooner than minLearnedIdle was hardly
// lost for being idle.
func (k *keepAliveEstimator) recordLost(idle time.Duration) {
	switch {
	case idle < minLearnedIdle:
	case k.suspectIdle == 0:
		k.suspectIdle = idle
	default:
		shorter := min(idle, k.suspectIdle)
		k.maxIdle = max(minLearnedIdle, time.Duration(idleFraction*float64(shorter)))
		k.learnedAt = time.Now()
		k.suspectIdle = 0
	}
}

// recordReused takes in that a connection worked after some idle time.
func (k *keepAliveEstimator) recordReused(idle time.Duration) {
	if idle >= k.suspectIdle {
		k.suspectIdle = 0
	}
}

// idleLimit is how long a connection may have been idle to be used. What was learned is tried anew from time to time.
func (k *keepAliveEstimator) idleLimit(configured time.Duration) time.Duration {
	if k.maxIdle > 0 && time.Since(k.learnedAt) < relearnInterval {
		return min(k.maxIdle, configured)
	}
	return configured
}
