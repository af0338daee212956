package kit

import (
	"net"
	"syscall"
	"unsafe"
)

// receiveBufferOf returns a control function that sets the receive buffer of a socket.
func receiveBufferOf(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
	}
}

// Unread returns how many bytes of a connection have come and were not read yet.
func Unread(c net.Conn) int {
	unread := int32(0)
	if withDescriptor, ok := c.(syscall.Conn); ok {
		if raw, err := withDescriptor.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&unread)))
			})
		}
	}
	return int(unread)
}
