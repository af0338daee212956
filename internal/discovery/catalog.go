package discovery

import (
	"encoding/json"
	"fmt"
	"net"
)

// The lifecycle states of an Instance.
const (
	LifecycleUp       = "up"       // the instance takes requests
	LifecycleDraining = "draining" // the instance takes no new requests after its drain grace
	LifecycleRemoved  = "removed"  // the instance has left the endpoint list
)

// Catalog is one message of discovery: the whole endpoint list, or the entries that have changed.
type Catalog struct {
	Generation uint64     `json:"generation"` // generation of the endpoint list after this message
	Reset      bool       `json:"reset"`      // whether Instances is the whole endpoint list
	Instances  []Instance `json:"instances"`
}

// Instance is one entry of a Catalog.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"` // address (host:port); may be empty for a removed instance
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`      // becomes balance.Endpoint.NominalCapacity
	StartedAt   float64 `json:"startedAtMs"` // Unix time in milliseconds; 0 means long ago
}

// ParseCatalog decodes one message. A single invalid entry makes the whole message invalid, because a partial list
// would be worse than none. An error wraps ErrMalformed.
func ParseCatalog(raw []byte) (Catalog, error) {
	var c Catalog
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if c.Instances == nil {
		return c, fmt.Errorf("%w: missing instances", ErrMalformed)
	}
	for i := range c.Instances {
		if err := c.Instances[i].validate(); err != nil {
			return c, fmt.Errorf("%w: instance %q: %w", ErrMalformed, c.Instances[i].ID, err)
		}
	}
	return c, nil
}

// validate returns an error if the entry lacks a known lifecycle, an ID or, unless it is removed, an address.
func (in *Instance) validate() error {
	switch in.Lifecycle {
	case LifecycleUp, LifecycleDraining, LifecycleRemoved:
	default:
		return fmt.Errorf("unknown lifecycle %q", in.Lifecycle)
	}
	if in.ID == "" {
		return errNoID
	}
	if in.Lifecycle == LifecycleRemoved { // a removed instance needs no address
		return nil
	}
	if _, _, err := net.SplitHostPort(in.HostPort); err != nil {
		return fmt.Errorf("address %q: %w", in.HostPort, err)
	}
	return nil
}
