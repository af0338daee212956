// Command review2-crowd: idle peers fill the descriptors while an application sends requests, some of them long.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"review2/kit"
)

const settings = `{"classes": [
 {"name": "confirm-pick", "effect": "non_idempotent", "group": "all", "window_ms": 5000, "on_time_ms": 750,
  "hard_limit_ms": 2500, "worth": 2, "late_worth": 0, "stream": false}],
 "tenants": [{"name": "acme", "share": 1, "allowance_per_s": 1000}], "zones": ["a", "b"], "kinds": ["m1"],
 "clients": {"marks_retry": true}, "discovery": "subscribe", "weights": "nominal", "my_number": 0, "peers_total": 2,
 "limits": {"cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 100, "max_attempts": 6, "probes": false,
  "parallel_tries": false, "retry_after": true, "max_retry_after_ms": 1200, "streams_per_conn": 1},
 "report": {"fields": [], "via": "silent"},
 "rules": {"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.12, "cold_ms": 23000,
  "drain_grace_ms": 1500, "fall_ms": 2000, "fall_multiple": 2.5}}`

const (
	memoryMB    = 32
	descriptors = 1024
	connections = 120         // of the application, which may use a third of the descriptors
	idlePeers   = 800         // more than there is room for beside the application
	begins      = time.Second // until the idle peers come
	lasts       = 12 * time.Second
	expires     = 1250 * time.Millisecond // half of the deadline: a client gives up a try after 40 to 55% of it
	crossing    = 50 * time.Millisecond   // a close that comes sooner may have crossed the request
	rest        = 60 * time.Millisecond   // the longest rest of a connection between two requests
	longSize    = 64 << 10
	longShare   = 0.5
	shortSize   = 200
)

// serve answers requests after 110 to 210 ms.
func serve(c *kit.Case, server string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		for {
			m, err := kit.ReadMessage(in)
			if err != nil {
				return
			}
			c.Record.Logf("%s: request %s has come (X-Expires-In %s), it runs", server, m.ID(), m.Fields["x-expires-in"])
			time.Sleep(time.Duration(110+rand.IntN(100)) * time.Millisecond)
			kit.Answer(conn, 200, "", "id="+m.ID())
		}
	}
}

func run(c *kit.Case) int {
	var list []kit.Instance
	for i := range 10 {
		id := fmt.Sprintf("s-%d", i)
		p, err := kit.StartPick(id, 0, serve(c, id))
		if err != nil {
			return c.Cannot(err)
		}
		list = append(list, kit.Up(id, p.Addr, "a", 1))
	}
	d, err := kit.StartDiscovery(c.Record, list...)
	if err != nil {
		return c.Cannot(err)
	}
	known := d.Known()
	s, err := kit.StartSidecar(c.Root, c.Dir, c.Record, kit.Config{Name: "n0", Discovery: d.Addr,
		Limits: kit.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: descriptors}, Known: &known,
		Settings: json.RawMessage(settings)})
	if err != nil {
		return c.Cannot(err)
	}
	defer s.Kill()
	end := time.Now().Add(lasts)
	var done sync.WaitGroup
	for i := range connections {
		done.Add(1)
		go func() {
			defer done.Done()
			send(c, s.Addr, i, end)
		}()
	}
	time.Sleep(begins)
	for i := 0; c.Trouble && i < idlePeers; i++ {
		go idle(s.Addr, end, i%2 == 0)
	}
	done.Wait()
	c.Record.Logf("%d requests answered, %d taken and lost", answered.Load(), lost.Load())
	if answered.Load() < connections {
		return c.Cannot(fmt.Errorf("%d requests answered", answered.Load()))
	}
	return c.Status()
}

// idle is a peer that connects and sends nothing, again and again.
func idle(addr string, end time.Time, begins bool) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if begins {
			fmt.Fprint(conn, "POST /confirm-pick HTTP/1.1\r\nHost")
		}
		conn.SetReadDeadline(end)
		conn.Read(make([]byte, 512))
		conn.Close()
	}
}

// send sends one request after the other on a connection, until the end. A connection that the sidecar has closed is opened
// anew.
func send(c *kit.Case, addr string, number int, end time.Time) {
	random := rand.New(rand.NewPCG(1, uint64(number)))
	var client *kit.Client
	used := false // an answer has come on the connection
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(random.Int64N(int64(rest))))
		if client == nil {
			var err error
			if client, err = kit.Dial(addr); err != nil {
				client = nil
				continue
			}
			used = false
		}
		size := shortSize
		if random.Float64() < longShare {
			size = longSize
		}
		q := &kit.Request{Class: "confirm-pick", ID: fmt.Sprintf("9b1f03aa%04x%04x", number, n), Tenant: "acme", Post: true,
			Expires: expires, Body: bytes.Repeat([]byte("t"), size)}
		if stays := exchange(c, client, q, used); !stays {
			client.Close()
			client = nil
		}
		used = true
	}
	if client != nil {
		client.Close()
	}
}

// exchange sends a request and judges whether it is answered. It reports whether the connection stays. Only requests on
// connections that have been used before are judged.
func exchange(c *kit.Case, client *kit.Client, q *kit.Request, used bool) bool {
	if _, err := client.Write(q.Encode()); err != nil {
		c.Record.Logf("client: request %s could not be written whole: %v", q.ID, err)
		return false
	}
	written := time.Now()
	m, err := client.Receive(5 * time.Second)
	took := time.Since(written)
	switch {
	case err == nil:
		answered.Add(1)
		c.Record.Logf("client: request %s (%d bytes) is answered after %d ms: %s", q.ID, len(q.Body), took.Milliseconds(), m.First)
		return m.Fields["connection"] != "close"
	case took < crossing:
		c.Record.Logf("client: request %s crossed the end of its connection: %v", q.ID, err)
	case !used:
		c.Record.Logf("client: request %s, the first on its connection, has no answer after %d ms: %v", q.ID, took.Milliseconds(), err)
	default:
		lost.Add(1)
		c.Breakf("request %s (%d bytes), not the first on its connection, has no answer after %d ms: %v", q.ID, len(q.Body),
			took.Milliseconds(), err)
	}
	return false
}

var answered, lost atomic.Int64

func main() { kit.Main(run) }
