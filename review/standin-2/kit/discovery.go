package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Instance is one entry of discovery's list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAt   float64 `json:"startedAtMs"`
}

// Catalog is one message of discovery.
type Catalog struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Up returns the entry of a pick server that takes requests.
func Up(id, addr, zone string, cell int) Instance {
	return Instance{ID: id, HostPort: addr, Zone: zone, MachineType: "m1", Cell: cell, Lifecycle: "up", Weight: 1}
}

// Discovery is a sound discovery service.
type Discovery struct {
	Addr   string
	record *Record
	ln     net.Listener

	mu         sync.Mutex
	generation int
	list       []Instance
	changes    map[int][]Instance // by generation
	wake       chan struct{}      // closed at the next change
}

// StartDiscovery starts a discovery service with a list.
func StartDiscovery(r *Record, list ...Instance) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), record: r, ln: ln, generation: 41, list: list,
		changes: map[int][]Instance{}, wake: make(chan struct{})}
	go http.Serve(ln, d)
	return d, nil
}

// Known returns the present list in the form of the configuration's "known".
func (d *Discovery) Known() Catalog {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Catalog{Generation: d.generation, Reset: true, Instances: append([]Instance{}, d.list...)}
}

// Change tells changed entries to all watches.
func (d *Discovery) Change(changed ...Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.changes[d.generation] = changed
	for _, c := range changed {
		kept := d.list[:0:0]
		for _, old := range d.list {
			if old.ID != c.ID {
				kept = append(kept, old)
			}
		}
		if c.Lifecycle != "removed" {
			kept = append(kept, c)
		}
		d.list = kept
	}
	close(d.wake)
	d.wake = make(chan struct{})
	d.record.Logf("discovery changes the list: %+v", changed)
}

// since returns what a watch after a generation has to hear next, and what is closed at the next change.
func (d *Discovery) since(after int) (message string, generation int, wake chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after == d.generation {
		return "", after, d.wake
	}
	c := Catalog{Generation: d.generation, Reset: true, Instances: append([]Instance{}, d.list...)}
	if after >= 41 && after < d.generation {
		c.Reset, c.Instances = false, nil
		for g := after + 1; g <= d.generation; g++ {
			c.Instances = append(c.Instances, d.changes[g]...)
		}
	}
	raw, _ := json.Marshal(c)
	return string(raw), d.generation, d.wake
}

// ServeHTTP answers a call.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/catalog/members") {
		http.NotFound(w, r)
		return
	}
	after := 0
	fmt.Sscan(r.URL.Query().Get("after"), &after)
	if r.URL.Query().Get("watch") == "" {
		message, _, _ := d.since(0)
		fmt.Fprintln(w, message)
		return
	}
	flusher := w.(http.Flusher)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		message, generation, wake := d.since(after)
		after = generation
		if message != "" {
			fmt.Fprintln(w, message)
			flusher.Flush()
			continue
		}
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
			fmt.Fprintln(w)
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
