// Package settings reads the settings object that both programs are configured with.
package settings

import (
	"errors"
	"fmt"

	"pebblelift/balance"
)

// Settings is the settings object: the balancer's configuration, and what only connections need.
type Settings struct {
	Balancer balance.Config

	// The names that stand for positions in Balancer.
	Classes      []string
	Tenants      []string
	Zones        []string
	MachineTypes []string
	ReportFields []string

	ConnIdleTimeout float64 // ms after which endpoints close idle connections; 0: unknown
}

// FieldError says which key of the settings object is invalid.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Field, e.Err) }

// Unwrap returns what is wrong with the key.
func (e *FieldError) Unwrap() error { return e.Err }

// ErrNoClasses is the error of settings without any class of requests.
var ErrNoClasses = errors.New("settings: no classes")

var errInvalidValue = errors.New("invalid value")

func invalid(field string, value any) error {
	return &FieldError{Field: field, Err: fmt.Errorf("%w: %v", errInvalidValue, value)}
}

// Parse reads the settings of a sidecar on the network. There all changes of endpoints come on a watch; where the settings
// say that lists are pushed, it is a watch of the sidecar's own agent.
func Parse(seed uint64, raw []byte) (Settings, error) {
	d, err := parseDocument(raw)
	if err != nil {
		return Settings{}, err
	}
	cfg, err := d.balancerConfig(seed)
	if err != nil {
		return Settings{}, err
	}
	cfg.LocalAgent = !cfg.Subscribe
	cfg.Subscribe = true
	s := Settings{
		Balancer:        cfg,
		Zones:           d.Zones,
		MachineTypes:    d.Kinds,
		ReportFields:    d.Report.Fields,
		ConnIdleTimeout: d.Limits.ConnIdle,
	}
	for i := range d.Classes {
		s.Classes = append(s.Classes, d.Classes[i].Name)
	}
	for i := range d.Tenants {
		s.Tenants = append(s.Tenants, d.Tenants[i].Name)
	}
	return s, nil
}

// ParseConfig reads the settings of a sidecar in the simulator.
func ParseConfig(seed uint64, raw []byte) (balance.Config, error) {
	d, err := parseDocument(raw)
	if err != nil {
		return balance.Config{}, err
	}
	return d.balancerConfig(seed)
}
