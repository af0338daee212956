// Package balance decides, for one sidecar, which endpoint gets a request, when the request is retried and
// when it is rejected.
//
// It is a state machine: a [Balancer] takes an [Event] and the present time, and returns the [Action] list
// that the caller has to carry out. It does no I/O, reads no clock and draws its random numbers from the seed
// in [Config], so equal events give equal actions. All times are float64 milliseconds: instants on the
// caller's clock, or durations.
//
// Endpoints are picked by health-weighted round robin: a health multiplier falls with an endpoint's
// consecutive errors and recovers with time, and smooth weighted round robin runs over capacity times
// multiplier. A failed idempotent request is retried at the untried endpoint of the best health.
//
// What the caller owes: one clock for all events that never goes back; events in the order in which they
// happened, from one goroutine at a time; the actions of each call carried out in their order before the next
// event is handed in; each timer brought back once when it is due; one AttemptResult for each StartAttempt.
// Slices in events are not kept, and returned actions are valid until the next call.
package balance
