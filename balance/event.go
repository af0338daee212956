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
	Ready    Lifecycle = iota // the endpoint accepts requests
	Draining                  // the endpoint finishes the requests it has and must get no new ones
	Removed                   // the endpoint has left the endpoint list and must get no requests
)

// Endpoint is one entry of the endpoint list, which discovery provides.
type Endpoint struct {
	// ID identifies the endpoint and is the same at every sidecar.
	ID EndpointID
	// Lifecycle is the state of the endpoint; only a Ready endpoint gets requests.
	Lifecycle Lifecycle
	// StartedAt is the instant, in ms, at which the endpoint's process started, or 0 if it started long ago.
	// A later instant than in an earlier entry of the endpoint means that the process has restarted.
	StartedAt float64
	// NominalCapacity is the capacity of the endpoint relative to other endpoints, or 1 if it is not known.
	// An invalid value counts as 1.
	NominalCapacity float64
	// Cell is the number of the cell that the endpoint belongs to; see DedupCell.
	Cell int
	// Zone is the number of the zone that the endpoint runs in.
	Zone int
	// MachineType is the number of the machine type that the endpoint runs on.
	MachineType int
}

// Event is anything that the caller reports to a Balancer. The event types of this package implement it.
type Event interface{ event() }

// UpdateKind tells what an EndpointUpdate contains.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	// Snapshot is the kind of an update with the whole endpoint list. Endpoints that the list does not
	// contain are removed.
	Snapshot UpdateKind = iota
	// CachedSnapshot is the kind of an update with the whole endpoint list from an earlier time, for example
	// from a cache.
	CachedSnapshot
	// Delta is the kind of an update that contains only the entries that have changed.
	Delta
	// WatchFailed is the kind of an update without entries: a call to discovery failed, or the watch ended.
	WatchFailed
	// WatchStalled is the kind of an update without entries: the watch brought no message for too long.
	WatchStalled
	// SourceChanged is the kind of an update without entries: discovery now has another address.
	SourceChanged
)

// EndpointUpdate reports the endpoint list, a part of it, or a problem with the watch that provides it.
type EndpointUpdate struct {
	// Kind tells what the update contains.
	Kind UpdateKind
	// Endpoints holds the entries of the endpoint list that the update brings. The balancer does not keep the
	// slice.
	Endpoints []Endpoint
}

// Request reports that a client's request has arrived. Each request must get exactly one final response.
type Request struct {
	// ID identifies the request. A request with an ID that is in use is refused with ErrDuplicateRequest.
	ID RequestID
	// Class is the index of the request's class in Config.Classes.
	Class int
	// Tenant is the index of the request's tenant in Config.Tenants. Any other value means no tenant.
	Tenant int
	// WorkHint is the expected work of the request in ms, or 0 if it is not known.
	WorkHint float64
	// AffinityKey is a hash of the object that the request concerns, or 0 if the request names no object.
	AffinityKey uint64
	// Timeout is the time in ms, from now, for which the client waits for the response.
	Timeout float64
	// IsRetry is set if the client marked the request as a retry; see Config.ClientsMarkRetries.
	IsRetry bool
	// Mutates is set if the request changes data at the endpoint.
	Mutates bool
}

// Result is the outcome of an attempt or of a health check.
type Result uint8

// The results of attempts and health checks. Result.NotExecuted tells which results prove that an attempt did
// not run.
const (
	OK            Result = iota // the endpoint served the request
	ServerError                 // the endpoint answered with an error
	Rejected                    // the endpoint rejected the attempt before running it
	TimedOut                    // no response came in time
	ConnectFailed               // no connection was made, or it broke before the request was written
	Reset                       // the connection broke after the request was written
	Canceled                    // the sidecar canceled the attempt
	NotSent                     // the sidecar never sent the attempt
)

// ResultCount is the number of Result values. It is the size of an array that is indexed by Result.
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

// AttemptResult reports the end of an attempt. Each attempt ends with exactly one AttemptResult.
type AttemptResult struct {
	// Request is the ID of the request that the attempt belongs to.
	Request RequestID
	// Attempt is the number of the attempt within its request, from 0.
	Attempt int
	// Endpoint is the endpoint that the attempt was sent to.
	Endpoint EndpointID
	// Result is the outcome of the attempt.
	Result Result
	// Latency is the time in ms from the start of the attempt to its end.
	Latency float64
	// RequestClosed is set if the request needs no response any more: it was answered, or its client has
	// gone.
	RequestClosed bool
	// LoadReport holds the values of the endpoint's load report in the order of Config.ReportFields, and is
	// empty if there was none. The balancer does not keep the slice.
	LoadReport []float32
}

// ResponseStarted reports that the first part of a streamed response has been passed on to the client.
type ResponseStarted struct {
	// Request is the ID of the request whose response is streamed.
	Request RequestID
	// Attempt is the number, within its request, of the attempt that the response comes from.
	Attempt int
	// Endpoint is the endpoint that sends the response.
	Endpoint EndpointID
	// Latency is the time in ms from the start of the attempt to the start of the response.
	Latency float64
}

// ClientCanceled reports that the client of Request has gone, so that the request needs no response.
type ClientCanceled struct{ Request RequestID }

// Shutdown reports that the process ends Timeout ms from now. All requests must be answered by that time,
// including requests that arrive after this event.
type Shutdown struct{ Timeout float64 }

// Timer reports that a timer is due. Token is the token of the SetTimer action that set the timer.
type Timer struct{ Token uint64 }

// HealthCheckResult reports the end of a health check.
type HealthCheckResult struct {
	// Endpoint is the endpoint that was checked.
	Endpoint EndpointID
	// Result is the outcome of the health check.
	Result Result
	// Latency is the time in ms from the start of the health check to its end.
	Latency float64
	// LoadReport holds the values of the endpoint's load report in the order of Config.ReportFields, and is
	// empty if there was none. The balancer does not keep the slice.
	LoadReport []float32
}

// GossipMessage reports a message from another sidecar.
type GossipMessage struct {
	// Sender is the peer index of the sidecar that sent the message.
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
