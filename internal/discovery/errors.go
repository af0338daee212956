package discovery

import (
	"errors"
	"fmt"
)

// The reasons why a call to discovery fails or a watch ends.
var (
	ErrUnavailable = errors.New("discovery is unavailable")            // no usable response, or it broke off
	ErrTimeout     = errors.New("no response within the timeout")      // discovery may only be slow
	ErrStalled     = errors.New("watch stalled, no heartbeat in time") // neither a heartbeat nor a whole message came
	ErrEnded       = errors.New("stream ended by discovery")           // the response was complete
	ErrMalformed   = errors.New("malformed catalog")                   // the message has invalid entries or JSON
	ErrTooLarge    = errors.New("message too large")                   // the message exceeds maxMessageSize
	ErrOutOfOrder  = errors.New("generation out of order")             // a change is older than the known list
)

var errNoID = errors.New("missing instance ID")

// StatusError is an HTTP response with a status other than 200. It matches ErrUnavailable.
type StatusError struct{ Status string }

// Error returns a text with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("discovery returned status %s", e.Status) }

// Is reports whether the target is ErrUnavailable.
func (e *StatusError) Is(target error) bool { return target == ErrUnavailable }
