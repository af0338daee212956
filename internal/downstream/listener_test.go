package downstream

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"pebblelift/internal/nettest"
)

// At the connection limit a further connection is answered with 503 at once. When a connection closes, its slot is
// free again.
func TestExcessConnectionsAreRejected(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.table = newConnTable(1)
	})
	first, firstReader := h.connect()
	io.WriteString(first, idempotentRequest("1"))
	h.readResponse(firstReader)
	second, secondReader := h.connect()
	io.WriteString(second, idempotentRequest("2"))
	if resp, _ := h.readResponse(secondReader); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("second connection: status %d, close %v, want 503 and close", resp.StatusCode, resp.Close)
	}
	first.Close()
	nettest.Eventually(t, "the slot is free", func() bool { return h.server.table.size() == 0 })
	if resp, _ := h.request(idempotentRequest("3")); resp.StatusCode != 200 {
		t.Errorf("third connection: status %d, want 200", resp.StatusCode)
	}
}

// Clients that are slow to close their rejected connections must not delay the rejection of further connections.
func TestManyExcessConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	server := NewServer(newHarnessWithEndpoints(t, nettest.ClosedAddress(t)).loop, slog.New(slog.DiscardHandler))
	server.table = newConnTable(0)
	for range cap(server.rejections) { // simulates clients that are slow to close their connections
		server.rejections <- struct{}{}
	}
	go func() {
		for {
			c, err := inner.Accept()
			if err != nil {
				return
			}
			server.admit(c)
		}
	}()
	h := &harness{t: t, addr: inner.Addr().String()}
	for range 2 {
		_, reader := h.connect()
		if resp, _ := h.readResponse(reader); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("status %d, close %v, want 503 and close", resp.StatusCode, resp.Close)
		}
	}
}

// A connection that is accepted just before the listener closes may come after all others have ended. Guards against a
// panic at the end of such a connection.
func TestConnectionAfterDrain(t *testing.T) {
	table := newConnTable(1)
	first, late := &conn{}, &conn{}
	table.add(first)
	empty := table.empty()
	table.remove(first)
	nettest.Receive(t, empty)
	table.add(late)
	table.remove(late)
	table.remove(late)
	nettest.Receive(t, table.empty())
}

// failingListener is a listener whose Accept fails with each of the errors before it works.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return l.Listener.Accept()
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a process that ends because accept fails for a moment.
func TestAcceptErrorsAreWaitedOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: inner}
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.EPERM, syscall.EINTR,
	} {
		failing.errors = append(failing.errors, errno, errno)
	}
	server := NewServer(newHarnessWithEndpoints(t, nettest.ClosedAddress(t)).loop, slog.New(slog.DiscardHandler))
	ended := make(chan error, 1)
	ctx, shutDown := context.WithCancel(t.Context())
	go func() { ended <- server.Serve(ctx, failing) }()
	h := &harness{t: t, addr: inner.Addr().String()}
	const health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	if resp, _ := h.request(health); resp.StatusCode != http.StatusOK && resp.StatusCode != 503 {
		t.Errorf("status %d, want an answer to the health check", resp.StatusCode)
	}
	select {
	case err := <-ended:
		t.Errorf("Serve ended with %v", err)
	default:
	}
	shutDown()
}
