package upstream

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// connReader reads from a connection for its reader goroutine. Others can ask it whether anything has arrived that no
// request has asked for: their question and the reads exclude each other, so that no byte is between the system and the
// reader when the answer is given.
type connReader struct {
	raw syscall.RawConn

	mu       sync.Mutex
	received bool // whether bytes, the end of the connection or an error were read since the last call of expectNothing
}

// newConnReader returns a connReader for a connection of the system.
func newConnReader(c net.Conn) (*connReader, error) {
	withDescriptor, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &connReader{raw: raw}, nil
}

// Read implements io.Reader. It waits for bytes until the read deadline of the connection.
func (r *connReader) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := r.raw.Read(func(fd uintptr) (done bool) {
		n, err, done = r.tryRead(int(fd), p)
		return done
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// tryRead reads what the system has. It reports false if that is nothing.
func (r *connReader) tryRead(fd int, p []byte) (n int, err error, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		n, err = syscall.Read(fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, nil, false
		case err != nil:
			n, err = 0, os.NewSyscallError("read", err)
		case n == 0:
			err = io.EOF
		}
		r.received = true
		return n, err, true
	}
}

// expectNothing takes note that the last response was read whole: whatever arrives from now on belongs to no request.
func (r *connReader) expectNothing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = false
}

// isQuiet reports whether the connection is open and nothing has arrived since the last call of expectNothing. Otherwise
// the connection must not be used any more, as a byte may be missing.
func (r *connReader) isQuiet() bool {
	var next [1]byte
	err := r.raw.Control(func(fd uintptr) { r.tryRead(int(fd), next[:]) })
	r.mu.Lock()
	defer r.mu.Unlock()
	return err == nil && !r.received
}
