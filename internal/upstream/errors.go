package upstream

import (
	"errors"
	"fmt"
)

// The reasons why an attempt was not served. Response.Err wraps one of these errors, a StatusError, a context error
// or a network error.
var (
	// ErrNotSent means that the attempt could no longer start when its connection was established.
	ErrNotSent = errors.New("request not sent: attempt expired or canceled, or drain grace of the endpoint over")
	// ErrConnectionClosed means that the connection was closed before a response began.
	ErrConnectionClosed = errors.New("connection closed before the response")
	// ErrInvalidResponse means that the response could not be parsed or ended early.
	ErrInvalidResponse = errors.New("malformed or truncated response")
	// ErrUnknownLength means that the response had neither Content-Length nor chunked encoding. Such a response ends
	// with its connection, so a truncated one looks complete.
	ErrUnknownLength = errors.New("response without Content-Length or chunked encoding")
	// ErrOversized means that the response exceeded maxResponseSize or its body exceeded MaxBodySize.
	ErrOversized = errors.New("response exceeds the size limit")
	// ErrEarlyResponse means that a response arrived although the request was not completely written.
	ErrEarlyResponse = errors.New("response received before the request was completely sent")
	// ErrPoolExhausted means that the connection limit is reached and no connection is idle.
	ErrPoolExhausted = errors.New("all connections to endpoints are in use")

	errNoDescriptor = errors.New("connection without a descriptor")
)

// StatusError reports a response with a status other than 200. Status is the status code and reason phrase, such as
// "500 Internal Server Error".
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return fmt.Sprintf("response status %s", e.Status) }
