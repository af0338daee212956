package upstream

import (
	"errors"
	"fmt"
)

// The reasons for which an attempt was not served. Response.Err wraps one of them, a StatusError or an error of the
// network.
var (
	ErrTooLate         = errors.New("too late to start")
	ErrConnectionEnded = errors.New("the connection ended")
	ErrTruncated       = errors.New("truncated response")
	ErrUnknownLength   = errors.New("response of unknown length")
	ErrOversized       = errors.New("oversized response")
	ErrEarlyResponse   = errors.New("response before the request was written")
	ErrPoolExhausted   = errors.New("all connections are in use")
)

// StatusError is a response other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return fmt.Sprintf("status %s", e.Status) }
