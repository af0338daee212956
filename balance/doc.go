// Package balance makes the decisions of one sidecar: which endpoint each request is sent to, when a request
// is retried and when it is rejected.
//
// The package is a state machine. A [Balancer] takes an [Event] and the current time, and returns the list of
// [Action] values that the caller has to carry out. The balancer does no I/O, reads no clock and draws its
// random numbers from the seed in [Config], so the same events always give the same actions. All times are
// float64 milliseconds: either instants on the caller's clock or durations.
//
// Endpoints are picked by smooth weighted round robin. The weight of an endpoint is its capacity times a
// health multiplier, which falls with the endpoint's consecutive errors and recovers with time. A failed
// request is retried, if the retry cannot make the request run twice or running twice does no harm, at the
// endpoint with the best health among the endpoints that the request has not tried.
//
// The caller must meet these conditions: all events carry times of one clock, which never goes back; events
// are passed in the order in which they happened, from one goroutine at a time; the actions of a call are
// carried out in order before the next event is passed; each timer is reported once, when it is due; each
// StartAttempt is followed by one AttemptResult. The balancer does not keep slices from events, and returned
// actions are valid until the next call.
package balance
