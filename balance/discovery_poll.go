package balance

import "math"

const (
	// notificationDeadline is the time in ms within which a sidecar must know a change of the endpoint
	// list, counted from when discovery has the change and can be reached. The sidecar counts as notified
	// after this time.
	notificationDeadline = 6000

	// sourceChangeDeadline is the time in ms within which a sidecar must know all changes of the endpoint
	// list after the address of discovery has changed.
	sourceChangeDeadline = 4000

	// discoveryResponseTime is the part of these deadlines, in ms, that is reserved for discovery's response:
	// the call to discovery must start at least this long before the deadline ends. Discovery responds to a
	// call or fails it within this time.
	discoveryResponseTime = 3000

	// stallDetectionTime is the part of notificationDeadline, in ms, that passes before a sidecar notices
	// that its watch of the endpoint list has stalled. The time left for the next call to discovery is
	// shorter by this part.
	stallDetectionTime = 2500

	// maxDiscoveryCallTime is the longest time in ms for which discovery works on one call. Discovery
	// handles the calls of all sidecars one after another, so calls of n sidecars take up to n times as
	// long.
	maxDiscoveryCallTime = 60

	// minPollBackoff is the shortest span, in ms, from which the random delay of the next call to discovery
	// is drawn after a failed call; Config.PollInterval/2 bounds every span. The span doubles with each
	// further consecutive failure, within the time that notificationDeadline leaves. For a local discovery
	// agent, minPollBackoff is the longest span, and the span does not double.
	minPollBackoff = 500

	// maxBackoffDoublings is the maximum number of doublings, one for each consecutive failed call to
	// discovery, of the backoff before the next call and of the time after which a call is overdue.
	maxBackoffDoublings = 4

	// minOverdueTime is the shortest time in ms without a response after which a call to discovery is
	// overdue. The call may have been lost, so another call is made beside it. The time doubles with each
	// consecutive failed or overdue call, up to maxOverdueTime.
	minOverdueTime = 1200

	// maxOverdueTime is the longest time in ms without a response after which a call to discovery is overdue.
	// If the call was lost, there is still time for another one and its response before
	// notificationDeadline.
	maxOverdueTime = notificationDeadline - discoveryResponseTime - minPollBackoff

	// maxCallDuration is an upper bound, in ms, on the time for which a call brings no message before it
	// fails.
	maxCallDuration = 7000

	// minAgentBackoff is the lower bound, in ms, on the span of the delays after a failed call to a local
	// discovery agent. The delay before the next call is random, from 0 to the span, so it can be shorter
	// than minAgentBackoff. The span is Config.DrainGrace/agentPollsPerDrainGrace, but at least
	// minAgentBackoff and at most minPollBackoff; Config.PollInterval/2 limits it further.
	minAgentBackoff = 20

	// agentPollsPerDrainGrace is the minimum number of calls to a local discovery agent within
	// Config.DrainGrace while calls fail: the delay after a failed call is at most
	// Config.DrainGrace/agentPollsPerDrainGrace, or minAgentBackoff if the latter is longer.
	agentPollsPerDrainGrace = 4
)

// pollSchedule decides when to call discovery. All sidecars share one discovery service, which handles
// calls one after another. Calls that sidecars make at the same time delay each other, time out, and
// without random delays would be repeated at the same time.
type pollSchedule struct {
	peerCount    int     // number of sidecars, this one included
	localAgent   bool    // discovery is an agent that serves this sidecar only
	drainGrace   float64 // Config.DrainGrace, in ms
	pollInterval float64 // Config.PollInterval, in ms; 0 if not given
	seed         uint64

	failures       int     // consecutive failed or overdue calls
	watching       bool    // the last call to discovery is neither failed nor overdue nor stalled
	callStartedAt  float64 // start of the pending call, in ms; +Inf after a response
	sourceDeadline float64 // end of sourceChangeDeadline after the last change of address; -Inf before
}

func newPollSchedule(cfg *Config) pollSchedule {
	return pollSchedule{
		peerCount:     cfg.PeerCount,
		localAgent:    cfg.LocalAgent,
		drainGrace:    cfg.DrainGrace,
		pollInterval:  cfg.PollInterval,
		seed:          cfg.Seed,
		callStartedAt: math.Inf(1),

		sourceDeadline: math.Inf(-1),
	}
}

// startCall records the start of a call and returns the time without a response after which the call is
// overdue, in ms. The time grows after failures, because discovery may only be slow.
func (p *pollSchedule) startCall(now float64) (overdueAfter float64) {
	p.watching = true
	p.callStartedAt = now
	wait := math.Max(minOverdueTime, p.fleetCallTime()) * backoffFactor(p.failures, maxBackoffDoublings)
	return math.Min(wait, maxOverdueTime)
}

// recordOpened records that discovery has begun a response, so that no further call is needed.
func (p *pollSchedule) recordOpened() { p.watching = true }

// changeSource records that discovery has another address. Failures at the earlier address do not count.
func (p *pollSchedule) changeSource(now float64) {
	p.failures = 0
	p.sourceDeadline = now + sourceChangeDeadline
}

// recordSuccess records that discovery sent an endpoint list or a change of it.
func (p *pollSchedule) recordSuccess() {
	p.failures = 0
	p.callStartedAt = math.Inf(1)
}

// delayAtStart returns the delay of the first call, in ms. The delay is random, because all sidecars may have
// been started at the same time.
func (p *pollSchedule) delayAtStart(now float64) float64 {
	return p.jitter(math.Min(p.fleetCallTime(), p.remainingTime(now, 0)))
}

// delayAfterFailure records a failed or overdue call and returns the delay of the next call, in ms. Calls of
// all sidecars fail together, so the backoff is long enough for discovery to answer all of them.
func (p *pollSchedule) delayAfterFailure(now float64) float64 {
	p.watching = false
	p.failures++
	if p.localAgent {
		return p.jitter(clamp(p.drainGrace/agentPollsPerDrainGrace, minAgentBackoff, minPollBackoff))
	}
	backoff := math.Max(minPollBackoff, p.fleetCallTime()) * backoffFactor(p.failures-1, maxBackoffDoublings)
	return p.jitter(math.Min(p.remainingTime(now, 0), backoff))
}

// delayAfterStall records that the watch has stalled and returns the delay of the next call, in ms. The time
// that it took to notice the stall and the time for discovery's response count towards the notification
// deadline of missed changes.
func (p *pollSchedule) delayAfterStall(now float64) float64 {
	p.watching = false
	return p.jitter(math.Min(p.fleetCallTime(), p.remainingTime(now, stallDetectionTime)))
}

// remainingTime returns the time in ms within which the next call must start to meet the notification
// deadline, and the deadline after a change of address. The given time of the notification deadline has
// elapsed already, or the duration of the failed call if the call took longer: discovery may have been
// reachable again since the call started. A call that started more than maxCallDuration ago is ignored, as it
// must have been answered.
func (p *pollSchedule) remainingTime(now, elapsed float64) float64 {
	if callDuration := now - p.callStartedAt; callDuration < maxCallDuration {
		elapsed = math.Max(elapsed, callDuration)
	}
	remaining := notificationDeadline - discoveryResponseTime - elapsed
	if now < p.sourceDeadline {
		remaining = math.Min(remaining, p.sourceDeadline-discoveryResponseTime-now)
	}
	return math.Max(minPollBackoff, remaining)
}

// fleetCallTime returns the time in ms that discovery needs to answer one call of each sidecar. It is 0 for
// a local agent, which serves this sidecar only.
func (p *pollSchedule) fleetCallTime() float64 {
	if p.localAgent {
		return 0
	}
	return maxDiscoveryCallTime * float64(p.peerCount)
}

// jitter returns a random delay from 0 to the given span, both in ms. The span is limited to half of the poll
// interval, because a sidecar that has not polled for an interval counts as notified of all changes. The
// random number comes from a separate source, so that calls to discovery do not influence how requests are
// routed.
func (p *pollSchedule) jitter(span float64) float64 {
	if p.pollInterval > 0 {
		span = math.Min(span, p.pollInterval/2)
	}
	random := randomSource{state: p.seed ^ uint64(pollTimer+p.failures)}
	return span * random.float64()
}

// schedulePoll sets the timer for the next call to discovery.
func (b *Balancer) schedulePoll(delay float64) {
	b.emit(Action{Kind: SetTimer, Token: pollTimer, Delay: delay})
}

// poll starts a watch of the endpoint list. A watch transfers changes only, which cost less than whole
// lists.
func (b *Balancer) poll() {
	b.emit(Action{Kind: Watch, Delay: b.pollSchedule.startCall(b.now)})
}

// handlePollTimer calls discovery, unless the address of discovery has changed since the timer was set, as
// discovery was called at the change.
func (b *Balancer) handlePollTimer() {
	if !b.pollSchedule.watching {
		b.poll()
	}
}
