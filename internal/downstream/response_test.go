package downstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"pebblelift/balance"
	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
	"pebblelift/internal/sidecar"
)

// The endpoint must get the method, target, forwarded header fields and body of a request unchanged. The client gets
// the body and content type of the response, with its length.
func TestResponseIsForwardedUnchanged(t *testing.T) {
	const target = "/book/%41;x?sid=7f&b=%2F"
	requests := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, body string) bool {
		requests <- req
		bodies <- body
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
		return true
	})
	h := newHarnessWithEndpoints(t, stub.Addr)
	resp, body := h.request("POST " + target + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: t1\r\nX-Qos: book\r\n" +
		"X-Customer: nobody\r\nX-Expires-In: 9000500u\r\nIdempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello")
	if resp.StatusCode != 200 || body != "hi" || resp.ContentLength != 2 || resp.Header.Get("Content-Type") != "a/b" {
		t.Errorf("response %+v with body %q", resp, body)
	}
	req := nettest.Receive(t, requests)
	if req.Method != "POST" || req.RequestURI != target || nettest.Receive(t, bodies) != "hello" ||
		req.Header.Get("X-Trace-Id") != "t1" || req.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("forwarded request %+v", req)
	}
	timeout, err := headers.ParseTimeout(req.Header.Get(headers.Timeout))
	if err != nil || timeout <= 0 || timeout > 9000.5 {
		t.Errorf("forwarded X-Expires-In %q, want at most 9000.5 ms", req.Header.Get("X-Expires-In"))
	}
}

// A request whose trace ID is in use is answered with 409 and not forwarded, so that no second copy of it runs.
func TestDuplicateTraceID(t *testing.T) {
	stub := newHoldingStub(t, "")
	h := newHarnessWithEndpoints(t, stub.Addr)
	c, reader := h.connect()
	io.WriteString(c, idempotentRequest("same"))
	nettest.Receive(t, stub.received)
	if resp, _ := h.request(idempotentRequest("same")); resp.StatusCode != http.StatusConflict {
		t.Errorf("duplicate: status %d, want %d", resp.StatusCode, http.StatusConflict)
	}
	close(stub.release)
	if resp, _ := h.readResponse(reader); resp.StatusCode != 200 || stub.Requests.Load() != 1 {
		t.Errorf("first: status %d, want 200; %d requests forwarded, want 1", resp.StatusCode, stub.Requests.Load())
	}
}

// When a client disconnects, the attempts of its request are canceled and the request is removed from the tables.
func TestClientCancel(t *testing.T) {
	received := make(chan struct{}, 1)
	stub := nettest.NewStubServer(t, func(net.Conn, *http.Request, string) bool {
		received <- struct{}{}
		return true
	})
	h := newHarnessWithEndpoints(t, stub.Addr)
	c, _ := h.connect()
	io.WriteString(c, idempotentRequest("t"))
	nettest.Receive(t, received)
	c.Close()
	nettest.Receive(t, stub.Disconnects)
	nettest.Eventually(t, "the tables are empty", func() bool {
		stats := h.stats()
		return stats.OpenRequests == 0 && stats.OpenTraceIDs == 0
	})
}

// A rejected request is answered with 503 and tells the client when to retry, if that is known. A failed request,
// which may have been executed, is answered with 502 and without Retry-After.
func TestFinalResponses(t *testing.T) {
	for _, test := range []struct {
		name       string
		response   sidecar.Response
		status     int
		retryAfter string
	}{
		{"rejected, retry later", sidecar.Response{Result: balance.Rejected, RetryAfter: 250}, 503, "0.250"},
		{"rejected", sidecar.Response{Result: balance.Rejected}, 503, ""},
		{"failed", sidecar.Response{Result: balance.ServerError}, 502, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			r := finalResponse(test.response)
			if err := r.write(&out); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(&out), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != test.status || resp.Header.Get("Retry-After") != test.retryAfter {
				t.Errorf("status %d, Retry-After %q, want %d and %q",
					resp.StatusCode, resp.Header.Get("Retry-After"), test.status, test.retryAfter)
			}
		})
	}
}

// The sidecar reports itself healthy once it knows an endpoint. Without any endpoint it is unhealthy at first; see
// TestReadyWithinTimeout in package sidecar for what happens later.
func TestHealth(t *testing.T) {
	const health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	h := newHarness(t, nettest.ClosedAddress(t), nettest.CatalogJSON(1, true))
	if resp, _ := h.request(health); resp.StatusCode != 503 {
		t.Errorf("status %d without endpoints, want 503", resp.StatusCode)
	}
	h = newHarnessWithEndpoints(t, nettest.ClosedAddress(t))
	nettest.Eventually(t, "the sidecar is healthy", func() bool {
		resp, _ := h.request(health)
		return resp.StatusCode == 200
	})
}
