package balance

// This file is the interface of the module: settings and events in, actions out.
// It takes no decisions; those are all in balance.go. Times are milliseconds.
//
// What the caller owes: one clock for all events, which never goes back; events in the order in which they came
// about, from one goroutine at a time; the actions of each call carried out in their order before the next event
// is handed in; each timer brought back once when it is due; one Outcome for each Send. Slices in events are not
// kept; the actions returned are valid until the next call.

// ServerID names a server; it carries no meaning beyond identity.
type EndpointID uint64

// RequestID names a request; a client's later try has another.
type RequestID uint64

// Effect says whether a request may run more than once.
type Idempotency uint8

// The three effects a class of requests can have.
const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // servers of one group drop repeats within a window
	NonIdempotent                        // must never run twice
)

// Group says which servers recognise a repeat of a keyed request.
type DedupScope uint8

// The reach of a key.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      float64 // how long a group remembers a key, from the first send that may have run
	LatencyObjective float64 // an answer within this earns full worth
	ObjectivePerWork float64 // the aim grows by this multiple of the request's own work
	Deadline         float64 // the client's longest wait over all its tries
	PriorityWeight   float64
	LateWeight       float64 // fraction of Worth that an answer after the aim still earns
	Stream           bool
}

// Tenant is one customer of the service.
type Tenant struct {
	QuotaRate  float64 // requests a second within its share, over all sidecars
	QuotaShare float64 // its fraction of the service
}

// ReportVia says how load reports reach a sidecar.
type ReportSource uint8

// The ways of load reports.
const (
	ReportNone ReportSource = iota
	ReportPiggyback
	ReportHealthCheck
)

// Field is one figure of a load report.
type ReportField uint8

// The figures a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown   ReportField = iota
	FieldInFlight              // requests being handled
	FieldQueue                 // requests waiting
	FieldUtil                  // fraction of CPU in use
	FieldLatency               // recent service time
	FieldRate                  // requests served a second
	FieldErrorRate             // errors a second
)

// Config holds the settings that one sidecar starts with.
type Config struct {
	Seed                 uint64
	PeerIndex, PeerCount int // this sidecar's number, and how many there are
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	OverQuotaWeight      float64 // worth of a request beyond its tenant's share, as a fraction
	BatchInterval        float64 // least time between two batches of events

	Subscribe    bool          // the server list must be asked for
	LocalAgent   bool          // ... from an agent of this sidecar alone, whose news counts as told at once
	ReportSource ReportSource  // how load reports come
	ReportFields []ReportField // what they hold, in order

	ClientsMarkRetries bool // clients mark their later tries
	MaxAttempts        int
	Hedging            bool    // two attempts of a request may be in flight together
	CancelAttempts     bool    // attempts may be cancelled
	HealthChecks       bool    // servers may be probed
	Gossip             bool    // sidecars may message each other
	RetryAfter         bool    // clients are told how long to hold off
	MaxRetryAfter      float64 // the longest hold-off a client obeys
	ConnectTimeout     float64

	DrainGrace        float64 // sends to a draining or gone server must stop within this
	SlowStartFraction float64 // a server starts at this fraction of its capacity or more
	SlowStartDuration float64 // and is warm after this
	OverloadFactor    float64 // a cold server sent more than this multiple of its capacity ...
	OverloadWindow    float64 // ... for this long falls over
	PollInterval      float64 // without a subscription the list must be asked for this often
	ResponseSlack     float64 // an answer this long after the client's deadline still counts

	Goal      Goal
	Penalties Penalties
}

// Goal weighs the parts of the result; what is refused in overload goes by it.
type Goal struct{ Overall, WorstWindow, WorstClass, WorstTenant float64 }

// Prices are taken off the result, each per unit of its own.
type Penalties struct{ CrossZone, Waste, Handshake, HealthCheck, Gossip, LateFailure float64 }

// Stats tells, for logs, how many requests ended unserved and why, and how the balancer sees the load.
type Stats struct {
	PastObjective, Shed               int // not admitted: later tries past their aim, load beyond the fleet's
	RetriesExhausted                  int // given up after their attempts
	NotSent                           int // given up without any attempt
	BaseShedFraction, Overload        float64
	BaselineLatency, ShortTermLatency float64 // times of answers as a part of their aim
	ConcurrencyLimit                  float64 // concurrency limit, for each request that servers can hold by their sizes
	Ejected, WarmingUp                int     // servers
	GossipReceived, GossipDropped     int     // messages of other sidecars: taken in, and not
}

// State is what discovery knows of a server.
type Lifecycle uint8

// A server's states.
const (
	Ready Lifecycle = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Endpoint struct {
	ID                      EndpointID
	Lifecycle               Lifecycle
	StartedAt               float64 // 0: long ago
	NominalCapacity         float64 // relative size; 1 where nothing is known
	Cell, Zone, MachineType int
}

// Event is anything that a sidecar is told: one of the types below.
type Event interface{ event() }

// ListKind says how a server list is to be read.
type UpdateKind uint8

// The kinds of news from discovery.
const (
	Snapshot       UpdateKind = iota // everything there is
	CachedSnapshot                   // everything there was when last seen
	Delta                            // changed entries only
	WatchFailed                      // a call failed, or the subscription ended; nothing else changed
	WatchStalled                     // ... or nothing came on it for too long
	SourceChanged                    // the list is to be had elsewhere now; nothing else changed
)

// ServerList is news from discovery. Servers is not kept.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request; it is owed one final answer.
type Request struct {
	ID            RequestID
	Class, Tenant int
	WorkHint      float64 // expected work, 0 if unknown
	AffinityKey   uint64
	Timeout       float64 // time until the client gives this try up
	IsRetry       bool    // the client says that it tried before
	Mutates       bool
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NeverRan tells which of them prove that nothing ran.
const (
	OK Result = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Canceled
	NotSent
)

// String names the result, for logs.
func (r Result) String() string {
	names := [...]string{"served", "error", "full", "timed out", "connect failed", "reset", "cancelled", "moot"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// NeverRan reports whether the result proves that the attempt was not executed.
func (r Result) NotExecuted() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt; each attempt gets one.
type AttemptResult struct {
	Request       RequestID
	Attempt       int
	Endpoint      EndpointID
	Result        Result
	Latency       float64
	RequestClosed bool      // the request needs no answer (any more)
	LoadReport    []float32 // load report, empty if none; not kept
}

// Started says that a streamed answer has begun; the client owns the attempt now.
type ResponseStarted struct {
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Latency  float64
}

// HangUp says that the client is gone; no answer is owed.
type ClientCanceled struct{ Request RequestID }

// Stop says that the process ends: all requests, also those to come, must be answered within this time.
type Shutdown struct{ Timeout float64 }

// Timer is a timer set by SetTimer that came due.
type Timer struct{ Token uint64 }

// ProbeResult is what a probe found.
type HealthCheckResult struct {
	Endpoint   EndpointID
	Result     Result
	Latency    float64
	LoadReport []float32 // not kept
}

// Message is a message from another sidecar. Data is not kept.
type GossipMessage struct {
	Sender int
	Data   []byte
}

func (EndpointUpdate) event()    {}
func (Request) event()           {}
func (AttemptResult) event()     {}
func (ResponseStarted) event()   {}
func (ClientCanceled) event()    {}
func (Shutdown) event()          {}
func (Timer) event()             {}
func (HealthCheckResult) event() {}
func (GossipMessage) event()     {}

// ActionKind says what to do.
type ActionKind uint8

// The actions; the comment names the fields of Action that count.
const (
	StartAttempt  ActionKind = iota // Request, Server, At: the attempt is dropped then (0: at the client's deadline)
	Reject                          // Request, At: how long to hold off; a final answer: a retry does no harm
	Fail                            // Request; a final answer that promises nothing
	CancelAttempt                   // Request, Attempt
	SetTimer                        // Token, At: time from now
	HealthCheck                     // Server
	CloseIdle                       // Server
	SendGossip                      // Peer (-1: all), Data
	Log                             // Text
	Watch                           // subscribe to the server list, At: how long to wait for an answer
	Fetch                           // ask for the whole list once
)

// Action is one thing to do, in the order given.
type Action struct {
	Kind     ActionKind
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Delay    float64
	Token    uint64
	Peer     int
	Data     []byte
	Text     string
}
