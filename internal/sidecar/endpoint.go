package sidecar

import (
	"slices"

	"pebblelift/balance"
	"pebblelift/internal/discovery"
	"pebblelift/internal/stablehash"
	"pebblelift/internal/upstream"
)

// The paths of health checks: the load report, or just that the endpoint runs.
const (
	loadReportPath = "/_load"
	pingPath       = "/ping"
)

// endpoint is one instance of the catalog, kept while it is listed or attempts need it.
type endpoint struct {
	name        string
	connections upstream.Endpoint
}

func endpointID(in *discovery.Instance) balance.EndpointID {
	return balance.EndpointID(stablehash.String(in.ID))
}

// applyCatalog takes in the endpoint list or a change of it.
func (d *dispatcher) applyCatalog(c discovery.Catalog, kind balance.UpdateKind) {
	d.generation = c.Generation
	listed := make(map[balance.EndpointID]bool, len(c.Instances))
	update := balance.EndpointUpdate{Kind: kind, Endpoints: make([]balance.Endpoint, 0, len(c.Instances))}
	for i := range c.Instances {
		entry := d.balancerEndpoint(&c.Instances[i])
		listed[entry.ID] = true
		update.Endpoints = append(update.Endpoints, entry)
		d.applyInstance(&c.Instances[i], entry)
	}
	if kind != balance.Delta {
		d.removeUnlisted(listed)
	}
	d.handle(update)
}

func (d *dispatcher) applyInstance(in *discovery.Instance, entry balance.Endpoint) {
	e := d.endpoints[entry.ID]
	if e == nil {
		if entry.Lifecycle == balance.Removed {
			return
		}
		e = &endpoint{name: in.ID}
		d.endpoints[entry.ID] = e
	}
	d.pool.UpdateEndpoint(&e.connections, in.HostPort, entry.Lifecycle == balance.Ready)
	switch entry.Lifecycle {
	case balance.Ready:
		d.loop.ready.Store(true)
	case balance.Removed: // attempts that are in flight keep what they need
		delete(d.endpoints, entry.ID)
	}
}

// removeUnlisted drops what the whole list does not name.
func (d *dispatcher) removeUnlisted(listed map[balance.EndpointID]bool) {
	for id, e := range d.endpoints {
		if !listed[id] {
			d.pool.UpdateEndpoint(&e.connections, "", false)
			delete(d.endpoints, id)
		}
	}
}

// balancerEndpoint translates an entry of the catalog.
func (d *dispatcher) balancerEndpoint(in *discovery.Instance) balance.Endpoint {
	entry := balance.Endpoint{
		ID:              endpointID(in),
		StartedAt:       in.StartedAt,
		NominalCapacity: in.Weight,
		Cell:            in.Cell,
		Zone:            indexOrAppend(&d.zones, in.Zone),
		MachineType:     indexOrAppend(&d.machineTypes, in.MachineType),
	}
	switch in.Lifecycle {
	case discovery.LifecycleDraining:
		entry.Lifecycle = balance.Draining
	case discovery.LifecycleRemoved:
		entry.Lifecycle = balance.Removed
	}
	return entry
}

// indexOrAppend returns a name's place among the names. One that the settings do not have is no other's: the key of a
// request may be known in its own zone only.
func indexOrAppend(names *[]string, name string) int {
	i := slices.Index(*names, name)
	if i < 0 {
		i = len(*names)
		*names = append(*names, name)
	}
	return i
}

// healthCheck checks an endpoint in a goroutine of its own.
func (d *dispatcher) healthCheck(id balance.EndpointID) {
	e := d.endpoints[id]
	if e == nil {
		d.postpone(func() { d.handle(balance.HealthCheckResult{Endpoint: id, Result: balance.ConnectFailed}) })
		return
	}
	path, startedAt := pingPath, d.clock.Now()
	if d.config.Settings.Balancer.ReportSource != balance.ReportNone {
		path = loadReportPath
	}
	d.loop.workers.Go(func() {
		response := d.pool.HealthCheck(d.ctx, &e.connections, path)
		d.loop.enqueue(func(d *dispatcher) {
			d.handle(balance.HealthCheckResult{
				Endpoint:   id,
				Result:     response.Result,
				Latency:    d.clock.Now() - startedAt,
				LoadReport: response.LoadReport,
			})
		})
	})
}
