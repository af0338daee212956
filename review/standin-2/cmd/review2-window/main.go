// Command review2-window: a keyed request whose first attempt may have run is sent again while the next pick server hangs.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"review2/kit"
)

const settings = `{"classes": [
 {"name": "close-tote", "effect": "idempotency_key", "group": "zone", "window_ms": 1200, "on_time_ms": 750,
  "hard_limit_ms": 2000, "worth": 2, "late_worth": 0, "stream": false}],
 "tenants": [{"name": "acme", "share": 1, "allowance_per_s": 100}], "zones": ["a", "b"], "kinds": ["m1"],
 "clients": {"marks_retry": true}, "discovery": "subscribe", "weights": "nominal", "my_number": 0, "peers_total": 2,
 "limits": {"cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 100, "max_attempts": 6, "probes": false,
  "parallel_tries": false, "retry_after": true, "max_retry_after_ms": 1200, "streams_per_conn": 1},
 "report": {"fields": [], "via": "silent"},
 "rules": {"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.12, "cold_ms": 23000,
  "drain_grace_ms": 1500, "fall_ms": 2000, "fall_multiple": 2.5}}`

const (
	window   = 1200 * time.Millisecond
	slack    = 200 * time.Millisecond // 0.05 s of the protocol page and 0.15 s of the standing test
	failsAt  = 600 * time.Millisecond
	hangsFor = 1600 * time.Millisecond
	requests = 8
	picks    = 6
	hanging  = picks / 2 // a quarter to a half of the pick servers hang
	bodySize = 64 << 10
	// receiveBuffer is the size of the pick servers' receive buffers. The sidecar gives its own sockets smaller ones.
	receiveBuffer = 16 << 10
	// sendBuffer is more than the system holds for a connection of the sidecar's behind its write.
	sendBuffer = 20 << 10
)

// arrival is one attempt at a pick server.
type arrival struct {
	server string
	last   time.Time // when its last byte had come
	behind bool      // see hangingConn
}

type world struct {
	c       *kit.Case
	mu      sync.Mutex
	byID    map[string][]arrival
	begun   map[string]string    // the server of the first attempt, by ID
	hangs   map[string]time.Time // until when a server hangs
	servers []string
}

func (w *world) hungUntil(server string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hangs[server]
}

// hangingConn is a connection from which a pick server doesn't read while it hangs.
type hangingConn struct {
	net.Conn
	w      *world
	server string
	behind bool // so much of the message was missing at the end of the hang that the sidecar had not written its last byte
}

func (h *hangingConn) Read(p []byte) (int, error) {
	for wait := time.Until(h.w.hungUntil(h.server)); wait > 0; wait = time.Until(h.w.hungUntil(h.server)) {
		time.Sleep(wait)
		came := kit.Unread(h.Conn)
		h.behind = came > 0 && came < bodySize-sendBuffer
		h.w.c.Record.Logf("%s reads again after its hang; %d bytes had come on %s", h.server, came, h.RemoteAddr())
	}
	n, err := h.Conn.Read(p)
	return n, err
}

func (w *world) serve(server string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, _ *bufio.Reader) {
		h := &hangingConn{Conn: conn, w: w, server: server}
		in := bufio.NewReader(h)
		for {
			h.behind = false
			if _, err := in.Peek(1); err != nil {
				return
			}
			m, err := kit.ReadHead(in)
			if err != nil {
				return
			}
			if err := m.ReadBody(in); err != nil {
				w.c.Record.Logf("%s: request %s is not whole: %v", server, m.ID(), err)
				return
			}
			w.mu.Lock()
			isFirst := len(w.byID[m.ID()]) == 0
			w.byID[m.ID()] = append(w.byID[m.ID()], arrival{server, m.At, h.behind})
			if isFirst && w.c.Trouble {
				others := slices.DeleteFunc(slices.Clone(w.servers), func(s string) bool { return s == server })
				rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
				for _, s := range others[:hanging] {
					w.hangs[s] = m.At.Add(hangsFor)
				}
				w.c.Record.Logf("%v hang for %d ms", others[:hanging], hangsFor.Milliseconds())
			}
			w.mu.Unlock()
			w.c.Record.Logf("%s: the last byte of request %s has come (X-Expires-In %s), it runs", server, m.ID(), m.Fields["x-expires-in"])
			if isFirst {
				time.Sleep(time.Until(m.At.Add(failsAt)))
				w.c.Record.Logf("%s: request %s gets 500", server, m.ID())
				kit.Answer(conn, 500, "", "error")
				continue
			}
			kit.Answer(conn, 200, "", "done")
		}
	}
}

func run(c *kit.Case) int {
	w := &world{c: c, byID: map[string][]arrival{}, hangs: map[string]time.Time{}}
	var list []kit.Instance
	for i := range picks {
		id := fmt.Sprintf("s-%d", i)
		w.servers = append(w.servers, id)
		p, err := kit.StartPick(id, receiveBuffer, w.serve(id))
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
		Limits: kit.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, Known: &known, Settings: json.RawMessage(settings)})
	if err != nil {
		return c.Cannot(err)
	}
	defer s.Kill()
	for i := range requests {
		id := fmt.Sprintf("9b1f03aa5c7e%04x", i)
		client, err := kit.Dial(s.Addr)
		if err != nil {
			return c.Cannot(err)
		}
		q := &kit.Request{Class: "close-tote", ID: id, Key: fmt.Sprintf("tote-%d", i), Tenant: "acme", Post: true,
			Expires: 2 * time.Second, Body: bytes.Repeat([]byte("t"), bodySize)}
		c.Record.Logf("client: sends request %s, body of %d bytes", id, len(q.Body))
		answer, err := client.Do(q, 3*time.Second)
		if err != nil {
			c.Record.Logf("client: request %s has no answer: %v", id, err)
		} else {
			c.Record.Logf("client: request %s is answered with %s", id, answer.First)
		}
		client.Close()
		time.Sleep(time.Second)
		w.mu.Lock()
		arrivals := w.byID[id]
		w.mu.Unlock()
		for _, a := range arrivals[min(1, len(arrivals)):] {
			late := a.last.Sub(arrivals[0].last)
			if late > window+slack && a.behind {
				c.Breakf("request %s ran at %s and again at %s, %d ms later; the window is %d ms", id, arrivals[0].server,
					a.server, late.Milliseconds(), window.Milliseconds())
			}
		}
	}
	return c.Status()
}

func main() { kit.Main(run) }
