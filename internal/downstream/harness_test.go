package downstream

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"pebblelift/internal/clock"
	"pebblelift/internal/config"
	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
	"pebblelift/internal/sidecar"
)

// minAcceptAfterShutdown is how long clients may open new connections after SIGTERM, with a margin.
const minAcceptAfterShutdown = 500 * time.Millisecond

// harness runs a whole sidecar: its server and its event loop.
type harness struct {
	t      *testing.T
	loop   *sidecar.Loop
	server *Server
	addr   string
	// shutDown begins the graceful shutdown.
	shutDown context.CancelFunc
	// acceptPeriodOver stands in for the timer after which the listener closes during the shutdown.
	acceptPeriodOver chan time.Time
	// serveResult receives the result of Server.Serve.
	serveResult chan error
}

// newHarness runs a sidecar with the given discovery address and cached catalog. Each configure function is called
// with the server before it starts.
func newHarness(t *testing.T, discovery, cachedCatalog string, configure ...func(*Server)) *harness {
	t.Helper()
	cfg, err := config.Parse(nettest.ConfigJSON(discovery, cachedCatalog, nettest.Settings))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	loop := sidecar.NewLoop(clock.New(), &cfg, log)
	loopCtx, stopLoop := context.WithCancel(context.Background())
	serveCtx, shutDown := context.WithCancel(context.Background())
	h := &harness{
		t:                t,
		loop:             loop,
		server:           NewServer(loop, log),
		addr:             ln.Addr().String(),
		shutDown:         shutDown,
		acceptPeriodOver: make(chan time.Time, 1),
		serveResult:      make(chan error, 1),
	}
	for _, f := range configure {
		f(h.server)
	}
	h.server.after = func(d time.Duration) <-chan time.Time {
		if d < minAcceptAfterShutdown {
			t.Errorf("the listener closes %v after the shutdown begins, want at least %v", d, minAcceptAfterShutdown)
		}
		return h.acceptPeriodOver
	}
	go loop.Run(loopCtx)
	go func() { h.serveResult <- h.server.Serve(serveCtx, ln) }()
	t.Cleanup(func() {
		shutDown()
		stopLoop()
	})
	return h
}

// newHarnessWithEndpoints runs a sidecar with a cached catalog of endpoints. Discovery is down.
func newHarnessWithEndpoints(t *testing.T, addrs ...string) *harness {
	t.Helper()
	return newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(addrs...))
}

// connect opens a client connection to the sidecar.
func (h *harness) connect() (net.Conn, *bufio.Reader) {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(nettest.Timeout))
	return c, bufio.NewReader(c)
}

// request sends a request on a new connection and returns the response with its body.
func (h *harness) request(request string) (*http.Response, string) {
	h.t.Helper()
	c, reader := h.connect()
	io.WriteString(c, request)
	return h.readResponse(reader)
}

// readResponse reads a response with its body.
func (h *harness) readResponse(reader *bufio.Reader) (*http.Response, string) {
	h.t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	return resp, string(body)
}

// stats returns the counts of the event loop.
func (h *harness) stats() sidecar.Stats {
	h.t.Helper()
	stats, err := h.loop.Stats(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	return stats
}

// waitUntilListenerCloses waits until the sidecar refuses new connections.
func (h *harness) waitUntilListenerCloses() {
	h.t.Helper()
	nettest.Eventually(h.t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", h.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

// idempotentRequest returns a request of the idempotent class of nettest.Settings.
func idempotentRequest(traceID string) string {
	return "GET /look?sid=7f HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + traceID +
		"\r\nX-Qos: look\r\nX-Customer: acme\r\nX-Expires-In: 9000m\r\n\r\n"
}

// nonIdempotentRequest returns a request without a body of the non-idempotent class of nettest.Settings.
func nonIdempotentRequest(traceID string) string {
	return "POST /once HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + traceID +
		"\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\nContent-Length: 0\r\n\r\n"
}

// recordedHeads returns what was read of a head that is not complete yet on each open connection.
func recordedHeads(table *connTable) (heads []string) {
	for _, c := range table.all() {
		c.mu.Lock()
		heads = append(heads, string(c.parser.buffer))
		c.mu.Unlock()
	}
	return heads
}

// maxHeldRequests is how many held requests a holdingStub can report before the test receives any of the reports.
const maxHeldRequests = 10

// holdingStub is an endpoint that holds requests before it answers them.
type holdingStub struct {
	*nettest.StubServer
	received chan struct{} // receives a value for each request that is held
	release  chan struct{} // takes a value for each request to answer; closed to answer all
}

// newHoldingStub returns a stub that holds the requests with the given trace ID, or all requests if traceID is empty.
func newHoldingStub(t *testing.T, traceID string) *holdingStub {
	t.Helper()
	s := &holdingStub{received: make(chan struct{}, maxHeldRequests), release: make(chan struct{})}
	s.StubServer = nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		if traceID == "" || req.Header.Get(headers.TraceID) == traceID {
			s.received <- struct{}{}
			<-s.release
		}
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	return s
}
