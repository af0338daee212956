package kit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is what a client asks of its sidecar.
type Request struct {
	ID, Class, Tenant, Sid, Key, Body string
	Method                            string
	Expires                           time.Duration
}

// Result is what the client saw.
type Result struct {
	Request  Request
	Status   int // 0: no answer
	Body     string
	Err      error
	SentAt   time.Time
	Duration time.Duration
}

// Client is the application beside a sidecar. It sends one request at a time on a connection, keeps its connections,
// and opens more when all of them are busy.
type Client struct {
	Addr     string
	Name     string
	Registry *Registry
	Record   *Record
	// Patience is how long after the time of a request the client still waits before it counts the request as never
	// answered.
	Patience time.Duration

	mu       sync.Mutex
	idle     []*clientConn
	open     int // requests that are open now
	mostOpen int
}

// MostOpen returns the largest number of requests that were open at once.
func (c *Client) MostOpen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mostOpen
}

func (c *Client) countOpen(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	c.mostOpen = max(c.mostOpen, c.open)
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// Do sends a request and waits for its answer. If a kept connection ends without a byte of an answer, the client sends
// the request once more on a new connection.
func (c *Client) Do(r Request) Result {
	c.countOpen(1)
	defer c.countOpen(-1)
	target := "/" + r.Class + "?sid=" + r.Sid
	c.Registry.Add(NewSent(r.ID, r.Method, target, r.Key, r.Body))
	res := Result{Request: r, SentAt: time.Now()}
	res.Status, res.Body, res.Err = c.exchange(r, target)
	res.Duration = time.Since(res.SentAt)
	c.Record.Add("%s %s %s id=%s sent at %.1f: status %d, %d bytes, %v after %.1f ms", c.Name, r.Method, r.Class, r.ID,
		c.Record.Ms(res.SentAt), res.Status, len(res.Body), res.Err, float64(res.Duration.Microseconds())/1000)
	return res
}

func (c *Client) exchange(r Request, target string) (int, string, error) {
	conn, err := c.take()
	if err != nil {
		return 0, "", err
	}
	status, body, untouched, err := c.roundTrip(conn, r, target)
	if err != nil && untouched && conn.used {
		conn.Close()
		c.Record.Add("%s id=%s sent once more on a new connection after %v", c.Name, r.ID, err)
		if conn, err = c.dial(); err != nil {
			return 0, "", err
		}
		status, body, _, err = c.roundTrip(conn, r, target)
	}
	if err != nil {
		conn.Close()
	}
	return status, body, err
}

// roundTrip writes the request and reads the answer. untouched reports that the connection ended without any byte of
// an answer.
func (c *Client) roundTrip(conn *clientConn, r Request, target string) (status int, body string, untouched bool, err error) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In: %dm\r\n",
		r.Method, target, r.ID, r.Class, r.Tenant, r.Expires.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&head, "Idempotency-Key: %s\r\n", r.Key)
	}
	if r.Method != "GET" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	conn.SetDeadline(time.Now().Add(r.Expires + c.Patience))
	if _, err := io.WriteString(conn, head.String()+"\r\n"+r.Body); err != nil {
		return 0, "", true, err
	}
	if _, err := conn.in.Peek(1); err != nil {
		var timeout net.Error
		return 0, "", !(errors.As(err, &timeout) && timeout.Timeout()), err
	}
	resp, err := http.ReadResponse(conn.in, &http.Request{Method: r.Method})
	if err != nil {
		return 0, "", false, err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false, err
	}
	conn.used = true
	if resp.Close {
		conn.Close()
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return resp.StatusCode, string(raw), false, nil
}

func (c *Client) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial()
}

func (c *Client) dial() (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", c.Addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

// Load sends the requests that next returns, at a steady rate, for the given time, and returns all results.
func (c *Client) Load(rate float64, length time.Duration, next func(n int) Request) []Result {
	var mu sync.Mutex
	var results []Result
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		at := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if at.Sub(start) >= length {
			break
		}
		time.Sleep(time.Until(at))
		wg.Go(func() {
			res := c.Do(next(n))
			mu.Lock()
			results = append(results, res)
			mu.Unlock()
		})
	}
	wg.Wait()
	return results
}

var ids atomic.Int64

// NewID returns an id that no request has had before.
func NewID() string { return fmt.Sprintf("%016x", 0x1b1f03aa00000000+ids.Add(1)) }
