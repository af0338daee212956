package kit

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sent is a request as a client sent it, as a request of its own.
type Sent struct {
	ID, Method, Target, Key string
	BodyLength              int
	BodyHash                uint64
}

// NewSent returns the form of a request.
func NewSent(id, method, target, key, body string) Sent {
	h := fnv.New64a()
	io.WriteString(h, body)
	return Sent{ID: id, Method: method, Target: target, Key: key, BodyLength: len(body), BodyHash: h.Sum64()}
}

// Registry holds all requests that clients sent as requests of their own.
type Registry struct {
	mu   sync.Mutex
	sent map[string]Sent
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{sent: map[string]Sent{}} }

// Add registers a request before its first byte is sent.
func (g *Registry) Add(s Sent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent[s.ID] = s
}

// Knows reports whether a client sent this request in this form.
func (g *Registry) Knows(s Sent) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.sent[s.ID]
	return ok && known == s
}

// Arrival is a request whose last byte has come to a pick server.
type Arrival struct {
	At, FirstByte time.Time
	Server        string
	Sent          Sent
	Known         bool // a client sent this request in this form
}

// PickServer is a stand-in for a pick server.
type PickServer struct {
	Name     string
	Addr     string
	Registry *Registry
	Record   *Record
	// Service returns the time that a request takes.
	Service func(class string) time.Duration
	// Answer writes the answer to a request instead of the ordinary 200, if it is set. It reports whether the
	// connection stays open.
	Answer func(c net.Conn, s Sent) bool

	inFlight atomic.Int32
	mu       sync.Mutex
	arrivals []Arrival
	conns    map[net.Conn]bool
	listener net.Listener
}

// End ends the pick server as the end of its process does: new connections are refused and the open ones are reset.
func (p *PickServer) End() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// InHand returns how many requests the pick server has now.
func (p *PickServer) InHand() int { return int(p.inFlight.Load()) }

func (p *PickServer) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[net.Conn]bool{}
	}
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// Start listens on a free loopback port and serves.
func (p *PickServer) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener, p.Addr = ln, ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

// Arrivals returns all requests that have come so far.
func (p *PickServer) Arrivals() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Arrival(nil), p.arrivals...)
}

// serve answers the requests on one connection.
func (p *PickServer) serve(c net.Conn) {
	p.track(c, true)
	defer p.track(c, false)
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !p.handle(c, req, string(body), firstByte) || req.Close {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (p *PickServer) handle(c net.Conn, req *http.Request, body string, firstByte time.Time) bool {
	if req.URL.Path == "/ping" || req.URL.Path == "/_load" {
		report := fmt.Sprintf("TEXT busy=0.10, rif=%d", p.inFlight.Load())
		return respond(c, "200 OK", "Endpoint-Load-Metrics: "+report+"\r\n", report)
	}
	s := NewSent(req.Header.Get("X-Trace-Id"), req.Method, req.RequestURI, req.Header.Get("Idempotency-Key"), body)
	if s.ID == "" {
		return respond(c, "404 Not Found", "", "no id")
	}
	a := Arrival{At: time.Now(), FirstByte: firstByte, Server: p.Name, Sent: s, Known: p.Registry.Knows(s)}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, a)
	p.mu.Unlock()
	p.Record.AddAt(a.At, "%s got %s %s id=%s body=%d known=%v", p.Name, s.Method, s.Target, s.ID, len(body), a.Known)
	if !a.Known {
		return respond(c, "400 Bad Request", "", "no client sent this")
	}
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	time.Sleep(p.Service(class))
	if p.Answer != nil {
		return p.Answer(c, s)
	}
	return respond(c, "200 OK", "", ServedBody(s.ID))
}

// ServedBody returns the body of a pick server's 200 answer to the request with the given id.
func ServedBody(id string) string { return "served " + id }

// respond writes an answer with its length.
func respond(c net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}
