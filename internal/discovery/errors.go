package discovery

import (
	"errors"
	"fmt"
)

// The reasons for which a call to discovery ends.
var (
	ErrUnavailable = errors.New("discovery is unavailable")
	ErrTimeout     = errors.New("no response in time")
	ErrStalled     = errors.New("the watch is silent")
	ErrEnded       = errors.New("the watch has ended")
	ErrMalformed   = errors.New("malformed catalog")
	ErrTooLarge    = errors.New("message too large")
	ErrOutOfOrder  = errors.New("generation out of order")
)

var errNoID = errors.New("no instance ID")

// StatusError is a response other than 200; it matches ErrUnavailable.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return fmt.Sprintf("discovery answers %s", e.Status) }

// Is reports whether the target is ErrUnavailable.
func (e *StatusError) Is(target error) bool { return target == ErrUnavailable }
