// Package config reads the configuration file of a sidecar and derives the limits of its process.
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

// Config is the configuration file's content.
type Config struct {
	Name          string
	Listen        string // where clients connect
	Discovery     string // the address of discovery
	Limits        Limits
	CachedCatalog discovery.Catalog // the endpoint list as this sidecar last had it
	Settings      settings.Settings
	Gossip        Gossip
}

// Gossip holds the addresses for datagrams between sidecars; an invalid one means there is none.
type Gossip struct {
	Listen    netip.AddrPort   // where this sidecar's datagrams arrive
	Peers     []netip.AddrPort // of all sidecars, by peer index
	Broadcast netip.AddrPort   // reaches all of them
}

// FieldError says which field of the configuration file is invalid. It is one line.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("config: %s: %v", e.Field, e.Err) }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// file mirrors the configuration file; keys that are not here are skipped.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`

	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`
}

// Parse reads the configuration file.
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
	if c.CachedCatalog, err = parseCachedCatalog(f.Known); err != nil {
		return c, err
	}
	c.Gossip, err = parseGossip(&f)
	return c, err
}

func checkAddress(field, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return &FieldError{Field: field, Err: err}
	}
	return nil
}

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

// parseGossip reads the addresses of the sidecars. There is no name service, so each must be an IP address.
func parseGossip(f *file) (g Gossip, err error) {
	if g.Listen, err = parseAddrPort("peer_listen", f.PeerListen); err != nil {
		return g, err
	}
	if g.Broadcast, err = parseAddrPort("peers_all", f.PeersAll); err != nil {
		return g, err
	}
	g.Peers = make([]netip.AddrPort, len(f.Peers))
	for i, addr := range f.Peers {
		if g.Peers[i], err = parseAddrPort("peers", addr); err != nil {
			return g, err
		}
	}
	return g, nil
}

// parseAddrPort returns the zero AddrPort for an address that is not given.
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
