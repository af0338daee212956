package stablehash

import "testing"

// A name has the same hash in every sidecar and after every restart, because the order of endpoints depends on
// the hash.
func TestStringIsStable(t *testing.T) {
	const want = 0xace623f1fdc27c8a
	if got := String("s-5be2a07c"); got != want {
		t.Errorf("hash %#x, want %#x", got, uint64(want))
	}
}
