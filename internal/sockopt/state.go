package sockopt

import (
	"net"
	"syscall"
	"unsafe"
)

// HasUnread reports whether the system holds bytes of a connection that were not read yet. It is false for a connection
// that the system does not know.
func HasUnread(c net.Conn) bool {
	unread := int32(0)
	control(c, func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&unread)))
	})
	return unread > 0
}

// TCP states of linux/tcp.h in which the peer may still send.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// PeerHasClosed reports whether the peer has closed a TCP connection or reset it, also if bytes that it sent before were
// not read yet. The second result is false if the system does not tell.
func PeerHasClosed(c net.Conn) (closed, known bool) {
	var info [8]byte // the start of struct tcp_info
	size := uint32(len(info))
	control(c, func(fd uintptr) {
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
		known = errno == 0 && size > 0
	})
	state := info[0]
	return state != tcpEstablished && state != tcpFinWait1 && state != tcpFinWait2, known
}

// control calls f with the descriptor of a connection or a listener, if it has one.
func control(socket any, f func(fd uintptr)) {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := withDescriptor.SyscallConn(); err == nil {
		raw.Control(f)
	}
}
