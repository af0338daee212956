package balance

import "math"

const (
	notificationDeadline  = 6000 // ms after which a change counts as notified once discovery can be reached
	discoveryResponseTime = 1000 // the part of it kept for discovery's response
	stallDetectionTime    = 2500 // the part of it in which a stalled watch is noticed
	discoveryCallTime     = 60   // ms of discovery's time that a call takes, at the most that was seen
	minPollBackoff        = 500  // ms within which a failed call is made again; doubles with each failure
	maxBackoffDoublings   = 4
	minWatchTimeout       = 1200 // ms to wait for a response at first, so that time is left for another call
	maxWatchTimeout       = 3500 // ms at most: discovery itself gives a call up after 3 s
	minAgentBackoff       = 20   // ms between two calls to a local agent
	agentPollsPerGrace    = 4    // calls to it within the drain grace, at the least
)

// pollSchedule decides when to call discovery. All sidecars share it, and it handles calls in turn: calls
// made in step wait for each other, fail, and are made in step again.
type pollSchedule struct {
	peerCount  int
	localAgent bool
	drainGrace float64
	interval   float64
	seed       uint64

	failures int     // in a row
	watching bool    // a watch is open, or about to be
	polledAt float64 // when the pending call was made; +Inf once it was answered
}

func newPollSchedule(cfg *Config) pollSchedule {
	return pollSchedule{
		peerCount:  cfg.PeerCount,
		localAgent: cfg.LocalAgent,
		drainGrace: cfg.DrainGrace,
		interval:   cfg.PollInterval,
		seed:       cfg.Seed,
		polledAt:   math.Inf(1),
	}
}

// began takes note of a call and returns how long to wait for its response: longer after failures, as
// discovery may just be slow.
func (p *pollSchedule) began(now float64) (timeout float64) {
	p.watching = true
	p.polledAt = now
	wait := math.Max(minWatchTimeout, p.spread()) * doublings(p.failures, maxBackoffDoublings)
	return math.Min(wait, maxWatchTimeout)
}

func (p *pollSchedule) succeeded() {
	p.failures = 0
	p.polledAt = math.Inf(1)
}

// delayAtStart is when to make the first call: all sidecars may have been started together.
func (p *pollSchedule) delayAtStart(now float64) float64 {
	return p.jitter(math.Min(p.spread(), p.timeLeft(now, 0)))
}

// delayAfterFailure is when to call again after a failure: a backoff in which discovery can answer all
// sidecars, as they fail together.
func (p *pollSchedule) delayAfterFailure(now float64) float64 {
	p.watching = false
	p.failures++
	if p.localAgent {
		return p.jitter(clamp(p.drainGrace/agentPollsPerGrace, minAgentBackoff, minPollBackoff))
	}
	backoff := math.Max(minPollBackoff, p.spread()) * doublings(p.failures-1, maxBackoffDoublings)
	return p.jitter(math.Min(p.timeLeft(now, 0), backoff))
}

// delayAfterStall is when to call again after a stalled watch: what it misses counts as notified soon, and
// some of that time is needed for the call.
func (p *pollSchedule) delayAfterStall(now float64) float64 {
	p.watching = false
	return p.jitter(math.Min(p.spread(), p.timeLeft(now, stallDetectionTime)))
}

// timeLeft is the time for the next call, after so much has passed. Discovery may be back since the failed
// call began, and what changes then counts as notified a while later. A call that took longer than any was
// answered.
func (p *pollSchedule) timeLeft(now, passed float64) float64 {
	if call := now - p.polledAt; call < 2*maxWatchTimeout {
		passed = math.Max(passed, call)
	}
	return math.Max(minPollBackoff, notificationDeadline-discoveryResponseTime-passed)
}

// spread is the time in which discovery can answer all sidecars. A local agent answers just one.
func (p *pollSchedule) spread() float64 {
	if p.localAgent {
		return 0
	}
	return discoveryCallTime * float64(p.peerCount)
}

// jitter returns a random delay within a span, which is at most half of the poll interval: one that has not
// polled for long counts as notified of what it never heard. Its random numbers are its own, so that requests
// go the same ways whenever discovery is called.
func (p *pollSchedule) jitter(span float64) float64 {
	if p.interval > 0 {
		span = math.Min(span, p.interval/2)
	}
	random := randomSource{state: p.seed ^ uint64(pollTimer+p.failures)}
	return span * random.float64()
}

func (b *Balancer) schedulePoll(delay float64) {
	b.emit(Action{Kind: SetTimer, Token: pollTimer, Delay: delay})
}

// poll watches the endpoint list: changes cost less than whole lists.
func (b *Balancer) poll() {
	b.emit(Action{Kind: Watch, Delay: b.polls.began(b.now)})
}

func (b *Balancer) handlePollTimer() {
	if !b.polls.watching { // else its source changed in between
		b.poll()
	}
}
