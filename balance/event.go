package balance

// EndpointID identifies an endpoint. Its value has no further meaning to the balancer.
type EndpointID uint64

// RequestID identifies a request of a client. When a client retries, its retry is a new request with its own
// ID.
type RequestID uint64

// Lifecycle is the state of an endpoint's process as discovery reports it.
type Lifecycle uint8

// The lifecycle states of an endpoint.
const (
	// Ready is the lifecycle of an endpoint that accepts requests.
	Ready Lifecycle = iota
	// Draining is the lifecycle of an endpoint that finishes the requests it has and must get no new ones.
	Draining
	// Removed is the lifecycle of an endpoint that has left the endpoint list and must get no requests.
	Removed
)

// Endpoint is one entry of the endpoint list, which discovery provides.
type Endpoint struct {
	// ID identifies the endpoint and is the same at every sidecar.
	ID EndpointID
	// Lifecycle is the state of the endpoint. Only a Ready endpoint gets attempts.
	Lifecycle Lifecycle
	// StartedAt is the instant, in ms, at which the endpoint's process started, or 0 if the process started
	// long ago. An entry with another StartedAt than the endpoint's previous entry reports a restart. After a
	// start or a restart the endpoint warms up; see Config.SlowStartDuration.
	StartedAt float64
	// NominalCapacity is the capacity of the endpoint relative to an ordinary endpoint, which has 1. A value
	// that is not positive and finite counts as 1.
	NominalCapacity float64
	// Cell is the number of the cell that the endpoint belongs to. For requests of a class with DedupCell,
	// endpoints of one cell recognize each other's idempotency keys.
	Cell int
	// Zone is the number of the zone that the endpoint runs in, in the same numbering as Config.Zone.
	Zone int
	// MachineType is the number of the machine type that the endpoint runs on. The balancer learns one
	// capacity factor for all endpoints of a machine type.
	MachineType int
}

// Event is anything that the caller reports to a Balancer. The event types of this package implement it.
type Event interface{ event() }

// UpdateKind tells what an EndpointUpdate contains.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	// Snapshot is the kind of an EndpointUpdate with the whole endpoint list. Endpoints that the list does
	// not contain are removed.
	Snapshot UpdateKind = iota
	// CachedSnapshot is the kind of an EndpointUpdate with the whole endpoint list from an earlier time, for
	// example from a cache. The balancer applies the list like a Snapshot.
	CachedSnapshot
	// Delta is the kind of an EndpointUpdate with only the entries of the endpoint list that have changed. An
	// entry with the lifecycle Removed removes its endpoint.
	Delta
	// WatchFailed is the kind of an EndpointUpdate without entries that reports that a call to discovery
	// failed or a watch of the endpoint list ended. The balancer calls discovery again after a backoff.
	WatchFailed
	// WatchStalled is the kind of an EndpointUpdate without entries that reports that a watch of the endpoint
	// list brought no message for too long. The balancer calls discovery again after a random delay.
	WatchStalled
	// SourceChanged is the kind of an EndpointUpdate without entries that reports that discovery has another
	// address. The balancer opens a watch at the new address at once.
	SourceChanged
	// WatchOverdue is the kind of an EndpointUpdate without entries that reports that discovery has not begun
	// its response to a Watch action in time. The call stays open, and no failure of the call is reported
	// afterwards. The balancer calls discovery again after a backoff.
	WatchOverdue
	// WatchOpened is the kind of an EndpointUpdate without entries that reports that discovery has begun its
	// response to a Watch action, perhaps to one that was overdue. The balancer does not call discovery again
	// until the watch ends.
	WatchOpened
)

// EndpointUpdate reports the endpoint list, a part of the list, or a problem with the watch that provides the
// list.
type EndpointUpdate struct {
	// Kind tells what the update contains.
	Kind UpdateKind
	// Endpoints holds the entries of the endpoint list that a Snapshot, CachedSnapshot or Delta brings. The
	// balancer does not keep the slice.
	Endpoints []Endpoint
}

// Request reports that a client's request has arrived. Unless the client disconnects before the response,
// each request must get exactly one final response: the response of an attempt, a rejection or an error.
type Request struct {
	// ID identifies the request. For an ID of a request that has not ended, Handle returns
	// ErrDuplicateRequest.
	ID RequestID
	// Class is the index of the request's class in Config.Classes. For any other value Handle returns
	// ErrUnknownClass.
	Class int
	// Tenant is the index of the request's tenant in Config.Tenants. Any other value means no tenant.
	Tenant int
	// WorkHint is the work in ms that the client expects of the request, or 0 if the work is not known.
	// WorkHint is a part of the event only; decisions do not use it.
	WorkHint float64
	// AffinityKey is a hash of the object that the request concerns, or 0 if the request names no object.
	// AffinityKey is a part of the event only; decisions do not use it.
	AffinityKey uint64
	// Timeout is the time in ms, from now, for which the client waits for the response. The balancer limits
	// Timeout to the Deadline of the request's class.
	Timeout float64
	// IsRetry reports whether the client marked the request as a retry. The balancer uses IsRetry only if
	// Config.ClientsMarkRetries is true.
	IsRetry bool
	// Mutates reports whether the request changes data at the endpoint. Mutates is a part of the event only;
	// decisions do not use it.
	Mutates bool
}

// Result is the outcome of an attempt or of a health check.
type Result uint8

// The results of attempts and health checks. Result.NotExecuted tells which results prove that the endpoint
// did not run an attempt.
const (
	// OK is the result of an attempt or health check that the endpoint served.
	OK Result = iota
	// ServerError is the result of an attempt or health check that the endpoint answered with an error. The
	// endpoint may have run the attempt.
	ServerError
	// Rejected is the result of an attempt or health check that the endpoint rejected before running it.
	Rejected
	// TimedOut is the result of an attempt or health check that got no response in time. The endpoint may
	// have run the attempt.
	TimedOut
	// ConnectFailed is the result of an attempt or health check for which no connection was made, or whose
	// connection broke before the request was written. The endpoint did not run the attempt.
	ConnectFailed
	// Reset is the result of an attempt or health check whose connection broke, or brought no valid response,
	// after the request was written. The endpoint may have run the attempt.
	Reset
	// Canceled is the result of an attempt or health check that the sidecar canceled. The endpoint may have
	// run the attempt.
	Canceled
	// NotSent is the result of an attempt or health check that the sidecar never sent to the endpoint, so the
	// endpoint did not run the attempt.
	NotSent
)

// ResultCount is the number of Result values, for arrays that are indexed by Result.
const ResultCount = int(NotSent) + 1

// resultNames holds the name of each result as it appears in logs, indexed by Result.
var resultNames = [ResultCount]string{
	"ok", "server_error", "rejected", "timed_out", "connect_failed", "reset", "canceled", "not_sent",
}

// String returns the name of the result as it appears in logs.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// NotExecuted reports whether the result proves that the endpoint did not run the attempt.
func (r Result) NotExecuted() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// AttemptResult reports the end of an attempt. Each attempt ends with exactly one AttemptResult. If Request
// and Attempt identify no attempt in flight, Handle returns ErrUnknownAttempt.
type AttemptResult struct {
	// Request is the ID of the request that the attempt belongs to.
	Request RequestID
	// Attempt is the number of the attempt. The attempts of a request are numbered from 0 in the order of
	// their StartAttempt actions.
	Attempt int
	// Endpoint is the endpoint that the attempt was sent to. The balancer does not read this field, because
	// it knows the endpoint of each attempt.
	Endpoint EndpointID
	// Result is the outcome of the attempt.
	Result Result
	// Latency is the time in ms from the start of the attempt to its end.
	Latency float64
	// DeadlineReached reports whether the attempt ended only because the client waits no longer. It is
	// implied by TimedOut.
	DeadlineReached bool
	// RequestClosed reports whether the request needs no response any more, because the request was answered
	// or its client has disconnected.
	RequestClosed bool
	// LoadReport holds the values of the load report in the endpoint's response, in the order of
	// Config.ReportFields, and is empty if there was no report. The balancer neither uses the
	// report nor keeps the slice.
	LoadReport []float32
}

// ResponseStarted reports that the first part of a streamed response has been passed on to the client. From
// then on the request has no deadline and is not retried. The balancer cancels the other attempts of the
// request if Config.CancelAttempts allows it.
type ResponseStarted struct {
	// Request is the ID of the request whose response is streamed.
	Request RequestID
	// Attempt is the number of the attempt that the response comes from. The attempts of a request are
	// numbered from 0 in the order of their StartAttempt actions.
	Attempt int
	// Endpoint is the endpoint that sends the response. The balancer does not read this field.
	Endpoint EndpointID
	// Latency is the time in ms from the start of the attempt to the start of the response. The balancer does
	// not use this latency.
	Latency float64
}

// ClientCanceled reports that the client of a request has disconnected, so that the request needs no
// response. The balancer cancels the attempts of the request in flight if Config.CancelAttempts allows it.
type ClientCanceled struct {
	// Request is the ID of the request whose client has disconnected. If the request has ended or is not
	// known, the event has no effect.
	Request RequestID
}

// Shutdown reports that the process ends soon. All requests must be answered before the end, including
// requests that arrive after this event.
type Shutdown struct {
	// Timeout is the time in ms, from this event, after which the process ends. The balancer limits the
	// deadlines of all requests to this end; a request whose response has not begun by then gets a rejection
	// or an error. A negative or NaN value counts as 0.
	Timeout float64
}

// Timer reports that a timer, which the balancer set with a SetTimer action, is due.
type Timer struct {
	// Token is the Action.Token of the SetTimer action that set the timer. It tells the balancer what to do
	// now: take the next step of a request, call discovery, or send gossip.
	Token uint64
}

// HealthCheckResult reports the end of a health check that a HealthCheck action started. An endpoint whose
// health check has any result other than OK is ejected.
type HealthCheckResult struct {
	// Endpoint is the endpoint that was checked.
	Endpoint EndpointID
	// Result is the outcome of the health check.
	Result Result
	// Latency is the time in ms from the start to the end of the health check. The balancer does not use this
	// latency.
	Latency float64
	// LoadReport holds the values of the endpoint's load report in the order of Config.ReportFields, and is
	// empty if there was no report. The balancer does not keep the slice.
	LoadReport []float32
}

// GossipMessage reports a gossip message from another sidecar. Invalid, old and duplicate messages are
// dropped; see Stats.GossipDropped.
type GossipMessage struct {
	// Sender is the peer index of the sidecar that sent the message; see Config.PeerIndex.
	Sender int
	// Data is the encoded message. The balancer does not keep the slice.
	Data []byte
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
