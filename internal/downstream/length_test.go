package downstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"pebblelift/internal/nettest"
)

// A request with conflicting lengths is answered with 400 and closes its connection, in whatever parts it arrives.
// Otherwise a request could be smuggled in its body: one side would take for the next request what the other takes for
// the body.
func TestConflictingLengthsAreRejected(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	first := idempotentRequest("first")
	smuggled := nonIdempotentRequest("inner")
	head := "X-Trace-Id: outer\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n"
	start := "POST /once HTTP/1.1\r\nHost: app.svc\r\n" + head
	lengths := fmt.Sprintf("cOnTent-length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(smuggled)+5)
	for name, parts := range map[string][]string{
		"at once":       {start + lengths + smuggled},
		"in parts":      {start, lengths[:len(lengths)-7], lengths[len(lengths)-7:] + smuggled},
		"bare newlines": {strings.ReplaceAll(start, "\r", "") + lengths + smuggled},
		"HTTP/1.0": {
			"POST /once HTTP/1.0\r\nConnection: keep-alive\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + smuggled,
		},
		"pipelined":  {first + start + lengths + smuggled},
		"kept alive": {first, start + lengths + smuggled},
	} {
		wantRequests := stub.Requests.Load()
		c, reader := h.connect()
		for _, part := range parts {
			io.WriteString(c, part)
			if part == first {
				h.readResponse(reader)
				wantRequests++
			}
		}
		if name == "pipelined" {
			h.readResponse(reader)
			wantRequests++
		}
		if resp, _ := h.readResponse(reader); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: status %d, close %v, want 400 and close", name, resp.StatusCode, resp.Close)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: error %v after the response, want the end of the connection", name, err)
		}
		if n := stub.Requests.Load() - wantRequests; n != 0 {
			t.Errorf("%s: %d requests were forwarded, want none", name, n)
		}
	}
}

// A request with conflicting lengths is rejected whatever its target, also where the sidecar answers by itself. Guards
// against a request inside the body of a health check, or of an OPTIONS request, that was forwarded to an endpoint.
func TestConflictingLengthsAreRejectedOnEveryTarget(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	body := "0\r\n\r\n" + nonIdempotentRequest("inner")
	lengths := fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, requestLine := range []string{
		"GET /_health HTTP/1.1",
		"POST /_health?x=1 HTTP/1.1",
		"GET http://app.svc/_health HTTP/1.1",
		"OPTIONS * HTTP/1.1",
		"OPTIONS /_health HTTP/1.1",
		"GET /nowhere HTTP/1.1",
	} {
		c, reader := h.connect()
		io.WriteString(c, requestLine+"\r\nHost: app.svc\r\n"+lengths+body)
		if resp, _ := h.readResponse(reader); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: status %d, close %v, want 400 and close", requestLine, resp.StatusCode, resp.Close)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Errorf("%s: error %v after the response, want the end of the connection", requestLine, err)
		}
	}
	if n := stub.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded, want none", n)
	}
}

// A chunked request without Content-Length is forwarded, both on a new connection and on a reused one.
func TestChunkedRequest(t *testing.T) {
	bodies := make(chan string, 2)
	stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, body string) bool {
		bodies <- body
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	h := newHarnessWithEndpoints(t, stub.Addr)
	c, reader := h.connect()
	for _, traceID := range []string{"a", "b"} {
		io.WriteString(c, strings.Replace(nonIdempotentRequest(traceID),
			"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 1))
		if resp, _ := h.readResponse(reader); resp.StatusCode != 200 || nettest.Receive(t, bodies) != "hi" {
			t.Fatalf("request %s: status %d, want 200 and the body hi forwarded", traceID, resp.StatusCode)
		}
	}
}
