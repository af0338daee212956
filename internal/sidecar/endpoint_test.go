package sidecar

import "testing"

// Zones and machine types that the settings do not name get separate positions, distinct from each other and from the
// configured ones.
func TestUnknownZoneAndMachineTypeNames(t *testing.T) {
	names := []string{"a", "b"}
	for i, test := range []struct {
		name string
		want int
	}{{"b", 1}, {"x", 2}, {"a", 0}, {"", 3}, {"x", 2}, {"", 3}} {
		if got := indexOrAppend(&names, test.name); got != test.want {
			t.Errorf("call %d: position of %q is %d, want %d", i, test.name, got, test.want)
		}
	}
}
