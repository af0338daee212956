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
func (l *Loop) applyCatalog(c discovery.Catalog, kind balance.UpdateKind) {
	l.generation = c.Generation
	listed := make(map[balance.EndpointID]bool, len(c.Instances))
	update := balance.EndpointUpdate{Kind: kind, Endpoints: make([]balance.Endpoint, 0, len(c.Instances))}
	for i := range c.Instances {
		entry := l.balancerEndpoint(&c.Instances[i])
		listed[entry.ID] = true
		update.Endpoints = append(update.Endpoints, entry)
		l.applyInstance(&c.Instances[i], entry)
	}
	if kind != balance.Delta {
		l.removeUnlisted(listed)
	}
	l.handle(update)
}

func (l *Loop) applyInstance(in *discovery.Instance, entry balance.Endpoint) {
	e := l.endpoints[entry.ID]
	if e == nil {
		if entry.Lifecycle == balance.Removed {
			return
		}
		e = &endpoint{name: in.ID}
		l.endpoints[entry.ID] = e
	}
	l.pool.UpdateEndpoint(&e.connections, in.HostPort, entry.Lifecycle == balance.Ready)
	switch entry.Lifecycle {
	case balance.Ready:
		l.ready.Store(true)
	case balance.Removed: // attempts that are in flight keep what they need
		delete(l.endpoints, entry.ID)
	}
}

// removeUnlisted drops what the whole list does not name.
func (l *Loop) removeUnlisted(listed map[balance.EndpointID]bool) {
	for id, e := range l.endpoints {
		if !listed[id] {
			l.pool.UpdateEndpoint(&e.connections, "", false)
			delete(l.endpoints, id)
		}
	}
}

// balancerEndpoint translates an entry of the catalog.
func (l *Loop) balancerEndpoint(in *discovery.Instance) balance.Endpoint {
	entry := balance.Endpoint{
		ID:              endpointID(in),
		StartedAt:       in.StartedAt,
		NominalCapacity: in.Weight,
		Cell:            in.Cell,
		Zone:            indexOrAppend(&l.zones, in.Zone),
		MachineType:     indexOrAppend(&l.machineTypes, in.MachineType),
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
func (l *Loop) healthCheck(id balance.EndpointID) {
	e := l.endpoints[id]
	if e == nil {
		l.postpone(func() { l.handle(balance.HealthCheckResult{Endpoint: id, Result: balance.ConnectFailed}) })
		return
	}
	path, startedAt := pingPath, l.clock.Now()
	if l.config.Settings.Balancer.ReportSource != balance.ReportNone {
		path = loadReportPath
	}
	l.workers.Go(func() {
		response := l.pool.HealthCheck(l.ctx, &e.connections, path)
		l.enqueue(func() {
			l.handle(balance.HealthCheckResult{
				Endpoint:   id,
				Result:     response.Result,
				Latency:    l.clock.Now() - startedAt,
				LoadReport: response.LoadReport,
			})
		})
	})
}
