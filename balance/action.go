package balance

// ActionKind tells what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions. The comment on each kind names the fields of Action that it uses.
const (
	// StartAttempt sends the request Request to the endpoint Endpoint as the request's next attempt, which is
	// abandoned at the instant Deadline.
	StartAttempt ActionKind = iota
	// Reject answers the request Request with a rejection, which is its final response and tells the client
	// that a retry is safe. Delay is the value of Retry-After in ms, or 0 for a response without Retry-After.
	Reject
	// Fail answers the request Request with an error, which is its final response. The request may have run.
	Fail
	// CancelAttempt cancels the attempt with the number Attempt of the request Request.
	CancelAttempt
	// SetTimer asks for a Timer event with the token Token after Delay ms.
	SetTimer
	// HealthCheck checks the health of the endpoint Endpoint and asks for a HealthCheckResult event.
	HealthCheck
	// CloseIdle closes the idle connections to the endpoint Endpoint.
	CloseIdle
	// SendGossip sends the gossip message Data to the sidecar with the peer index Peer, or to all other
	// sidecars if Peer is AllPeers.
	SendGossip
	// Log writes Text to the log.
	Log
	// Watch opens a watch of the endpoint list at discovery and waits at most Delay ms for the response.
	Watch
	// Fetch requests the whole endpoint list from discovery once.
	Fetch
)

// AllPeers is the value of Action.Peer that stands for all other sidecars.
const AllPeers = -1

// Action is one thing that the caller has to do. Only the fields that its Kind uses have a meaning.
type Action struct {
	// Kind tells what to do.
	Kind ActionKind
	// Request is the ID of the request that the action concerns.
	Request RequestID
	// Attempt is the number, from 0 within its request, of the attempt that CancelAttempt cancels.
	Attempt int
	// Endpoint is the endpoint that the action concerns.
	Endpoint EndpointID
	// Deadline is the instant, in ms, at which the attempt is abandoned, or 0 if the attempt ends with its
	// request.
	Deadline float64
	// Delay is a time in ms from now; ActionKind tells what it means for each kind.
	Delay float64
	// Token identifies the timer that SetTimer sets. The Timer event of the timer carries the same token.
	Token uint64
	// Peer is the peer index of the sidecar that gets a gossip message, or AllPeers.
	Peer int
	// Data is the encoded gossip message.
	Data []byte
	// Text is the message for the log.
	Text string
}
