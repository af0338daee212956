package kit

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Message is a request or an answer as it stands on a connection.
type Message struct {
	First  string            // the first line
	Fields map[string]string // by name in lower case
	Body   []byte
	At     time.Time // when its last byte came
}

// Status returns the status of an answer, or 0.
func (m *Message) Status() int {
	_, rest, _ := strings.Cut(m.First, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, _ := strconv.Atoi(code)
	return n
}

// Target returns the target of a request.
func (m *Message) Target() string {
	_, rest, _ := strings.Cut(m.First, " ")
	target, _, _ := strings.Cut(rest, " ")
	return target
}

// ID returns the trace ID of a request.
func (m *Message) ID() string { return m.Fields["x-trace-id"] }

// ReadHead reads the first line and the fields of a message.
func ReadHead(in *bufio.Reader) (*Message, error) {
	m := &Message{Fields: map[string]string{}}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			m.At = time.Now()
			return m, nil
		case m.First == "":
			m.First = line
		default:
			name, value, _ := strings.Cut(line, ":")
			m.Fields[strings.ToLower(name)] = strings.TrimSpace(value)
		}
	}
}

// ReadBody reads the body of a message that states its length or is chunked.
func (m *Message) ReadBody(in *bufio.Reader) error {
	defer func() { m.At = time.Now() }()
	if text, found := m.Fields["content-length"]; found {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		m.Body = make([]byte, n)
		_, err = io.ReadFull(in, m.Body)
		return err
	}
	if !strings.EqualFold(m.Fields["transfer-encoding"], "chunked") {
		return nil
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		n, err := strconv.ParseInt(strings.TrimSpace(line), 16, 32)
		if err != nil {
			return err
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(in, chunk); err != nil {
			return err
		}
		if n == 0 {
			return nil
		}
		m.Body = append(m.Body, chunk[:n]...)
	}
}

// ReadMessage reads a whole message.
func ReadMessage(in *bufio.Reader) (*Message, error) {
	m, err := ReadHead(in)
	if err != nil {
		return nil, err
	}
	return m, m.ReadBody(in)
}

// Request is a request of a client.
type Request struct {
	Class, ID, Key, Tenant string
	Query                  string        // without the question mark
	Expires                time.Duration // X-Expires-In
	Body                   []byte
	Post                   bool
}

// Encode returns the request as the protocol page shows it.
func (q *Request) Encode() []byte {
	var b bytes.Buffer
	method := "GET"
	if q.Post {
		method = "POST"
	}
	target := "/" + q.Class
	if q.Query != "" {
		target += "?" + q.Query
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n", method, target, q.ID, q.Class)
	if q.Tenant != "" {
		fmt.Fprintf(&b, "X-Customer: %s\r\n", q.Tenant)
	}
	fmt.Fprintf(&b, "X-Expires-In: %dm\r\n", q.Expires.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", q.Key)
	}
	if q.Post {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// Client is one connection of the application to its sidecar.
type Client struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects to a sidecar.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: c, in: bufio.NewReader(c)}, nil
}

// ErrNoAnswer means that no answer came within the wait.
var ErrNoAnswer = errors.New("no answer")

// Receive reads one answer within the wait.
func (c *Client) Receive(wait time.Duration) (*Message, error) {
	c.SetReadDeadline(time.Now().Add(wait))
	return ReadMessage(c.in)
}

// Do sends a request and reads its answer within the wait.
func (c *Client) Do(q *Request, wait time.Duration) (*Message, error) {
	if _, err := c.Write(q.Encode()); err != nil {
		return nil, err
	}
	return c.Receive(wait)
}

// Pick is a pick server. Handle gets each connection with its reader, and serves it until it returns.
type Pick struct {
	ID, Addr string
	ln       net.Listener
}

// StartPick starts a pick server whose connections are served by handle. A receive buffer above 0 sets the size of that of
// each connection.
func StartPick(id string, receiveBuffer int, handle func(c net.Conn, in *bufio.Reader)) (*Pick, error) {
	lc := net.ListenConfig{}
	if receiveBuffer > 0 {
		lc.Control = receiveBufferOf(receiveBuffer)
	}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pick{ID: id, Addr: ln.Addr().String(), ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReaderSize(c, 16<<10))
			}()
		}
	}()
	return p, nil
}

// Close stops listening.
func (p *Pick) Close() { p.ln.Close() }

// Answer writes an answer with a length.
func Answer(c net.Conn, status int, fields, body string) error {
	text := map[int]string{200: "OK", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}[status]
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, text, fields, len(body), body)
	return err
}

// Reset closes a connection so that the other side sees a reset.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
