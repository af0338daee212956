package sidecar

import (
	"slices"

	"pebblelift/balance"
	"pebblelift/internal/discovery"
	"pebblelift/internal/stablehash"
	"pebblelift/internal/upstream"
)

const (
	loadReportPath = "/_load" // path of a health check whose response holds a load report
	pingPath       = "/ping"  // path of a health check that only shows whether the endpoint responds
)

// endpoint is one instance of the catalog. It is in the endpoint table while it is listed; attempts in flight keep
// using it after it is removed from the table.
type endpoint struct {
	name        string // instance ID in the catalog
	connections upstream.Endpoint
}

// endpointID returns the ID by which the balancer identifies an instance: the hash of its name in the catalog.
func endpointID(instance *discovery.Instance) balance.EndpointID {
	return balance.EndpointID(stablehash.String(instance.ID))
}

// applyCatalog updates the endpoint table by a snapshot or a delta of the endpoint list and passes the update to the
// balancer.
func (d *dispatcher) applyCatalog(catalog discovery.Catalog, kind balance.UpdateKind) {
	d.generation = catalog.Generation
	listed := make(map[balance.EndpointID]bool, len(catalog.Instances))
	update := balance.EndpointUpdate{Kind: kind, Endpoints: make([]balance.Endpoint, 0, len(catalog.Instances))}
	for i := range catalog.Instances {
		entry := d.balancerEndpoint(&catalog.Instances[i])
		listed[entry.ID] = true
		update.Endpoints = append(update.Endpoints, entry)
		d.applyInstance(&catalog.Instances[i], entry)
	}
	if kind != balance.Delta {
		d.removeUnlisted(listed)
	}
	d.handle(update)
}

// applyInstance adds an instance to the endpoint table, or updates or removes it.
func (d *dispatcher) applyInstance(instance *discovery.Instance, entry balance.Endpoint) {
	e := d.endpoints[entry.ID]
	if e == nil {
		if entry.Lifecycle == balance.Removed {
			return
		}
		e = &endpoint{name: instance.ID}
		d.endpoints[entry.ID] = e
	}
	d.pool.UpdateEndpoint(&e.connections, instance.HostPort, entry.Lifecycle == balance.Ready)
	switch entry.Lifecycle {
	case balance.Ready:
		d.loop.ready.Store(true)
	case balance.Removed: // attempts in flight have their own pointer to the endpoint
		delete(d.endpoints, entry.ID)
	}
}

// removeUnlisted removes the endpoints that a snapshot does not list.
func (d *dispatcher) removeUnlisted(listed map[balance.EndpointID]bool) {
	for id, e := range d.endpoints {
		if !listed[id] {
			d.pool.UpdateEndpoint(&e.connections, "", false)
			delete(d.endpoints, id)
		}
	}
}

// balancerEndpoint converts an instance of the catalog to the balancer's type.
func (d *dispatcher) balancerEndpoint(instance *discovery.Instance) balance.Endpoint {
	entry := balance.Endpoint{
		ID:              endpointID(instance),
		StartedAt:       instance.StartedAt,
		NominalCapacity: instance.Weight,
		Cell:            instance.Cell,
		Zone:            indexOrAppend(&d.zones, instance.Zone),
		MachineType:     indexOrAppend(&d.machineTypes, instance.MachineType),
	}
	switch instance.Lifecycle {
	case discovery.LifecycleDraining:
		entry.Lifecycle = balance.Draining
	case discovery.LifecycleRemoved:
		entry.Lifecycle = balance.Removed
	}
	return entry
}

// indexOrAppend returns the position of a name in names, to which it appends a missing name. Each zone or machine type
// that the settings do not list gets a separate position. Two unknown zones must not count as one, since an idempotency
// key may be known in a single zone only.
func indexOrAppend(names *[]string, name string) int {
	i := slices.Index(*names, name)
	if i < 0 {
		i = len(*names)
		*names = append(*names, name)
	}
	return i
}

// healthCheck checks an endpoint in a separate goroutine and passes the result to the balancer. It requests a load
// report if the settings say that endpoints provide load reports, and sends a ping otherwise.
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
