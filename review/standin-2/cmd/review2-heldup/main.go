// Command review2-heldup: the sidecar is held up now and then, and some pick servers answer a request a second time.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review2/kit"
)

const settings = `{"classes": [
 {"name": "next-pick", "effect": "read_like", "group": "all", "window_ms": 5000, "on_time_ms": 400,
  "hard_limit_ms": 2000, "worth": 5, "late_worth": 0, "stream": false},
 {"name": "confirm-pick", "effect": "non_idempotent", "group": "all", "window_ms": 5000, "on_time_ms": 750,
  "hard_limit_ms": 2500, "worth": 2, "late_worth": 0, "stream": false}],
 "tenants": [{"name": "acme", "share": 1, "allowance_per_s": 2000}], "zones": ["a", "b"], "kinds": ["m1"],
 "clients": {"marks_retry": true}, "discovery": "subscribe", "weights": "nominal", "my_number": 0, "peers_total": 2,
 "limits": {"cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 100, "max_attempts": 6, "probes": false,
  "parallel_tries": false, "retry_after": true, "max_retry_after_ms": 1200, "streams_per_conn": 1},
 "report": {"fields": [], "via": "silent"},
 "rules": {"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.12, "cold_ms": 23000,
  "drain_grace_ms": 1500, "fall_ms": 2000, "fall_multiple": 2.5}}`

const (
	connections = 128 // a third of the descriptors
	lasts       = 80 * time.Second
	enough      = 3 // foreign answers after which the case ends
	heldUp      = 140 * time.Millisecond
	longestHold = 149 * time.Millisecond // up to 0.15 s are allowed
	between     = 150 * time.Millisecond // the mean time between two hold-ups
	secondShare = 0.1                    // of the answers that come twice
	secondLate  = 5 * time.Millisecond   // the longest time until the second one
)

var (
	foreign, served, seconds atomic.Int64
	tooLong                  atomic.Bool // a hold-up took longer than the pages allow
)

// serve answers requests, some of them twice. Each answer names the request that it belongs to.
func serve(c *kit.Case, server string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		for {
			m, err := kit.ReadMessage(in)
			if err != nil {
				return
			}
			c.Record.Logf("%s: request %s has come on %s, it runs", server, m.ID(), conn.RemoteAddr())
			time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			kit.Answer(conn, 200, "", "id="+m.ID())
			if c.Trouble && rand.Float64() < secondShare {
				late := time.Duration(rand.Int64N(int64(secondLate)))
				time.Sleep(late)
				seconds.Add(1)
				c.Record.Logf("%s: request %s is answered a second time on %s, %.1f ms late", server, m.ID(), conn.RemoteAddr(),
					float64(late.Microseconds())/1000)
				kit.Answer(conn, 200, "", "id="+m.ID())
			}
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
		Limits: kit.Limits{Cores: 1, MemoryMB: 64, Sockets: 384}, Known: &known, Settings: json.RawMessage(settings)})
	if err != nil {
		return c.Cannot(err)
	}
	defer s.Kill()
	end := time.Now().Add(lasts)
	if !c.Trouble {
		end = time.Now().Add(lasts / 4)
	}
	goOn := func() bool { return time.Now().Before(end) && foreign.Load() < enough && !tooLong.Load() }
	var done sync.WaitGroup
	for i := range connections {
		done.Add(1)
		go func() {
			defer done.Done()
			send(c, s.Addr, i, goOn)
		}()
	}
	for c.Trouble && goOn() {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * between))))
		s.Signal(syscall.SIGSTOP)
		stopped := time.Now()
		time.Sleep(heldUp)
		took := time.Since(stopped)
		if took > longestHold {
			c.Record.Logf("a hold-up took %v, the case ends early", took)
			tooLong.Store(true) // what comes from now on doesn't count
		}
		s.Signal(syscall.SIGCONT)
	}
	done.Wait()
	c.Record.Logf("%d requests served, %d answered twice by pick servers, %d foreign answers", served.Load(), seconds.Load(),
		foreign.Load())
	if foreign.Load() == 0 && (tooLong.Load() || served.Load() < 1000) {
		return c.Cannot(fmt.Errorf("%d requests served", served.Load()))
	}
	return c.Status()
}

// send sends one request after the other on a connection and compares the answers with the requests.
func send(c *kit.Case, addr string, number int, goOn func() bool) {
	var client *kit.Client
	for n := 0; goOn(); n++ {
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		if client == nil {
			var err error
			if client, err = kit.Dial(addr); err != nil {
				client = nil
				continue
			}
		}
		q := &kit.Request{Class: "next-pick", ID: fmt.Sprintf("9b1f03aa%04x%04x", number, n), Tenant: "acme",
			Expires: 2 * time.Second}
		if n%2 == 1 {
			q.Class, q.Post, q.Body = "confirm-pick", true, fmt.Appendf(nil, "bin %d", number)
		}
		m, err := client.Do(q, 3*time.Second)
		if err != nil {
			c.Record.Logf("client: request %s has no answer: %v", q.ID, err)
			client.Close()
			client = nil
			continue
		}
		c.Record.Logf("client: request %s (%s) is answered with %s %q", q.ID, q.Class, m.First, m.Body)
		if m.Status() == 200 {
			served.Add(1)
			if string(m.Body) != "id="+q.ID && !tooLong.Load() {
				foreign.Add(1)
				c.Breakf("request %s (%s) is answered with %s %q", q.ID, q.Class, m.First, m.Body)
			}
		}
		if m.Fields["connection"] == "close" {
			client.Close()
			client = nil
		}
	}
	if client != nil {
		client.Close()
	}
}

func main() { kit.Main(run) }
