package balance

import (
	"errors"
	"maps"
	"math"
	"slices"
)

// The errors that Handle returns for an invalid event.
var (
	// ErrDuplicateRequest is wrapped by the error that Handle returns for a Request event whose ID belongs to
	// a request that has not ended: it has no final response yet, or one of its attempts is in flight.
	ErrDuplicateRequest = errors.New("the ID is in use")
	// ErrUnknownClass is wrapped by the error that Handle returns for a Request event whose Class is not an
	// index of Config.Classes.
	ErrUnknownClass = errors.New("unknown class")
	// ErrUnknownAttempt is wrapped by the error that Handle returns for an AttemptResult event whose attempt
	// is not in flight: the request is unknown or has ended, no attempt has this number, or the attempt has
	// already ended.
	ErrUnknownAttempt = errors.New("not in flight")
)

// Balancer makes the decisions of one sidecar. It is not safe for concurrent use. Each concern, such as load
// shedding or retries, has a type that owns its state; logic that needs several of these types is in methods
// of Balancer.
type Balancer struct {
	cfg              Config
	longestObjective float64 // longest latency objective of all classes, ms
	random           randomSource
	now              float64  // time of the latest event, ms
	shutdownAt       float64  // instant by which all requests must be answered, ms; +Inf before a Shutdown
	actions          []Action // actions that answer the current event
	stats            Stats    // only the counts; Stats fills in the other fields

	endpoints    []*endpoint // listed endpoints in order of ID
	endpointByID map[EndpointID]*endpoint
	listedAt     float64 // when discovery stated the last entries, in ms; -Inf if unknown
	requests     map[RequestID]*request

	requestRate  rateMeter
	demand       demandTracker
	latency      latencyTracker
	shedder      loadShedder
	concurrency  concurrencyLimiter
	capacity     capacityModel
	subsets      subsetRings
	slowStart    slowStart
	healthChecks healthChecker
	retryBudget  retryBudget
	pollSchedule pollSchedule
	gossip       gossipState
}

// New returns a balancer with the given settings, in which unusable values are replaced with defaults. The
// caller must call Start before Handle.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	longestObjective := cfg.longestObjective()
	return &Balancer{
		cfg:              cfg,
		longestObjective: longestObjective,
		random:           randomSource{state: cfg.Seed},
		shutdownAt:       math.Inf(1),
		endpointByID:     map[EndpointID]*endpoint{},
		listedAt:         math.Inf(-1),
		requests:         map[RequestID]*request{},
		requestRate:      newRateMeter(longestObjective),
		demand:           newDemandTracker(&cfg),
		latency:          latencyTracker{baseline: initialBaseline},
		shedder:          newLoadShedder(longestObjective),
		concurrency:      newConcurrencyLimiter(),
		capacity:         newCapacityModel(),
		subsets:          newSubsetRings(&cfg),
		slowStart:        newSlowStart(&cfg, longestObjective),
		healthChecks:     healthChecker{busyFraction: 1},
		retryBudget:      retryBudget{tokens: retryBudgetBurst / 2},
		pollSchedule:     newPollSchedule(&cfg),
		gossip:           newGossipState(),
	}
}

// Start starts the balancer at the instant now, in ms, and returns the first actions. The actions are valid
// until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now = now
	b.requestRate.startedAt = now
	b.shedder.responseRate.startedAt = now
	b.slowStart.responsesPerWeight.startedAt = now
	b.concurrency.start(now)
	b.actions = b.actions[:0]
	if b.cfg.Subscribe {
		b.schedulePoll(b.pollSchedule.delayAtStart(now))
	}
	b.scheduleGossip()
	return b.actions
}

// Handle processes one event that happened at the instant now, in ms, and returns the actions that the caller
// must carry out. The actions are valid until the next call. For an invalid event Handle returns an error
// that wraps ErrDuplicateRequest, ErrUnknownClass or ErrUnknownAttempt, and the event has no effect.
func (b *Balancer) Handle(now float64, event Event) ([]Action, error) {
	if now > b.now && !math.IsInf(now, 1) { // the balancer's time never goes back
		b.now = now
	}
	b.actions = b.actions[:0]
	if err := b.dispatch(event); err != nil {
		return nil, err
	}
	return b.actions, nil
}

// dispatch calls the handler for the type of the event. An event of an unknown type is ignored.
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

// The tokens of timers that belong to no request. They differ from the tokens of the requests' timers, which
// are the IDs of the requests and below 2^52.
const (
	pollTimer   = 1 << 60       // for the next call to discovery
	gossipTimer = pollTimer + 1 // for this sidecar's next gossip message
)

// handleTimer calls the handler for the timer that is due. A token other than pollTimer and gossipTimer is
// the ID of the request that the timer belongs to.
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

// handleShutdown limits the deadlines of all open requests to the end of the process.
func (b *Balancer) handleShutdown(event Shutdown) {
	b.shutdownAt = b.now + clampNonNegative(event.Timeout, math.MaxFloat64)
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[id]
		r.deadline = math.Min(r.deadline, b.shutdownAt)
		if !r.closed && !r.streaming {
			b.scheduleTimer(r)
		}
	}
}

// emit adds an action to the actions that Start or Handle returns.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }
