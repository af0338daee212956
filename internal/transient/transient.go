// Package transient handles errors of system calls that pass by themselves, such as a lack of buffers, memory or file
// descriptors. The caller waits for a bounded time and tries again.
package transient

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// minPause and maxPause bound the pause before a failed system call is repeated.
	minPause = 2 * time.Millisecond
	maxPause = 50 * time.Millisecond
)

// total counts the errors since the start of the process that Backoff.Wait has waited out.
var total atomic.Int64

// Total returns how many errors have been waited out since the start of the process.
func Total() int64 { return total.Load() }

// Backoff is the growing pause between repetitions of a failed system call. The zero value is ready for use.
type Backoff struct{ next time.Duration }

// Wait pauses before the next repetition. It returns the error of ctx if that ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	total.Add(1)
	b.next = min(max(2*b.next, minPause), maxPause)
	timer := time.NewTimer(b.next)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Reset makes the next pause the shortest again. It is called after a success.
func (b *Backoff) Reset() { b.next = 0 }

// peerErrors are the errors of connect that come from the other side or the way to it. Any other error is one of this
// machine.
var peerErrors = []error{
	syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.EPIPE,
}

// IsLocal reports whether an error of a system call says nothing about the peer, so that the same call may succeed in a
// moment.
func IsLocal(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	for _, peerError := range peerErrors {
		if errors.Is(err, peerError) {
			return false
		}
	}
	return true
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial calls dial until it succeeds, fails because of the peer, or ctx ends. It returns the last error of dial.
func Dial(ctx context.Context, dial DialFunc, network, address string) (net.Conn, error) {
	for backoff := (Backoff{}); ; {
		c, err := dial(ctx, network, address)
		if err == nil || !IsLocal(err) || backoff.Wait(ctx) != nil {
			return c, err
		}
	}
}

// listenTimeout is how long Listen tries. A process that is ending, or a connection of another one, may still hold an
// address. A process has to be ready within 30 s.
const listenTimeout = 20 * time.Second

// Listen calls listen, which opens a socket, until it succeeds or fails for a reason that does not pass by itself. It
// returns the last error after some seconds.
func Listen(listen func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	for backoff := (Backoff{}); ; {
		err := listen()
		if err == nil || !IsLocal(err) || backoff.Wait(ctx) != nil {
			return err
		}
	}
}
