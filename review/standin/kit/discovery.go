package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one entry of the list of pick servers.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAt   int64   `json:"startedAtMs"`

	generation int // the generation in which the entry last changed
}

// List is one message of discovery.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is a stand-in for the discovery service. It may listen at several addresses.
type Discovery struct {
	Record *Record
	// Wait returns for how long a call to the front with the given name waits before it is answered.
	Wait func(front string) time.Duration
	// Told is called after a list was written to a caller, if it is set.
	Told func(list List)
	// WatchLength returns after which time a watch ends without a last message, if it is set.
	WatchLength func() time.Duration

	mu         sync.Mutex
	generation int
	instances  []Instance
	changed    chan struct{} // closed at the next change
}

// NewDiscovery returns a discovery service with the given entries, at generation 41.
func NewDiscovery(record *Record, instances []Instance) *Discovery {
	d := &Discovery{Record: record, generation: 41, changed: make(chan struct{})}
	for _, in := range instances {
		in.generation = d.generation
		d.instances = append(d.instances, in)
	}
	return d
}

// Snapshot returns the whole list.
func (d *Discovery) Snapshot() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Generation: d.generation, Reset: true, Instances: []Instance{}}
	list.Instances = append(list.Instances, d.instances...)
	return list
}

// SetLifecycle changes the lifecycle of an instance.
func (d *Discovery) SetLifecycle(id, lifecycle string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for i := range d.instances {
		if d.instances[i].ID == id {
			d.instances[i].Lifecycle, d.instances[i].generation = lifecycle, d.generation
		}
	}
	d.Record.Add("discovery: %s is now %s, generation %d", id, lifecycle, d.generation)
	close(d.changed)
	d.changed = make(chan struct{})
}

// changesAfter returns the entries that changed after a generation, and a channel that is closed at the next change.
func (d *Discovery) changesAfter(generation int) (List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Generation: d.generation, Instances: []Instance{}}
	for _, in := range d.instances {
		if in.generation > generation {
			list.Instances = append(list.Instances, in)
		}
	}
	return list, d.changed
}

// Front is one address of discovery.
type Front struct {
	Name, Addr string
	server     *http.Server
	listener   net.Listener
}

// Listen opens an address of discovery on a free loopback port.
func (d *Discovery) Listen(name string) (*Front, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Front{Name: name, Addr: ln.Addr().String(), listener: ln}
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(f, w, r) })}
	go f.server.Serve(ln)
	return f, nil
}

// Retire closes the address as the pages say of a replaced one: no new connections, the open ones closed after 1.5 s.
func (f *Front) Retire() {
	f.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { f.server.Close() })
}

// serve answers one call.
func (d *Discovery) serve(f *Front, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	d.Record.Add("discovery %s: call %s", f.Name, r.URL.RawQuery)
	if d.Wait != nil {
		select {
		case <-time.After(d.Wait(f.Name)):
		case <-r.Context().Done():
			d.Record.Add("discovery %s: caller left before the answer to %s", f.Name, r.URL.RawQuery)
			return
		}
	}
	if r.URL.Query().Get("watch") != "1" {
		json.NewEncoder(w).Encode(d.Snapshot())
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	d.watch(f, w, r, after)
}

// watch writes changes, and an empty line every 2 s, until the connection ends.
func (d *Discovery) watch(f *Front, w http.ResponseWriter, r *http.Request, after int) {
	flusher := w.(http.Flusher)
	list, changed := d.changesAfter(after)
	if after == 0 {
		list.Reset = true
	}
	var end <-chan time.Time
	if d.WatchLength != nil {
		end = time.After(d.WatchLength())
	}
	for {
		raw, _ := json.Marshal(list)
		fmt.Fprintf(w, "%s\n", raw)
		flusher.Flush()
		if d.Told != nil {
			d.Told(list)
		}
		d.Record.Add("discovery %s: wrote generation %d, %d entries", f.Name, list.Generation, len(list.Instances))
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-end:
				panic(http.ErrAbortHandler)
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				flusher.Flush()
			case <-r.Context().Done():
				d.Record.Add("discovery %s: a watch ended", f.Name)
				return
			}
		}
		generation := list.Generation
		list, changed = d.changesAfter(generation)
	}
}

// Restart tells that the process of an instance has started at the given time.
func (d *Discovery) Restart(id string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for i := range d.instances {
		if d.instances[i].ID == id {
			d.instances[i].StartedAt, d.instances[i].generation = at.UnixMilli(), d.generation
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}
