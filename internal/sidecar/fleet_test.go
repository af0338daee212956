package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	fleetSize = 300
	turn      = 8 * time.Millisecond // of discovery, for each call
	giveUp    = 3 * time.Second      // a call that would wait for longer fails
)

// fleetDiscovery is a discovery that takes the calls of many sidecars in turn, in virtual time. While it is down, it does
// with calls what down says.
type fleetDiscovery struct {
	down  string // "": up; "refuse", "reset", "hang" (until it is back) or "head": a head and no more
	late  time.Duration
	list  string
	free  time.Time         // when it has answered all calls so far
	told  map[int]time.Time // when each sidecar got the present list
	open  map[net.Conn]bool
	ended chan struct{} // the end of the present state
	mu    sync.Mutex
}

// turnTo brings another state, and a new list. All open connections end.
func (d *fleetDiscovery) turnTo(down, list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.list, d.told, d.free = down, list, map[int]time.Time{}, time.Now()
	if d.ended != nil {
		close(d.ended)
	}
	d.ended = make(chan struct{})
	for c := range d.open {
		c.Close()
	}
	d.open = map[net.Conn]bool{}
}

// dial connects a sidecar.
func (d *fleetDiscovery) dial(ctx context.Context, number int) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down == "refuse" {
		return nil, errors.New("refused")
	}
	theirs, ours := net.Pipe()
	d.open[ours] = true
	go d.serve(ours, number, d.down, d.ended)
	return theirs, nil
}

func (d *fleetDiscovery) serve(c net.Conn, number int, down string, ended chan struct{}) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil || down == "reset" {
		return
	}
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(gone) }()
	pause := func(t time.Duration) bool {
		select {
		case <-time.After(t):
			return true
		case <-ended:
		case <-gone:
		}
		return false
	}
	if down == "head" {
		io.WriteString(c, head)
	}
	if down != "" {
		pause(time.Hour)
		return
	}
	d.mu.Lock()
	now := time.Now()
	if d.free.Before(now) {
		d.free = now
	}
	wait, list := d.free.Sub(now)+turn, d.list
	if wait <= giveUp {
		d.free = d.free.Add(turn)
	}
	d.mu.Unlock()
	if wait > giveUp {
		pause(giveUp)
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if !pause(wait + d.late) {
		return
	}
	if _, err := fmt.Fprintf(c, "%s%x\r\n%s\n\r\n", head, len(list)+1, list); err != nil {
		return
	}
	d.mu.Lock()
	if _, before := d.told[number]; !before && d.list == list {
		d.told[number] = time.Now()
	}
	d.mu.Unlock()
	for pause(2 * time.Second) {
		io.WriteString(c, "1\r\n\n\r\n")
	}
}

// lists is how many sidecars have the present list, and when the last one got it.
func (d *fleetDiscovery) lists() (n int, last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.told {
		if at.After(last) {
			last = at
		}
	}
	return len(d.told), last
}

// start runs a fleet of sidecars, without their clients, until the end of the test.
func (d *fleetDiscovery) start(t *testing.T, known string) (fleet []*Loop, stop func()) {
	t.Helper()
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for n := range fleetSize {
		settings := fmt.Sprintf(`{"classes": [{"name": "look", "effect": "read_like", "hard_limit_ms": 1000}],
			"discovery": "subscribe", "my_number": %d, "peers_total": %d, "rules": {"ask_within_ms": 20000}}`, n, fleetSize)
		cfg, err := ParseConfig([]byte(fmt.Sprintf(
			`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"%x","known":%s,"settings":%s}`, n+1, known, settings)))
		if err != nil {
			t.Fatal(err)
		}
		l := NewLoop(NewClock(), &cfg, slog.New(slog.DiscardHandler))
		l.discovery.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return d.dial(ctx, n)
		}
		fleet = append(fleet, l)
		running.Go(func() { l.Run(ctx) })
	}
	return fleet, func() {
		end()
		running.Wait()
		d.turnTo("refuse", "")
	}
}

// However long discovery was away and whatever it did with calls meanwhile, each of 300 sidecars that call it in turn has
// the list, and what changed, within 6 s of its return.
func TestFleetReceivesCatalogSoonAfterDiscoveryRecovers(t *testing.T) {
	for _, down := range []string{"refuse", "reset", "hang", "head"} {
		for _, away := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 20 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				d := &fleetDiscovery{late: 100 * time.Millisecond}
				d.turnTo("", catalogJSON(1, true, instanceJSON("s-0", "127.0.0.1:1", "up")))
				_, stop := d.start(t, cachedCatalogJSON("127.0.0.1:1"))
				defer stop()
				time.Sleep(20 * time.Second)
				if n, _ := d.lists(); n < fleetSize {
					t.Errorf("%d of %d sidecars have a list after 20 s", n, fleetSize)
				}
				d.turnTo(down, "")
				time.Sleep(away)
				d.turnTo("", catalogJSON(2, true, instanceJSON("s-0", "127.0.0.1:1", "draining")))
				back := time.Now()
				time.Sleep(30 * time.Second)
				n, at := d.lists()
				if last := at.Sub(back); n < fleetSize || last > 6*time.Second {
					t.Errorf("%s for %v: %d of %d sidecars have the list, the last %v after the return", down, away, n, fleetSize, last)
				}
			})
		}
	}
}

// All processes of a fleet that start at once are ready within 10 s, whatever discovery does and whatever they know.
func TestReadyWithinTimeout(t *testing.T) {
	for _, down := range []string{"", "refuse", "hang", "head"} {
		for name, known := range map[string]string{
			"a list": cachedCatalogJSON("127.0.0.1:1"), "an empty one": catalogJSON(1, true), "none": "null",
			"an old one": catalogJSON(1, true, instanceJSON("gone", "127.0.0.1:2", "draining")),
		} {
			synctest.Test(t, func(t *testing.T) {
				d := &fleetDiscovery{}
				d.turnTo(down, catalogJSON(2, true, instanceJSON("s-0", "127.0.0.1:1", "up")))
				if down == "" {
					d.late = 20 * time.Second // overrun: none gets an answer in time
				}
				fleet, stop := d.start(t, known)
				defer stop()
				time.Sleep(10 * time.Second)
				ready := 0
				for _, l := range fleet {
					if l.ready.Load() {
						ready++
					}
				}
				if ready < fleetSize*9/10 {
					t.Errorf("discovery %q, known %s: %d of %d are ready after 10 s", down, name, ready, fleetSize)
				}
			})
		}
	}
}
