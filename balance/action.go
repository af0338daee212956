package balance

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions; the comments name the fields of Action that count.
const (
	StartAttempt  ActionKind = iota // Request, Endpoint, Deadline
	Reject                          // Request, Delay (Retry-After, 0: none): final; a client's retry is safe
	Fail                            // Request: final; the request may have run
	CancelAttempt                   // Request, Attempt
	SetTimer                        // Token, Delay
	HealthCheck                     // Endpoint
	CloseIdle                       // Endpoint: close its idle connections
	SendGossip                      // Peer, Data
	Log                             // Text
	Watch                           // Delay (how long to wait for the response): watch the endpoint list
	Fetch                           // fetch the endpoint list once
)

// AllPeers as the Peer of an Action means every other sidecar.
const AllPeers = -1

// Action is one thing for the caller to do.
type Action struct {
	Kind     ActionKind
	Request  RequestID
	Attempt  int
	Endpoint EndpointID
	Deadline float64 // the instant at which the attempt is abandoned; 0: with its request
	Delay    float64 // from now
	Token    uint64
	Peer     int // a peer index, or AllPeers
	Data     []byte
	Text     string
}
