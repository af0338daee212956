package downstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebblelift/internal/nettest"
)

// An invalid request is answered with a 4xx status and not forwarded to any endpoint.
func TestInvalidRequests(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	noTimeout := " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t\r\n"
	head := noTimeout + "X-Expires-In: 9000m\r\n"
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"unknown class":     {"GET /odd" + head + "X-Qos: odd\r\n\r\n", 400},
		"no class":          {"GET /look" + head + "\r\n", 400},
		"path not of class": {"GET /book" + head + "X-Qos: look\r\n\r\n", 400},
		"no trace ID": {
			"GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Qos: look\r\nX-Expires-In: 9000m\r\n\r\n", 400,
		},
		"POST of an idempotent class": {"POST /look" + head + "X-Qos: look\r\nContent-Length: 0\r\n\r\n", 400},
		"GET with an idempotency key": {"GET /book" + head + "X-Qos: book\r\nIdempotency-Key: k\r\n\r\n", 400},
		"no idempotency key":          {"POST /book" + head + "X-Qos: book\r\nContent-Length: 0\r\n\r\n", 400},
		"timeout without a unit":      {"GET /look" + noTimeout + "X-Qos: look\r\nX-Expires-In: 9\r\n\r\n", 400},
		"negative timeout":            {"GET /look" + noTimeout + "X-Qos: look\r\nX-Expires-In: -9m\r\n\r\n", 400},
		"timeout not a number":        {"GET /look" + noTimeout + "X-Qos: look\r\nX-Expires-In: NaNm\r\n\r\n", 400},
		"no timeout":                  {"GET /look" + noTimeout + "X-Qos: look\r\n\r\n", 400},
		"empty timeout":               {"GET /look" + noTimeout + "X-Qos: look\r\nX-Expires-In: \r\n\r\n", 400},
		"timeout with an exponent":    {"GET /look" + noTimeout + "X-Qos: look\r\nX-Expires-In: 1e3m\r\n\r\n", 400},
		"two timeouts":                {"GET /look" + head + "X-Qos: look\r\nX-Expires-In: 8000m\r\n\r\n", 400},
		"two trace IDs":               {"GET /look" + head + "X-Qos: look\r\nX-Trace-Id: u\r\n\r\n", 400},
		"two idempotency keys": {
			"POST /book" + head + "X-Qos: book\r\nIdempotency-Key: k\r\nIdempotency-Key: l\r\n" +
				"Content-Length: 0\r\n\r\n", 400,
		},
		"GET with a body": {"GET /look" + head + "X-Qos: look\r\nContent-Length: 2\r\n\r\nhi", 400},
		"GET with a chunked body": {
			"GET /look" + head + "X-Qos: look\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 400,
		},
		"oversized body": {"POST /once" + head + "X-Qos: once\r\nContent-Length: 65537\r\n\r\n", 413},
		"oversized chunked body": {
			"POST /once" + head + "X-Qos: once\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
				strings.Repeat("x", 65537) + "\r\n0\r\n\r\n", 413,
		},
		"not HTTP": {"nonsense\r\n\r\n", 400},
	} {
		if resp, _ := h.request(test.request); resp.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", name, resp.StatusCode, test.status)
		}
	}
	if n := stub.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded, want none", n)
	}
	if resp, _ := h.request(idempotentRequest("t")); resp.StatusCode != 200 {
		t.Errorf("valid request afterwards: status %d, want 200", resp.StatusCode)
	}
}

// The timeout for reading a body must not apply to the response, which may take longer.
func TestSlowResponseAfterPromptBody(t *testing.T) {
	release := make(chan struct{})
	stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		<-release
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	const bodyTimeout = 500 * time.Millisecond
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CachedCatalogJSON(stub.Addr), func(s *Server) {
		s.timeouts.body = bodyTimeout
	})
	time.AfterFunc(bodyTimeout+100*time.Millisecond, func() { close(release) })
	request := strings.Replace(nonIdempotentRequest("t"),
		"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nhello", 1)
	if resp, _ := h.request(request); resp.StatusCode != 200 {
		t.Errorf("status %d, want 200", resp.StatusCode)
	}
}

// A request with any of the forms that HTTP allows is served: options for the connection in a list or in several fields,
// fields that the sidecar does not know, a body that the client holds back until it is asked for it.
func TestUnusualRequestsAreServed(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	usual := idempotentRequest("t")
	for name, test := range map[string]struct {
		fields string
		close  bool
	}{
		"list of options":    {"Connection: keep-alive, Close\r\n", true},
		"options in fields":  {"Connection: x\r\nConnection: close\r\n", true},
		"unknown fields":     {"X-A:1\r\nX-A:\t2 \r\nX-Empty:\r\n", false},
		"repeated type":      {"Content-Type: a/b\r\ncontent-type: c/d\r\n", false},
		"bare line feeds":    {"X-A: 1\nX-B: 2\n", false},
		"ninety more fields": {strings.Repeat("a: b\r\n", 90), false},
	} {
		request := strings.Replace(usual, "Host:", test.fields+"Host:", 1)
		if resp, body := h.request(request); resp.StatusCode != 200 || body != "hi" || resp.Close != test.close {
			t.Errorf("%s: status %d, body %q, close %v, want 200, hi and %v",
				name, resp.StatusCode, body, resp.Close, test.close)
		}
	}
	c, reader := h.connect()
	io.WriteString(c, strings.Replace(nonIdempotentRequest("u"), "Content-Length: 0",
		"Expect: 100-continue\r\nContent-Length: 5", 1))
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("response %+v, error %v, want status 100", resp, err)
	}
	io.WriteString(c, "hello")
	if resp, body := h.readResponse(reader); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("after 100: status %d, body %q, want 200 and hi", resp.StatusCode, body)
	}
}

// Guards against heads that are parsed although they have very many fields, and against clients that are told nothing.
func TestLargeHeadsAreRejected(t *testing.T) {
	h := newHarnessWithEndpoints(t, nettest.ClosedAddress(t))
	for name, fields := range map[string]string{
		"many short fields": strings.Repeat("a:\r\n", maxHeadFields+1),
		"one long field":    "X-Long: " + strings.Repeat("x", maxHeadSize),
		"long target":       "",
	} {
		request := "GET /look HTTP/1.1\r\n" + fields
		if name == "long target" {
			request = "GET /" + strings.Repeat("x", maxHeadSize)
		}
		if resp, _ := h.request(request); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !resp.Close {
			t.Errorf("%s: status %d, close %v, want 431 and close before the head ends", name, resp.StatusCode, resp.Close)
		}
	}
	if n := h.server.stats.tooLarge.Load(); n != 3 {
		t.Errorf("%d messages counted as too large, want 3", n)
	}
}
