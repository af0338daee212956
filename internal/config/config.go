// Package config parses the configuration file of a sidecar and derives the resource limits of its process.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"

	"pebblelift/internal/discovery"
	"pebblelift/internal/settings"
)

// Config holds the content of the configuration file.
type Config struct {
	Name          string // name of the sidecar
	Listen        string // address (host:port) to which clients connect
	Discovery     string // address (host:port) of discovery
	Limits        Limits
	CachedCatalog discovery.Catalog // endpoint list that this sidecar had last; zero if there is none
	Settings      settings.Settings
	Gossip        Gossip
}

// Gossip holds the addresses for gossip datagrams between sidecars. The zero AddrPort means that an address is not
// set.
type Gossip struct {
	Listen    netip.AddrPort   // address at which this sidecar receives datagrams
	Peers     []netip.AddrPort // addresses of all sidecars, by peer index
	Broadcast netip.AddrPort   // address that reaches all sidecars
}

// FieldError is the error for an invalid field of the configuration file. Its text is a single line.
type FieldError struct {
	Field string // the key of the field in the file
	Err   error  // why the field is invalid
}

func (e *FieldError) Error() string { return fmt.Sprintf("config: %s: %v", e.Field, e.Err) }

// Unwrap returns the reason why the field is invalid.
func (e *FieldError) Unwrap() error { return e.Err }

// file is the configuration file as JSON. Unknown keys are ignored.
type file struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	Seed          string          `json:"seed"`
	Limits        Limits          `json:"limits"`
	CachedCatalog json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`

	GossipListen    string   `json:"peer_listen"`
	GossipPeers     []string `json:"peers"`
	GossipBroadcast string   `json:"peers_all"`
}

// Parse parses the configuration file. An error names the invalid field if there is one.
func Parse(raw []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits}
	if err := checkAddress("listen", f.Listen); err != nil {
		return c, err
	}
	if err := checkAddress("discovery", f.Discovery); err != nil {
		return c, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, &FieldError{Field: "seed", Err: err}
	}
	if c.Settings, err = settings.Parse(seed, f.Settings); err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if c.CachedCatalog, err = parseCachedCatalog(f.CachedCatalog); err != nil {
		return c, err
	}
	c.Gossip, err = parseGossip(&f)
	return c, err
}

// checkAddress returns a FieldError for the field if the address is not of the form host:port.
func checkAddress(field, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return &FieldError{Field: field, Err: err}
	}
	return nil
}

// parseCachedCatalog parses the cached endpoint list. It returns the zero Catalog if the file has no list.
func parseCachedCatalog(raw json.RawMessage) (discovery.Catalog, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return discovery.Catalog{}, nil
	}
	catalog, err := discovery.ParseCatalog(raw)
	if err != nil {
		return catalog, &FieldError{Field: "known", Err: err}
	}
	return catalog, nil
}

// parseGossip parses the gossip addresses of this sidecar and its peers. Each must be an IP address with a port, as
// there is no name service.
func parseGossip(f *file) (g Gossip, err error) {
	if g.Listen, err = parseAddrPort("peer_listen", f.GossipListen); err != nil {
		return g, err
	}
	if g.Broadcast, err = parseAddrPort("peers_all", f.GossipBroadcast); err != nil {
		return g, err
	}
	g.Peers = make([]netip.AddrPort, len(f.GossipPeers))
	for i, addr := range f.GossipPeers {
		if g.Peers[i], err = parseAddrPort("peers", addr); err != nil {
			return g, err
		}
	}
	return g, nil
}

// parseAddrPort parses an IP address with a port. It returns the zero AddrPort for an empty address.
func parseAddrPort(field, addr string) (netip.AddrPort, error) {
	if addr == "" {
		return netip.AddrPort{}, nil
	}
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return parsed, &FieldError{Field: field, Err: err}
	}
	return parsed, nil
}
