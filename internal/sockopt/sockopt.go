// Package sockopt sets options of sockets.
package sockopt

import (
	"net"
	"syscall"
)

// ControlFunc is called for each new socket before it listens or connects, like net.Dialer.Control.
type ControlFunc func(network, address string, c syscall.RawConn) error

// LimitBuffers returns a ControlFunc that limits the receive buffer and the send buffer of a socket to the given number of
// bytes each; 0 leaves them to the system. The system counts its own overhead on top, up to as much again. Accepted
// connections have the limits of their listener. A system that refuses the option keeps its own limits.
func LimitBuffers(bytes int) ControlFunc {
	return func(_, _ string, c syscall.RawConn) error {
		if bytes <= 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes)
		})
	}
}

// LimitBacklog limits how many connections wait at a listener until they are accepted; 0 leaves the limit to the system.
// The system keeps what their clients send. A system that refuses the limit keeps its own.
func LimitBacklog(listener net.Listener, connections int) {
	if connections <= 0 {
		return
	}
	control(listener, func(fd uintptr) { syscall.Listen(int(fd), connections) })
}
