// Package stablehash turns names into numbers that are the same at every sidecar and after each restart.
package stablehash

import "hash/fnv"

// String returns the hash of a name.
func String(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
