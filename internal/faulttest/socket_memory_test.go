package faulttest

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"pebblelift/internal/nettest"
)

// The following describe messages of the kernel's socket monitoring (sock_diag(7), linux/inet_diag.h).
const (
	netlinkSocketDiagnosis = 4  // NETLINK_SOCK_DIAG
	socketDiagnosisByState = 20 // SOCK_DIAG_BY_FAMILY
	memoryAttribute        = 7  // INET_DIAG_SKMEMINFO
	diagnosisRequestSize   = 56 // struct inet_diag_req_v2
	diagnosisMessageSize   = 72 // struct inet_diag_msg
	localPortOffset        = 4
	inodeOffset            = 68
	// socketMemoryInterval is the time between two samples.
	socketMemoryInterval = 20 * time.Millisecond
)

// countedMemory are the positions in SKMEMINFO of what a socket holds: received, reserved, queued to be sent, options and
// backlog.
var countedMemory = [...]int{0, 4, 5, 6, 7}

// memoryAtPeak is the resident memory of a process and the buffers of its sockets at one time.
type memoryAtPeak struct{ residentKB, socketsKB int }

func (m memoryAtPeak) totalKB() int { return m.residentKB + m.socketsKB }

// tcpSocket is a TCP socket of this machine.
type tcpSocket struct {
	localPort int
	inode     string // empty for a connection that is not accepted yet
	bytes     int    // held in the kernel
}

// tcpSockets returns the TCP sockets over IPv4 of this machine.
func tcpSockets() ([]tcpSocket, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, netlinkSocketDiagnosis)
	if err != nil {
		return nil, err
	}
	defer syscall.Close(fd)
	request := make([]byte, syscall.NLMSG_HDRLEN+diagnosisRequestSize)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], socketDiagnosisByState)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	query := request[syscall.NLMSG_HDRLEN:]
	query[0], query[1], query[2] = syscall.AF_INET, syscall.IPPROTO_TCP, 1<<(memoryAttribute-1)
	binary.NativeEndian.PutUint32(query[4:], ^uint32(0)) // sockets in all states
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, err
	}
	var sockets []tcpSocket
	for buffer := make([]byte, 64<<10); ; {
		n, _, err := syscall.Recvfrom(fd, buffer, 0)
		if err != nil {
			return nil, err
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:n])
		if err != nil {
			return nil, err
		}
		for i := range messages {
			switch messages[i].Header.Type {
			case syscall.NLMSG_DONE:
				return sockets, nil
			case syscall.NLMSG_ERROR:
				return nil, fmt.Errorf("sock_diag: error message %x", messages[i].Data)
			}
			sockets = append(sockets, parseSocket(messages[i].Data))
		}
	}
}

// parseSocket parses one message about a socket.
func parseSocket(message []byte) tcpSocket {
	s := tcpSocket{localPort: int(binary.BigEndian.Uint16(message[localPortOffset:]))}
	if inode := binary.NativeEndian.Uint32(message[inodeOffset:]); inode != 0 {
		s.inode = strconv.Itoa(int(inode))
	}
	for rest := message[diagnosisMessageSize:]; len(rest) >= syscall.SizeofRtAttr; {
		attribute := (*syscall.RtAttr)(unsafe.Pointer(&rest[0]))
		value := rest[syscall.SizeofRtAttr:attribute.Len]
		if attribute.Type == memoryAttribute {
			for _, position := range countedMemory {
				s.bytes += int(int32(binary.NativeEndian.Uint32(value[4*position:]))) // reserved may be below 0 for a moment
			}
		}
		rest = rest[min(len(rest), int(attribute.Len+syscall.NLMSG_ALIGNTO-1)&^(syscall.NLMSG_ALIGNTO-1)):]
	}
	return s
}

// socketMemory returns the bytes in the buffers of a process's sockets, including the connections to its port that it has
// not accepted yet.
func socketMemory(pid, port int) (int, error) {
	sockets, err := tcpSockets()
	if err != nil {
		return 0, err
	}
	own := map[string]bool{}
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, path := range paths {
		target, _ := os.Readlink(path)
		if inode, isSocket := strings.CutPrefix(target, "socket:["); isSocket {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	total := 0
	for _, s := range sockets {
		isUnaccepted := s.inode == "" && s.localPort == port
		if own[s.inode] || isUnaccepted {
			total += s.bytes
		}
	}
	return total, nil
}

// watchSocketMemory follows the largest sum of the resident memory of the process and the buffers of its sockets, which a
// memory limit of the kernel counts too.
func (s *sidecar) watchSocketMemory() {
	_, portText, _ := net.SplitHostPort(s.addr)
	port, _ := strconv.Atoi(portText)
	for ticker := time.NewTicker(socketMemoryInterval); s.alive(); <-ticker.C {
		bytes, err := socketMemory(s.cmd.Process.Pid, port)
		if err != nil {
			s.t.Errorf("reading the memory of sockets: %v", err)
			return
		}
		sample := memoryAtPeak{residentKB: s.residentMemory(), socketsKB: bytes >> 10}
		s.mu.Lock()
		if sample.totalKB() > s.withSocket.totalKB() {
			s.withSocket = sample
		}
		s.mu.Unlock()
	}
}

// checkSocketMemory checks that the resident memory together with the buffers of sockets has stayed within the limit.
func (s *sidecar) checkSocketMemory() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limits.memoryMB << 10
	s.t.Logf("peak with sockets: %d kB resident and %d kB in sockets of %d kB",
		s.withSocket.residentKB, s.withSocket.socketsKB, limit)
	if s.withSocket.totalKB() > limit {
		s.t.Errorf("memory with the buffers of sockets: %d kB and %d kB, over the limit of %d kB",
			s.withSocket.residentKB, s.withSocket.socketsKB, limit)
	}
}

// Guards against a process over a memory limit that counts the buffers of its sockets too, while hundreds of clients send
// sound requests with large bodies.
func TestBodiesOfManyClientsStayWithinMemoryWithSockets(t *testing.T) {
	soundBodiesScenario(300).run(t)
}

// Guards against the same, and against lost answers of the application, with nearly as many clients as descriptors.
func TestBodiesOnAllDescriptorsStayWithinMemoryWithSockets(t *testing.T) {
	soundBodiesScenario(600).run(t)
}

// soundBodiesScenario returns a scenario with clients that send sound requests with large bodies.
func soundBodiesScenario(clients int) scenario {
	return scenario{
		limits: leastLimits, rate: 60, bodySize: 60_000, duration: 4 * time.Second,
		peers: []hostilePeers{{Kind: soundBodies, Connections: clients}},
	}
}

// Guards against memory that clients fill while the process is held up: they connect, send and leave, and the kernel keeps
// their connections until the process accepts them.
func TestConnectionsThatWaitStayWithinMemoryWithSockets(t *testing.T) {
	const (
		dialTimeout = 50 * time.Millisecond // a full queue does not answer
		sentBytes   = 6000
	)
	servers, _ := startPickServers(t, 1, pickServiceTime, 0)
	process := startSidecar(t, servers, leastLimits)
	process.cmd.Process.Signal(syscall.SIGSTOP)
	connections := 0
	for ; connections < 5000; connections++ {
		c, err := net.DialTimeout("tcp", process.addr, dialTimeout)
		if err != nil {
			break
		}
		c.SetWriteDeadline(time.Now().Add(dialTimeout))
		c.Write(make([]byte, sentBytes))
		c.Close()
	}
	time.Sleep(5 * socketMemoryInterval) // until the memory is sampled
	process.cmd.Process.Signal(syscall.SIGCONT)
	t.Logf("%d connections", connections)
	nettest.Eventually(t, "the process is ready again", process.healthy)
	process.checkHealthyProcess()
}

// The buffers of sockets are counted: what a peer has sent and nobody has read.
func TestSocketMemoryCountsUnreadBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := dial(t, listener.Addr().String())
	unread := make([]byte, 40_000)
	if _, err := client.Write(unread); err != nil {
		t.Fatal(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	nettest.Eventually(t, "the unread bytes of an unaccepted connection are counted", func() bool {
		bytes, err := socketMemory(0, port)
		return err == nil && bytes >= len(unread)
	})
}
