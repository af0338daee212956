package sockopt

import (
	"net"
	"syscall"
	"testing"
)

// Guards against accepted connections whose buffers the system lets grow, which a memory limit of the kernel counts.
func TestAcceptedConnectionsHaveTheLimitsOfTheirListener(t *testing.T) {
	const limit = 8 << 10
	config := net.ListenConfig{Control: LimitBuffers(limit)}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		for name, option := range map[string]int{"receive": syscall.SO_RCVBUF, "send": syscall.SO_SNDBUF} {
			const withOverhead = 2 * limit // as socket(7) says
			if bytes, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option); err != nil || bytes > withOverhead {
				t.Errorf("%s buffer: %d bytes, error %v; want at most %d", name, bytes, err, withOverhead)
			}
		}
	})
}
