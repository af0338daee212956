package downstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pebblelift/internal/headers"
	"pebblelift/internal/nettest"
)

// No text inside the body of a message is forwarded as a request, wherever on its connection the message stands and in
// whatever parts it arrives. Guards against two ways past the check of the length, both for messages that arrive
// before the previous one is answered: HTTP/1.0 with Transfer-Encoding, and a head of which only the end was recorded.
func TestRequestInsideBodyIsNotForwarded(t *testing.T) {
	const health = "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	inner := nonIdempotentRequest("inner")
	fields := "Host: app.svc\r\nX-Trace-Id: outer\r\nX-Qos: once\r\nX-Expires-In: 9000m\r\n"
	emptyChunk := "0\r\n\r\n"
	chunkSize := fmt.Sprintf("%x\r\n", len(inner))
	const requestLine = "POST /once HTTP/1.1\r\n"
	messages := map[string][]string{ // the parts of each message
		"two lengths": {requestLine + fields + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n",
			len(emptyChunk+inner)) + emptyChunk + inner},
		"two lengths, a part like a head": {
			requestLine + fields + fmt.Sprintf("Content-Length: %d\r\nX-Other: ", len(emptyChunk+inner)),
			requestLine + "Transfer-Encoding: chunked\r\n\r\n" + emptyChunk + inner,
		},
		"HTTP/1.0": {"POST /once HTTP/1.0\r\nConnection: keep-alive\r\n" + fields +
			fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", len(chunkSize)) +
			chunkSize + inner + "\r\n" + emptyChunk},
		"folded coding": {requestLine + fields + fmt.Sprintf("Transfer-Encoding:\r\n chunked\r\nContent-Length: %d\r\n\r\n",
			len(emptyChunk+inner)) + emptyChunk + inner},
	}
	traceIDs := make(chan string, 100)
	stub := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		traceIDs <- req.Header.Get(headers.TraceID)
		io.WriteString(c, nettest.OKResponse)
		return true
	})
	h := newHarnessWithEndpoints(t, stub.Addr)
	for name, parts := range messages {
		for position, ahead := range map[string]string{"first": "", "sent ahead": health, "second ahead": health + health} {
			c, reader := h.connect()
			io.WriteString(c, ahead+parts[0])
			for range strings.Count(ahead, health) {
				h.readResponse(reader)
			}
			for _, part := range parts[1:] {
				io.WriteString(c, part)
			}
			if resp, _ := h.readResponse(reader); resp.StatusCode != 400 || !resp.Close {
				t.Errorf("%s, %s: status %d, close %v, want 400 and close", name, position, resp.StatusCode, resp.Close)
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("%s, %s: error %v after the response, want the end of the connection", name, position, err)
			}
		}
	}
	for range len(traceIDs) {
		t.Errorf("request %q was forwarded, want none", <-traceIDs)
	}
}

// Proper messages are served, wherever on their connection they stand: with or without a body, chunked or not.
func TestProperMessagesSentAheadAreServed(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	h := newHarnessWithEndpoints(t, stub.Addr)
	chunked := strings.Replace(nonIdempotentRequest("chunked"), "Content-Length: 0\r\n\r\n",
		"transfer-encoding: Chunked\r\n\r\n2;name=value\r\nhi\r\n0\r\nX-Trailer: x\r\n\r\n", 1)
	withBody := strings.Replace(nonIdempotentRequest("body"), "Content-Length: 0\r\n\r\n",
		"Content-Length: 5\r\n\r\nhello", 1)
	usual := idempotentRequest("a") + chunked + withBody + "\r\n" + strings.Replace(chunked, "chunked", "again", 1) +
		idempotentRequest("b")
	for _, partSize := range []int{1, 7, len(usual) + 100} {
		// A non-idempotent request is served once for each trace ID.
		stream := strings.ReplaceAll(usual, "X-Trace-Id: ", fmt.Sprintf("X-Trace-Id: %d-", partSize))
		c, reader := h.connect()
		go func() {
			for part := range slices.Chunk([]byte(stream), partSize) {
				c.Write(part)
			}
		}()
		for i := range 5 {
			if resp, body := h.readResponse(reader); resp.StatusCode != 200 || body != "hi" {
				t.Fatalf("parts of %d bytes, request %d: status %d, body %q, want 200 and hi", partSize, i, resp.StatusCode, body)
			}
		}
	}
}

// For any bytes of a client, each request that the parser finds is one that net/http finds at the same place, with the
// same target and body. Whatever follows a message that the parser rejects is not read as a request at all.
func FuzzParser(f *testing.F) {
	const start = "POST /a HTTP/1.1\r\nHost: x\r\n"
	for _, stream := range []string{
		start + "Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n1;x=y \r\na\r\n0\r\nX: y\r\n z\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\n\nGET / HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "X: y\r\n Content-Length: 3\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "Content-Length:\r\n 3\r\n\r\nabcGET / HTTP/1.1\nHost: x\n\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		start + "Transfer-Encoding: chunked\r\n\r\n0\r\nno field\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET relative HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"\r\n" + start + "Content-Length: 0\r\n\r\n\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		for _, partSize := range []uint8{1, 5, 255} {
			f.Add([]byte(stream), partSize)
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, partSize uint8) {
		reader := bufio.NewReader(bytes.NewReader(stream))
		for _, got := range parseStream(stream, int(partSize)) {
			skipLineBreaks(reader)
			want, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatalf("%q: the parser found %q, net/http error %v", stream, got.target, err)
			}
			body, err := io.ReadAll(want.Body)
			if err != nil || got.method != want.Method || got.target != want.RequestURI || got.body != string(body) {
				t.Fatalf("%q: the parser found %+v, net/http %s %s with body %q and error %v",
					stream, got, want.Method, want.RequestURI, body, err)
			}
		}
	})
}

// parsedMessage is a message that the parser has found.
type parsedMessage struct{ method, target, body string }

// parseStream passes a stream to a parser in parts and returns the messages up to the first error.
func parseStream(stream []byte, partSize int) (messages []parsedMessage) {
	var p parser
	for part := range slices.Chunk(stream, max(1, partSize)) {
		p.store(part, p.sizeFor(len(part)))
		for {
			if p.head == nil {
				if head, err := p.readHead(); err != nil {
					return messages
				} else if head == nil {
					break
				}
			}
			head := p.head
			body, complete, err := p.readBody()
			if err != nil {
				return messages
			}
			if !complete {
				break
			}
			messages = append(messages, parsedMessage{head.method, head.target, string(body)})
		}
	}
	return messages
}

// skipLineBreaks skips the empty lines that the parser skips before a message.
func skipLineBreaks(reader *bufio.Reader) {
	for {
		peeked, _ := reader.Peek(2)
		switch {
		case bytes.HasPrefix(peeked, []byte("\n")):
			reader.Discard(1)
		case bytes.HasPrefix(peeked, []byte("\r\n")):
			reader.Discard(2)
		default:
			return
		}
	}
}
