package discovery

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
	"pebblelift/internal/nettest"
)

// A watch always ends with an error, and the catalogs that arrive before the end are handled.
func TestWatchErrors(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	catalog := nettest.CatalogJSON(7, true, nettest.InstanceJSON("s", "127.0.0.1:1", "up"))
	var buf bytes.Buffer
	if err := json.Indent(&buf, []byte(catalog), "", "  "); err != nil {
		t.Fatal(err)
	}
	indented := buf.String()
	for name, test := range map[string]struct {
		response string
		keepOpen bool // the connection stays open after the response
		catalogs int  // number of catalogs that are handled
	}{
		"status 503":         {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, 0},
		"end of stream":      {ok + catalog + "\n\n", false, 1},
		"stalled":            {ok + catalog + "\n", true, 1},
		"indented catalogs":  {ok + "\n" + indented + "\n\n" + indented + "\n", false, 2},
		"partial catalog":    {ok + catalog + "\n" + catalog[:20] + "\n\n\n", true, 1},
		"malformed JSON":     {ok + catalog + "\n{", false, 1},
		"not a catalog":      {ok + "{}\n", false, 0},
		"unknown lifecycle":  {ok + strings.Replace(catalog, `"up"`, `"odd"`, 1) + "\n", false, 0},
		"no address":         {ok + strings.Replace(catalog, `127.0.0.1:1`, ``, 1) + "\n", false, 0},
		"empty response":     {"", false, 0},
		"malformed response": {"nonsense", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
				io.WriteString(c, test.response)
				return test.keepOpen
			})
			client := NewClient(stub.Addr)
			client.stallTimeout = 20 * time.Millisecond
			catalogs := 0
			err := client.Watch(context.Background(), 1, nettest.Timeout, WatchHandlers{Catalog: func(got Catalog) {
				catalogs++
				if got.Generation != 7 || !got.Reset || len(got.Instances) != 1 {
					t.Errorf("unexpected catalog %+v", got)
				}
			}})
			if err == nil || catalogs != test.catalogs {
				t.Errorf("error %v after %d catalogs, want an error after %d", err, catalogs, test.catalogs)
			}
		})
	}
}

// A sidecar counts as notified of a change after 6 s, even if its watch stalled and missed the change. A stalled watch
// must be detected and replaced within that time, even if the call in between gets no response at all, or a response
// that begins and then stalls too.
func TestStalledWatchIsDetected(t *testing.T) {
	if WatchStallTimeout <= 2*time.Second {
		t.Errorf("a watch counts as stalled after %v, but heartbeats come every 2 s", WatchStallTimeout)
	}
	const stallTimeout = float64(WatchStallTimeout / time.Millisecond)
	for kind, name := range map[balance.UpdateKind]string{
		balance.WatchFailed:  "no response",
		balance.WatchStalled: "a response that stalls",
	} {
		longest := 0.0
		for seed := range uint64(50) {
			b := balance.New(balance.Config{
				Seed:         seed,
				PeerCount:    8,
				Subscribe:    true,
				PollInterval: 10000,
				Classes:      make([]balance.Class, 1),
			})
			b.Start(0)
			const now = 0.0
			// handle returns the delay of the only action that follows the event.
			handle := func(event balance.Event) (delay float64) {
				actions, err := b.Handle(now, event)
				if err != nil || len(actions) != 1 {
					t.Fatalf("actions %v and error %v after %#v, want one action", actions, err, event)
				}
				return actions[0].Delay
			}
			poll := balance.Timer{Token: 1 << 60}
			handle(poll)
			elapsed := stallTimeout
			elapsed += handle(balance.EndpointUpdate{Kind: balance.WatchStalled})
			callDuration := handle(poll)
			if kind == balance.WatchStalled {
				callDuration = stallTimeout
			}
			elapsed += callDuration + handle(balance.EndpointUpdate{Kind: kind})
			longest = max(longest, elapsed)
		}
		if longest > 6000 {
			t.Errorf("after %s the next watch begins only after %v ms, want at most 6000 ms", name, longest)
		}
	}
}

// A watch whose response has not begun does not count as stalled, because discovery may be slow. It fails only at the
// timeout of the call.
func TestWatchWithoutResponse(t *testing.T) {
	for response, wantStalled := range map[string]bool{"": false, "HTTP/1.1 200 OK\r\n\r\n": true} {
		stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
			io.WriteString(c, response)
			return true
		})
		client := NewClient(stub.Addr)
		client.stallTimeout = 20 * time.Millisecond
		timeout := nettest.Timeout
		if !wantStalled {
			timeout = client.stallTimeout
		}
		err := client.Watch(context.Background(), 1, timeout, WatchHandlers{})
		if err == nil || errors.Is(err, ErrStalled) != wantStalled {
			t.Errorf("response %q: error %v, want stalled: %v", response, err, wantStalled)
		}
	}
}

// Fetch returns the catalog of a well-formed response and an error for any other.
func TestFetch(t *testing.T) {
	body := nettest.CatalogJSON(9, true, nettest.InstanceJSON("s", "127.0.0.1:1", "up"))
	stub := nettest.NewStubServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
		return false
	})
	catalog, err := NewClient(stub.Addr).Fetch(context.Background())
	if err != nil || catalog.Generation != 9 || len(catalog.Instances) != 1 {
		t.Errorf("catalog %+v, error %v, want generation 9 with one instance", catalog, err)
	}
	body = "{"
	if _, err := NewClient(stub.Addr).Fetch(context.Background()); err == nil {
		t.Error("no error for malformed JSON")
	}
}
