// Package stablehash hashes names to numbers that are the same in every sidecar and after every restart.
package stablehash

import "hash/fnv"

// String returns the 64-bit FNV-1a hash of a name.
func String(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
