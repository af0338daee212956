// Command review2-nolength: some answers of pick servers state no length and end with their connection, closed in order.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
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
	connections = 4
	requests    = 50 // on each connection
	each        = 10 // one answer of so many has no length
)

var (
	whole, forwarded, served, count atomic.Int64
	noLength                        sync.Map // IDs of the requests whose answers have no length
)

// serve runs requests. An answer without a length ends when the pick server closes the connection in order: it ends its
// sending first, and closes once the other side has closed.
func serve(c *kit.Case, server string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		for {
			m, err := kit.ReadMessage(in)
			if err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
			if !c.Trouble || count.Add(1)%each != 0 {
				c.Record.Logf("%s: request %s has run", server, m.ID())
				kit.Answer(conn, 200, "", "id="+m.ID())
				continue
			}
			whole.Add(1)
			noLength.Store(m.ID(), true)
			c.Record.Logf("%s: request %s has run; its answer has no length and comes whole", server, m.ID())
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nid=%s", m.ID())
			conn.(*net.TCPConn).CloseWrite()
			conn.SetReadDeadline(time.Now().Add(time.Second))
			in.Peek(1)
			return
		}
	}
}

func run(c *kit.Case) int {
	var list []kit.Instance
	for i := range 9 {
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
		Limits: kit.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, Known: &known, Settings: json.RawMessage(settings)})
	if err != nil {
		return c.Cannot(err)
	}
	defer s.Kill()
	var done sync.WaitGroup
	for i := range connections {
		done.Add(1)
		go func() {
			defer done.Done()
			send(c, s.Addr, i)
		}()
	}
	done.Wait()
	c.Record.Logf("%d requests served; answers without a length that came whole: %d, forwarded: %d", served.Load(), whole.Load(),
		forwarded.Load())
	if served.Load() == 0 {
		return c.Cannot(fmt.Errorf("no request was served"))
	}
	if 2*forwarded.Load() < whole.Load() {
		c.Breakf("%d of %d answers without a length that came whole were forwarded, half at least are wanted", forwarded.Load(),
			whole.Load())
	}
	return c.Status()
}

// send sends requests, one after the other, and counts those that are served.
func send(c *kit.Case, addr string, number int) {
	var client *kit.Client
	for n := range requests {
		if client == nil {
			var err error
			if client, err = kit.Dial(addr); err != nil {
				c.Record.Logf("client: no connection: %v", err)
				return
			}
		}
		q := &kit.Request{Class: "confirm-pick", ID: fmt.Sprintf("9b1f03aa%04x%04x", number, n), Tenant: "acme", Post: true,
			Expires: 2500 * time.Millisecond, Body: []byte("bin 7")}
		m, err := client.Do(q, 4*time.Second)
		if err != nil || m.Fields["connection"] == "close" {
			client.Close()
			client = nil
		}
		if err != nil {
			c.Record.Logf("client: request %s has no answer: %v", q.ID, err)
			continue
		}
		c.Record.Logf("client: request %s is answered with %s %q", q.ID, m.First, m.Body)
		if m.Status() == 200 && string(m.Body) == "id="+q.ID {
			served.Add(1)
			if _, found := noLength.Load(q.ID); found {
				forwarded.Add(1)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	if client != nil {
		client.Close()
	}
}

func main() { kit.Main(run) }
