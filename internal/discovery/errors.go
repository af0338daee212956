package discovery

import (
	"errors"
	"fmt"
)

// The reasons why a call to discovery fails or a watch ends.
var (
	// ErrUnavailable means that a call got no usable response or that the response broke off.
	ErrUnavailable = errors.New("discovery is unavailable")
	// ErrTimeout means that a call exceeded its timeout. Discovery may be slow but available.
	ErrTimeout = errors.New("no response within the timeout")
	// ErrStalled means that a watch got neither a heartbeat nor a whole message for WatchStallTimeout.
	ErrStalled = errors.New("watch stalled, no heartbeat in time")
	// ErrEnded means that discovery completed the response of a watch.
	ErrEnded = errors.New("stream ended by discovery")
	// ErrMalformed means that a message is not valid JSON or has an invalid entry.
	ErrMalformed = errors.New("malformed catalog")
	// ErrTooLarge means that a message exceeds maxMessageSize.
	ErrTooLarge = errors.New("message too large")
	// ErrOutOfOrder means that a delta is older than the known endpoint list.
	ErrOutOfOrder = errors.New("generation out of order")
)

var errNoID = errors.New("missing instance ID")

// StatusError is an HTTP response with a status other than 200. It matches ErrUnavailable.
type StatusError struct{ Status string }

// Error returns a text with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("discovery returned status %s", e.Status) }

// Is reports whether the target is ErrUnavailable.
func (e *StatusError) Is(target error) bool { return target == ErrUnavailable }
