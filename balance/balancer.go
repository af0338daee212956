package balance

import (
	"errors"
	"maps"
	"math"
	"slices"
)

// The reasons for which Handle does not take an event.
var (
	ErrDuplicateRequest = errors.New("the ID is in use")
	ErrUnknownClass     = errors.New("unknown class")
	ErrUnknownAttempt   = errors.New("not in flight")
)

// Balancer takes the decisions of one sidecar. It is not safe for concurrent use. Each concern has a type of
// its own that owns its state; the methods of Balancer are what needs more than one of them.
type Balancer struct {
	cfg              Config
	longestObjective float64 // of all classes
	random           randomSource
	now              float64
	shutdownAt       float64  // when all requests must have been answered
	actions          []Action // of the present event
	stats            Stats    // the counts only

	endpoints    []*endpoint // listed ones, in order of ID
	endpointByID map[EndpointID]*endpoint
	requests     map[RequestID]*request

	requestRate  rateMeter
	demand       demandTracker
	latency      latencyTracker
	shedder      loadShedder
	concurrency  concurrencyLimiter
	capacity     capacityModel
	subsets      subsetRing
	slowStart    slowStart
	healthChecks healthChecker
	retryBudget  retryBudget
	polls        pollSchedule
	gossip       gossipState
}

// New returns a balancer with the given settings, of which unusable values are replaced by defaults. Start
// begins its life.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	longestObjective := cfg.longestObjective()
	return &Balancer{
		cfg:              cfg,
		longestObjective: longestObjective,
		random:           randomSource{state: cfg.Seed},
		shutdownAt:       math.Inf(1),
		endpointByID:     map[EndpointID]*endpoint{},
		requests:         map[RequestID]*request{},
		requestRate:      newRateMeter(longestObjective),
		demand:           newDemandTracker(&cfg),
		latency:          latencyTracker{baseline: initialBaseline},
		shedder:          newLoadShedder(longestObjective),
		concurrency:      newConcurrencyLimiter(),
		capacity:         newCapacityModel(),
		subsets:          newSubsetRing(&cfg),
		slowStart:        newSlowStart(&cfg, longestObjective),
		healthChecks:     healthChecker{busyFraction: 1},
		retryBudget:      retryBudget{tokens: retryBudgetBurst / 2},
		polls:            newPollSchedule(&cfg),
		gossip:           newGossipState(),
	}
}

// Start begins the balancer's life. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now = now
	b.requestRate.startedAt = now
	b.shedder.responseRate.startedAt = now
	b.slowStart.responsesPerWeight.startedAt = now
	b.concurrency.start(now)
	b.actions = b.actions[:0]
	if b.cfg.Subscribe {
		b.schedulePoll(b.polls.delayAtStart(now))
	}
	b.scheduleGossip()
	return b.actions
}

// Handle takes one event and returns what to do. The actions are valid until the next call. An error wraps
// one of the Err values above and means that the event is impossible; the balancer is unchanged then.
func (b *Balancer) Handle(now float64, event Event) ([]Action, error) {
	if now > b.now && !math.IsInf(now, 1) { // time never goes back
		b.now = now
	}
	b.actions = b.actions[:0]
	if err := b.dispatch(event); err != nil {
		return nil, err
	}
	return b.actions, nil
}

func (b *Balancer) dispatch(event Event) error {
	switch event := event.(type) {
	case Request:
		return b.handleRequest(event)
	case AttemptResult:
		return b.handleAttemptResult(event)
	case ResponseStarted:
		b.handleResponseStarted(event)
	case ClientCanceled:
		b.handleClientCanceled(event)
	case Timer:
		b.handleTimer(event)
	case EndpointUpdate:
		b.handleEndpointUpdate(event)
	case HealthCheckResult:
		b.handleHealthCheckResult(event)
	case GossipMessage:
		b.handleGossip(event)
	case Shutdown:
		b.handleShutdown(event)
	}
	return nil
}

// The tokens of timers that belong to no request; a request's timer has its ID, below 2^52, for a token.
const (
	pollTimer   = 1 << 60
	gossipTimer = pollTimer + 1
)

func (b *Balancer) handleTimer(event Timer) {
	switch event.Token {
	case pollTimer:
		b.handlePollTimer()
	case gossipTimer:
		b.sendGossip()
	default:
		b.handleRequestTimer(RequestID(event.Token))
	}
}

// handleShutdown brings the end of each request's time forward to the end of the process.
func (b *Balancer) handleShutdown(event Shutdown) {
	b.shutdownAt = b.now + clampNonNegative(event.Timeout, math.MaxFloat64)
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		r.deadline = math.Min(r.deadline, b.shutdownAt)
		if !r.closed && !r.streaming {
			b.scheduleWake(r)
		}
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
