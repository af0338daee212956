package sidecar

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pebblelift/balance"
	"pebblelift/internal/nettest"
	"pebblelift/internal/stablehash"
)

// Endpoints come from discovery: a snapshot replaces the cached catalog and deltas change it. When a watch fails, the
// loop opens another one.
func TestDiscovery(t *testing.T) {
	stub := nettest.NewStubServer(t, nettest.RespondWith(nettest.OKResponse))
	calls := make(chan string, 9)
	catalogs := make(chan string) // an empty catalog makes the call fail
	discovery := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		calls <- req.RequestURI
		if len(req.URL.Query()["watch"]) == 0 {
			return false
		}
		select {
		case catalog := <-catalogs:
			if catalog == "" {
				io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+catalog+"\n\n")
			for catalog := range catalogs {
				io.WriteString(c, catalog+"\n")
			}
		case <-time.After(nettest.Timeout):
		}
		return false
	})
	cached := nettest.CatalogJSON(41, true, nettest.InstanceJSON("old", nettest.ClosedAddress(t), "up"))
	h := newHarness(t, discovery.Addr, cached)
	if uri := nettest.Receive(t, calls); uri != "/catalog/members?after=41&watch=1" {
		t.Errorf("first call %s, want a watch after generation 41", uri)
	}
	catalogs <- ""
	nettest.Receive(t, calls)
	catalogs <- nettest.CatalogJSON(42, true, nettest.InstanceJSON("new", stub.Addr, "up"))
	listed := func(names ...string) func() bool {
		return func() (ok bool) {
			h.runInLoop(func() {
				ok = len(h.loop.dispatcher.endpoints) == len(names)
				for _, name := range names {
					ok = ok && h.loop.dispatcher.endpoints[balance.EndpointID(stablehash.String(name))] != nil
				}
			})
			return ok
		}
	}
	nettest.Eventually(t, "the snapshot has replaced the cached catalog", listed("new"))
	if resp := h.do(idempotentRequest("t1")); resp.Result != balance.OK {
		t.Errorf("result %v, want %v", resp.Result, balance.OK)
	}
	catalogs <- nettest.CatalogJSON(43, false, nettest.InstanceJSON("other", nettest.ClosedAddress(t), "draining"))
	nettest.Eventually(t, "the delta has added an endpoint", listed("new", "other"))
	catalogs <- nettest.CatalogJSON(44, false, nettest.InstanceJSON("new", "", "removed"))
	nettest.Receive(t, stub.Disconnects) // the idle connection to the removed endpoint is closed
	nettest.Eventually(t, "the delta has removed an endpoint", listed("other"))
	if resp := h.do(idempotentRequest("t2").withTimeout(50)); resp.Result == balance.OK {
		t.Error("served by an endpoint that was removed")
	}
	close(catalogs)
}

// A delta that is older than the known catalog is not applied. Instead the loop watches from generation 0, which brings
// a snapshot; its generation may be lower if discovery has been restarted.
func TestOutdatedCatalogIsRejected(t *testing.T) {
	generations, catalogs := make(chan string, 9), make(chan string)
	discovery := nettest.NewStubServer(t, func(c net.Conn, req *http.Request, _ string) bool {
		generations <- req.URL.Query().Get("after")
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for catalog := range catalogs {
			if _, err := io.WriteString(c, catalog+"\n"); err != nil || catalog == "" {
				break
			}
		}
		return false
	})
	addr := nettest.ClosedAddress(t)
	h := newHarness(t, discovery.Addr, nettest.CatalogJSON(41, true, nettest.InstanceJSON("s", addr, "up")))
	isDraining := func() (draining bool) {
		h.runInLoop(func() {
			draining = !h.loop.dispatcher.endpoints[balance.EndpointID(stablehash.String("s"))].connections.Available()
		})
		return draining
	}
	if generation := nettest.Receive(t, generations); generation != "41" {
		t.Errorf("first watch after generation %s, want 41", generation)
	}
	catalogs <- nettest.CatalogJSON(43, false, nettest.InstanceJSON("s", addr, "draining"))
	nettest.Eventually(t, "the endpoint is draining", isDraining)
	catalogs <- nettest.CatalogJSON(42, false, nettest.InstanceJSON("s", addr, "up"))
	catalogs <- "" // ends the call, unless the client has ended it
	if generation := nettest.Receive(t, generations); generation != "0" || !isDraining() {
		t.Errorf("second watch after generation %s, draining %v, want 0 and still draining", generation, isDraining())
	}
	catalogs <- nettest.CatalogJSON(2, true, nettest.InstanceJSON("s", addr, "up"))
	nettest.Eventually(t, "the snapshot is applied", func() bool { return !isDraining() })
	close(catalogs)
}
