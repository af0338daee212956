// Package nettest provides helpers for tests of the network code: stub servers on the loopback interface, the messages
// that stubs exchange with the code under test, and functions that wait for conditions. Only tests import it.
package nettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Timeout is how long a test waits for an event before it fails. A passing test never waits this long.
const Timeout = 20 * time.Second

// OKResponse is an HTTP response with status 200 and the body "hi".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Settings is a settings object with one class for each kind of idempotency: look is idempotent, book uses an
// idempotency key and once is non-idempotent.
const Settings = `{"classes": [
	{"name": "look", "effect": "read_like", "on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "book", "effect": "idempotency_key", "group": "cell", "window_ms": 2000,
		"on_time_ms": 8000, "hard_limit_ms": 10000},
	{"name": "once", "effect": "non_idempotent", "on_time_ms": 8000, "hard_limit_ms": 10000}],
	"tenants": [{"name": "acme", "share": 1}], "zones": ["a", "b"], "kinds": ["m1", "m2"], "discovery": "subscribe",
	"report": {"via": "piggyback", "fields": ["busy", "rate"]},
	"limits": {"cancel": true, "conn_idle_ms": 10000, "connect_timeout_ms": 5000, "max_attempts": 4,
		"retry_after": true, "max_retry_after_ms": 50},
	"rules": {"drain_grace_ms": 250}}`

// ConfigJSON returns the content of a configuration file with the given discovery address, cached catalog and
// settings object.
func ConfigJSON(discovery, cachedCatalog, settings string) []byte {
	return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1f","known":%s,"settings":%s}`,
		discovery, cachedCatalog, settings)
}

// Handler handles one request on a connection. If it returns false, the connection is closed.
type Handler func(c net.Conn, req *http.Request, body string) bool

// StubServer is an HTTP server on the loopback interface that stands in for an endpoint or for discovery.
type StubServer struct {
	Addr        string
	Conns       atomic.Int32  // connections accepted so far
	Requests    atomic.Int32  // requests received so far
	Disconnects chan struct{} // receives a value when a client closes its connection
}

// NewStubServer starts a server that passes each request to handle. It runs until the end of the test.
func NewStubServer(t *testing.T, handle Handler) *StubServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &StubServer{Addr: ln.Addr().String(), Disconnects: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.Conns.Add(1)
			go s.serve(c, handle)
		}
	}()
	return s
}

// serve passes the requests on one connection to handle until handle returns false or the client disconnects.
func (s *StubServer) serve(c net.Conn, handle Handler) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			s.Disconnects <- struct{}{}
			return
		}
		body, _ := io.ReadAll(req.Body)
		s.Requests.Add(1)
		if !handle(c, req, string(body)) {
			return
		}
	}
}

// RespondWith returns a Handler that writes the given response to each request.
func RespondWith(response string) Handler {
	return func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, response)
		return true
	}
}

// NeverRespond is a Handler that reads requests and never responds. The connection stays open until the client closes
// it.
func NeverRespond(net.Conn, *http.Request, string) bool { return true }

// CloseConnection is a Handler that reads a request and closes the connection without a response, so that the client
// cannot tell whether the request was executed.
func CloseConnection(net.Conn, *http.Request, string) bool { return false }

// ClosedAddress returns an address at which connections are refused.
func ClosedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// InstanceJSON returns one entry of a catalog.
func InstanceJSON(name, addr, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m2","cell":3,"lifecycle":%q,`+
		`"weight":1.0,"startedAtMs":0}`, name, addr, lifecycle)
}

// CatalogJSON returns a catalog message of discovery: a snapshot if reset is true, otherwise a delta.
func CatalogJSON(generation int, reset bool, instances ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, reset, strings.Join(instances, ","))
}

// CachedCatalogJSON returns a snapshot of endpoints that are up, named s-0, s-1 and so on.
func CachedCatalogJSON(addrs ...string) string {
	var instances []string
	for i, addr := range addrs {
		instances = append(instances, InstanceJSON(fmt.Sprint("s-", i), addr, "up"))
	}
	return CatalogJSON(1, true, instances...)
}

// Eventually polls until a condition holds, and fails the test after Timeout. It is for conditions that no channel or
// response signals.
func Eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(Timeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until " + condition)
		}
	}
}

// Receive returns the next value of a channel. It fails the test after Timeout.
func Receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatal("timed out waiting for a value on a channel")
		panic("unreachable")
	}
}
