package balance

import "math"

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The idempotency of a class of requests.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // endpoints drop repeats of a key, within a scope and a window
	NonIdempotent                        // must never run twice
)

// DedupScope says which endpoints recognize a repeated idempotency key.
type DedupScope uint8

// The scopes of an idempotency key.
const (
	DedupAll  DedupScope = iota // every endpoint
	DedupZone                   // those of the zone in which it was first seen
	DedupCell                   // those of the cell in which it was first seen
)

// Class describes one class of requests.
type Class struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      float64 // how long a key is remembered, from the first attempt that may have run
	LatencyObjective float64 // a response within this has its full value
	ObjectivePerWork float64 // the objective grows by this multiple of the request's own work
	Deadline         float64 // the client's longest wait over all its retries
	PriorityWeight   float64 // the value of a response
	LateWeight       float64 // the fraction of it that is left after the objective
	Stream           bool
}

// Tenant is one customer of the service.
type Tenant struct {
	QuotaRate  float64 // requests per second within its quota, over all sidecars
	QuotaShare float64 // its fraction of the service
}

// ReportSource says how load reports reach a sidecar.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone        ReportSource = iota
	ReportPiggyback                // in responses
	ReportHealthCheck              // in the results of health checks
)

// ReportField is one value of a load report.
type ReportField uint8

// The fields of load reports; FieldUnknown is skipped.
const (
	FieldUnknown   ReportField = iota
	FieldInFlight              // requests being handled
	FieldQueue                 // requests waiting
	FieldUtil                  // fraction of CPU in use
	FieldLatency               // recent service time
	FieldRate                  // requests served per second
	FieldErrorRate             // errors per second
)

// Config holds the settings that a sidecar starts with.
type Config struct {
	Seed            uint64
	PeerIndex       int // this sidecar's place among all sidecars
	PeerCount       int // how many sidecars there are
	Zone            int
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // the fraction of its value that a request beyond its tenant's quota has
	BatchInterval   float64 // the least time between two batches of events

	Subscribe    bool          // the endpoint list must be polled for or watched
	LocalAgent   bool          // discovery is this sidecar's own agent: changes count as notified at once
	ReportSource ReportSource  // how load reports come
	ReportFields []ReportField // what they hold, in order

	ClientsMarkRetries bool
	MaxAttempts        int
	Hedging            bool    // two attempts of a request may be in flight together
	CancelAttempts     bool    // attempts may be canceled
	HealthChecks       bool    // endpoints may be health checked
	Gossip             bool    // sidecars may send gossip to each other
	RetryAfter         bool    // rejections carry Retry-After
	MaxRetryAfter      float64 // the longest Retry-After that a client obeys
	ConnectTimeout     float64

	DrainGrace        float64 // attempts at a draining or removed endpoint must stop within this
	SlowStartFraction float64 // an endpoint starts with at least this fraction of its capacity
	SlowStartDuration float64 // and has all of it after this
	OverloadFactor    float64 // an endpoint that warms up fails when sent this multiple of its capacity
	OverloadWindow    float64 // for this long
	PollInterval      float64 // without a watch the endpoint list must be polled this often
	ResponseSlack     float64 // a response this long after the client's deadline still counts

	Goal      Goal
	Penalties Penalties
}

// Goal weighs the parts of the service level; load is shed by it.
type Goal struct {
	Overall     float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Penalties lower the service level, each per unit of its own.
type Penalties struct {
	CrossZone   float64
	Waste       float64
	Handshake   float64
	HealthCheck float64
	Gossip      float64
	LateFailure float64
}

// defaultDeadline is that of a class with neither a deadline nor an objective.
const defaultDeadline = 1000 // ms

// withDefaults returns usable settings. Every number that is negative, infinite or not a number counts as not
// given. Defaults: the objective is the deadline and the other way round; an idempotency key is remembered
// forever; one attempt; one sidecar; an endpoint starts with all its capacity; the goal is the overall level.
func (c Config) withDefaults() Config {
	c.Classes = append([]Class(nil), c.Classes...)
	for i := range c.Classes {
		c.Classes[i].setDefaults()
	}
	c.Tenants = append([]Tenant(nil), c.Tenants...)
	for i := range c.Tenants {
		sanitize(&c.Tenants[i].QuotaRate, &c.Tenants[i].QuotaShare)
	}
	sanitize(&c.OverQuotaWeight, &c.BatchInterval, &c.MaxRetryAfter, &c.ConnectTimeout, &c.DrainGrace,
		&c.SlowStartDuration, &c.OverloadFactor, &c.OverloadWindow, &c.PollInterval, &c.ResponseSlack)
	sanitize(&c.Goal.Overall, &c.Goal.WorstWindow, &c.Goal.WorstClass, &c.Goal.WorstTenant)
	sanitize(&c.Penalties.CrossZone, &c.Penalties.Waste, &c.Penalties.Handshake, &c.Penalties.HealthCheck,
		&c.Penalties.Gossip, &c.Penalties.LateFailure)
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		c.SlowStartFraction = 1
	}
	if c.Goal == (Goal{}) {
		c.Goal.Overall = 1
	}
	c.PeerCount = max(c.PeerCount, 1)
	c.PeerIndex = max(c.PeerIndex, 0)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	return c
}

func (c *Class) setDefaults() {
	sanitize(&c.LatencyObjective, &c.ObjectivePerWork, &c.Deadline, &c.PriorityWeight, &c.LateWeight)
	switch {
	case c.Deadline == 0 && c.LatencyObjective == 0:
		c.Deadline, c.LatencyObjective = defaultDeadline, defaultDeadline
	case c.Deadline == 0:
		c.Deadline = c.LatencyObjective
	case c.LatencyObjective == 0:
		c.LatencyObjective = c.Deadline
	}
	if !(c.DedupWindow >= 0) {
		c.DedupWindow = math.Inf(1)
	}
}

// longestObjective returns the longest latency objective of all classes, and 1 at the least.
func (c *Config) longestObjective() float64 {
	longest := 1.0
	for i := range c.Classes {
		longest = math.Max(longest, c.Classes[i].LatencyObjective)
	}
	return longest
}
