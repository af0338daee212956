package balance

// ActionKind tells what an Action asks the caller to do.
type ActionKind uint8

// The kinds of actions. The comment on each kind names the fields of Action that the kind uses.
const (
	// StartAttempt is the kind of an Action that tells the caller to send the request Action.Request to
	// Action.Endpoint as the request's next attempt. The caller reports the end of the attempt with one
	// AttemptResult, and ends the attempt at the instant Action.Deadline if the instant is not 0.
	StartAttempt ActionKind = iota
	// Reject is the kind of an Action that tells the caller to answer Action.Request with a rejection, which
	// is the request's final response and tells the client that a retry is safe. Action.Delay is the value of
	// Retry-After in ms, or 0 for a response without Retry-After.
	Reject
	// Fail is the kind of an Action that tells the caller to answer Action.Request with an error, which is
	// the request's final response. The request may have run, so a retry by the client is not known to be
	// safe.
	Fail
	// CancelAttempt is the kind of an Action that tells the caller to cancel the attempt that Action.Request
	// and Action.Attempt identify. The attempt stays in flight until its AttemptResult.
	CancelAttempt
	// SetTimer is the kind of an Action that asks for a Timer event with the token Action.Token after
	// Action.Delay ms.
	SetTimer
	// HealthCheck is the kind of an Action that tells the caller to check the health of Action.Endpoint and
	// to report the outcome with a HealthCheckResult event.
	HealthCheck
	// CloseIdle is the kind of an Action that tells the caller to close the idle connections to
	// Action.Endpoint. The balancer returns no action of this kind.
	CloseIdle
	// SendGossip is the kind of an Action that tells the caller to send the gossip message Action.Data to the
	// sidecar with the peer index Action.Peer, or to all other sidecars if Action.Peer is AllPeers.
	SendGossip
	// Log is the kind of an Action that tells the caller to write Action.Text to the log. The balancer
	// returns no action of this kind.
	Log
	// Watch is the kind of an Action that tells the caller to open a watch of the endpoint list at discovery,
	// in place of any earlier watch. The caller reports the messages and the end of the watch as
	// EndpointUpdate events. If discovery's response has not begun after Action.Delay ms, the caller reports
	// WatchOverdue and keeps the call open. It keeps open all calls without a response until the first
	// response begins, which it reports as WatchOpened, and then ends the other calls.
	Watch
	// Fetch is the kind of an Action that tells the caller to request the whole endpoint list from discovery
	// once. The balancer returns no action of this kind.
	Fetch
)

// AllPeers is the value of Action.Peer that addresses a gossip message to all other sidecars.
const AllPeers = -1

// Action is one thing that the caller has to do. Kind tells which of the other fields are used; fields that
// the kind does not use have no meaning.
type Action struct {
	// Kind tells what the caller has to do.
	Kind ActionKind
	// Request is the ID of the request that a StartAttempt, Reject, Fail or CancelAttempt action concerns.
	Request RequestID
	// Attempt is the number of the attempt that a CancelAttempt action cancels. The attempts of a request are
	// numbered from 0 in the order of their StartAttempt actions.
	Attempt int
	// Endpoint is the endpoint that a StartAttempt, HealthCheck or CloseIdle action concerns.
	Endpoint EndpointID
	// Deadline is the instant in ms at which the caller ends the attempt of a StartAttempt action, or 0 if
	// the attempt may last until its request must be answered. The balancer always leaves Deadline at 0.
	Deadline float64
	// Delay is a time in ms from now: the time until the timer of a SetTimer action is due, the time that a
	// Watch action allows for discovery's response to begin, or the Retry-After of a Reject action.
	Delay float64
	// Token identifies the timer that a SetTimer action sets. The Timer event of the timer carries the same
	// token.
	Token uint64
	// Peer is the peer index of the sidecar that gets the message of a SendGossip action, or AllPeers.
	Peer int
	// Data is the encoded message of a SendGossip action.
	Data []byte
	// Text is the message that a Log action writes to the log.
	Text string
}
