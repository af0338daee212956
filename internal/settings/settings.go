// Package settings parses the settings object, which configures both the sidecar and the simulator adapter.
package settings

import (
	"errors"
	"fmt"

	"pebblelift/balance"
)

// Settings holds the content of the settings object: the balancer's configuration, and values that only the network
// side of a sidecar needs.
type Settings struct {
	Balancer balance.Config

	// The names of the values that Balancer refers to by their positions in these slices.
	Classes      []string
	Tenants      []string
	Zones        []string
	MachineTypes []string
	ReportFields []string

	ConnIdleTimeout float64 // time in ms after which endpoints close idle connections; 0: unknown
}

// FieldError is the error for an invalid value in the settings object.
type FieldError struct {
	Field string // the key that has the invalid value
	Err   error  // why the value is invalid
}

func (e *FieldError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Field, e.Err) }

// Unwrap returns the reason why the value is invalid.
func (e *FieldError) Unwrap() error { return e.Err }

// ErrNoClasses is the error for a settings object without any class of requests.
var ErrNoClasses = errors.New("settings: no classes")

var errInvalidValue = errors.New("invalid value")

// invalidValue returns a FieldError for a value of a field that is not allowed.
func invalidValue(field string, value any) error {
	return &FieldError{Field: field, Err: fmt.Errorf("%w: %v", errInvalidValue, value)}
}

// Parse parses the settings object of a sidecar on the network. Such a sidecar gets all changes of the endpoint list
// from a watch. If the settings say that the list is pushed, it watches its own local agent. The error is a syntax
// error, a *FieldError or ErrNoClasses, possibly wrapped.
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
		MachineTypes:    d.MachineTypes,
		ReportFields:    d.Report.Fields,
		ConnIdleTimeout: d.Limits.ConnIdleTimeout,
	}
	for i := range d.Classes {
		s.Classes = append(s.Classes, d.Classes[i].Name)
	}
	for i := range d.Tenants {
		s.Tenants = append(s.Tenants, d.Tenants[i].Name)
	}
	return s, nil
}

// ParseConfig parses the settings object of a sidecar in the simulator. Its errors are those of Parse.
func ParseConfig(seed uint64, raw []byte) (balance.Config, error) {
	d, err := parseDocument(raw)
	if err != nil {
		return balance.Config{}, err
	}
	return d.balancerConfig(seed)
}
