package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebblelift/balance"
)

// However a watch goes wrong, it ends with an error, and what came before was told.
func TestWatchErrors(t *testing.T) {
	list := catalogJSON(7, true, instanceJSON("s", "127.0.0.1:1", "up"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(list), "", "  "); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		answer string
		stays  bool
		told   int
	}{
		"refused":         {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, 0},
		"ended":           {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n\n", false, 1},
		"silent":          {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n", true, 1},
		"indented":        {"HTTP/1.1 200 OK\r\n\r\n\n" + indented.String() + "\n\n" + indented.String() + "\n", false, 2},
		"half a message":  {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n" + list[:20] + "\n\n\n", true, 1},
		"no JSON":         {"HTTP/1.1 200 OK\r\n\r\n" + list + "\n{", false, 1},
		"another object":  {"HTTP/1.1 200 OK\r\n\r\n{}\n", false, 0},
		"unknown state":   {"HTTP/1.1 200 OK\r\n\r\n" + strings.Replace(list, `"up"`, `"odd"`, 1) + "\n", false, 0},
		"no address":      {"HTTP/1.1 200 OK\r\n\r\n" + strings.Replace(list, `127.0.0.1:1`, ``, 1) + "\n", false, 0},
		"nothing":         {"", false, 0},
		"not even a head": {"nonsense", false, 0},
	} {
		p := newStubServer(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(conn, c.answer)
			return c.stays
		})
		d := newDiscoveryClient(p.addr)
		d.stallTimeout = 20 * time.Millisecond
		told := 0
		err := d.watch(context.Background(), 1, testTimeout, func(got Catalog) {
			if told++; got.Generation != 7 || !got.Reset || len(got.Instances) != 1 {
				t.Errorf("%s: %+v", name, got)
			}
		})
		if err == nil || told != c.told {
			t.Errorf("%s: error %v, %d lists", name, err, told)
		}
	}
}

// A dead watch must be given up, and the next one begun, before its news counts as told after 6 s, also where the call
// in between gets no answer, or an answer that begins and tells nothing.
func TestStalledWatchIsDetected(t *testing.T) {
	if watchStallTimeout <= 2*time.Second {
		t.Errorf("%v, where an empty line comes every 2 s", watchStallTimeout)
	}
	for kind, name := range map[balance.UpdateKind]string{balance.WatchFailed: "no answer", balance.WatchStalled: "half an answer"} {
		worst := 0.0
		for seed := range uint64(50) {
			b := balance.New(balance.Config{Seed: seed, PeerCount: 8, Subscribe: true, PollInterval: 10000, Classes: make([]balance.Class, 1)})
			b.Start(0)
			spent, now := float64(watchStallTimeout/time.Millisecond), 0.0
			tell := func(ev balance.Event) (at float64) {
				actions, err := b.Handle(now, ev)
				if err != nil || len(actions) != 1 {
					t.Fatalf("%v after %#v (%v)", actions, ev, err)
				}
				return actions[0].Delay
			}
			ask := balance.Timer{Token: 1 << 60}
			tell(ask)
			spent += tell(balance.EndpointUpdate{Kind: balance.WatchStalled})
			call := tell(ask)
			if kind == balance.WatchStalled {
				call = float64(watchStallTimeout / time.Millisecond)
			}
			spent += call + tell(balance.EndpointUpdate{Kind: kind})
			worst = max(worst, spent)
		}
		if worst > 6000 {
			t.Errorf("after %s the call that can tell is made only after %v ms", name, worst)
		}
	}
}

// An answer that does not begin is not silence: discovery may be slow.
func TestWatchWithoutResponse(t *testing.T) {
	for answer, silence := range map[string]bool{"": false, "HTTP/1.1 200 OK\r\n\r\n": true} {
		p := newStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(c, answer)
			return true
		})
		d := newDiscoveryClient(p.addr)
		d.stallTimeout = 20 * time.Millisecond
		within := testTimeout
		if !silence {
			within = d.stallTimeout
		}
		if err := d.watch(context.Background(), 1, within, nil); err == nil || errors.Is(err, errStalled) != silence {
			t.Errorf("%q: %v", answer, err)
		}
	}
}

func TestFetch(t *testing.T) {
	text := catalogJSON(9, true, instanceJSON("s", "127.0.0.1:1", "up"))
	p := newStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text)
		return false
	})
	if c, err := newDiscoveryClient(p.addr).fetch(context.Background()); err != nil || c.Generation != 9 || len(c.Instances) != 1 {
		t.Errorf("%+v %v", c, err)
	}
	text = "{"
	if _, err := newDiscoveryClient(p.addr).fetch(context.Background()); err == nil {
		t.Error("garbage is taken for a list")
	}
}
