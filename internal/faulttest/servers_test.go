package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pebblelift/internal/headers"
)

// pickServer is a stand-in for a pick server.
type pickServer struct {
	addr     string
	runs     *runRecord
	service  time.Duration // how long a request takes
	bodySize int           // size of an answer's body in bytes
	fault    atomic.Value  // one of serverFaults, or the empty string
}

// setFault sets the fault of the server: one of serverFaults, or the empty string.
func (s *pickServer) setFault(fault string) { s.fault.Store(fault) }

// The faults of pick servers.
const (
	serverHangs       = "hangs"
	serverFails       = "answers 500"
	serverResets      = "resets connections"
	serverManyFields  = "answers with many header fields"
	serverEndlessBody = "answers without end"
)

var serverFaults = []string{serverHangs, serverFails, serverResets, serverManyFields, serverEndlessBody}

// runRecord holds when requests began at any pick server, by trace ID.
type runRecord struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// add records that a request has begun.
func (r *runRecord) add(traceID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[traceID] = append(r.runs[traceID], time.Now())
}

// of returns when the request with the given trace ID began.
func (r *runRecord) of(traceID string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[traceID]
}

// startPickServers starts pick servers that share a record.
func startPickServers(t *testing.T, n int, service time.Duration, bodySize int) ([]*pickServer, *runRecord) {
	t.Helper()
	record := &runRecord{runs: map[string][]time.Time{}}
	var servers []*pickServer
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		s := &pickServer{addr: ln.Addr().String(), runs: record, service: service, bodySize: bodySize}
		s.setFault("")
		servers = append(servers, s)
		go s.accept(ln)
	}
	return servers, record
}

func (s *pickServer) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests on one connection.
func (s *pickServer) serve(c net.Conn) {
	defer c.Close()
	body := make([]byte, s.bodySize)
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if id := req.Header.Get(headers.TraceID); id != "" {
			s.runs.add(id)
			time.Sleep(s.service)
		}
		if fault := s.fault.Load().(string); fault != "" {
			misbehave(c, fault)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		if _, err := c.Write(body); err != nil {
			return
		}
	}
}

// misbehave answers a request in the way of a server's fault, or not at all, and returns when the connection ends.
func misbehave(c net.Conn, fault string) {
	switch fault {
	case serverHangs:
		io.Copy(io.Discard, c)
	case serverFails:
		io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	case serverResets:
		c.(*net.TCPConn).SetLinger(0)
	case serverManyFields:
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 100000))
	case serverEndlessBody:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			if _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"); err != nil {
				return
			}
		}
	}
}
