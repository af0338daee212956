package balance

// EndpointID identifies an endpoint; it carries no other meaning.
type EndpointID uint64

// RequestID identifies a request; a client's retry is a request of its own.
type RequestID uint64

// Lifecycle is what discovery knows of an endpoint's process.
type Lifecycle uint8

// The lifecycle states of an endpoint.
const (
	Ready Lifecycle = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID              EndpointID
	Lifecycle       Lifecycle
	StartedAt       float64 // 0: long ago
	NominalCapacity float64 // relative to other endpoints; 1 where nothing is known
	Cell            int
	Zone            int
	MachineType     int
}

// Event is anything that the caller tells a Balancer: one of the types below.
type Event interface{ event() }

// UpdateKind says how an EndpointUpdate is to be read.
type UpdateKind uint8

// The kinds of updates from discovery.
const (
	Snapshot       UpdateKind = iota // the whole list
	CachedSnapshot                   // the whole list, as it was when last seen
	Delta                            // changed entries only
	WatchFailed                      // a call failed, or the watch ended; there are no entries
	WatchStalled                     // the watch was silent for too long; there are no entries
	SourceChanged                    // discovery has another address now; there are no entries
)

// EndpointUpdate brings the endpoint list or a part of it, or the end of a watch. Endpoints is not kept.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Request is a client's request, which is owed one final response.
type Request struct {
	ID          RequestID
	Class       int     // position in Config.Classes
	Tenant      int     // position in Config.Tenants; any other value: none
	WorkHint    float64 // expected work, 0 if unknown
	AffinityKey uint64
	Timeout     float64 // how long the client will wait
	IsRetry     bool    // the client says that it tried before
	Mutates     bool
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results; see Result.NotExecuted for what they prove.
const (
	OK            Result = iota
	ServerError          // the endpoint answered with an error
	Rejected             // the endpoint turned the attempt away before it ran
	TimedOut             // no response in time
	ConnectFailed        // no connection, or it broke before the request was written
	Reset                // the connection broke after the request was written
	Canceled             // the attempt was given up
	NotSent              // the attempt never left
)

// ResultCount is the number of results, for tables by Result.
const ResultCount = int(NotSent) + 1

var resultNames = [ResultCount]string{
	"ok", "server_error", "rejected", "timed_out", "connect_failed", "reset", "canceled", "not_sent",
}

// String returns the result's name in logs.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// NotExecuted reports whether the result proves that the attempt did not run.
func (r Result) NotExecuted() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// AttemptResult is the end of an attempt; each attempt has one.
type AttemptResult struct {
	Request       RequestID
	Attempt       int
	Endpoint      EndpointID
	Result        Result
	Latency       float64
	RequestClosed bool      // the request needs no response any more
	LoadReport    []float32 // values in the order of Config.ReportFields; empty if none; not kept
}

// ResponseStarted says that a streamed response has begun to reach the client.
type ResponseStarted struct {
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Latency  float64
}

// ClientCanceled says that the client has gone; no response is owed.
type ClientCanceled struct{ Request RequestID }

// Shutdown says that the process ends: all requests, also those to come, must be answered within Timeout.
type Shutdown struct{ Timeout float64 }

// Timer says that a timer set by SetTimer has come due.
type Timer struct{ Token uint64 }

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Endpoint   EndpointID
	Result     Result
	Latency    float64
	LoadReport []float32 // as in AttemptResult
}

// GossipMessage is a message from another sidecar. Data is not kept.
type GossipMessage struct {
	Sender int // the sidecar's peer index
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
