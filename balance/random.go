package balance

// randomSource is a splitmix64 random number generator. Its state is the seed at first, and its zero value is
// a generator with seed 0.
type randomSource struct{ state uint64 }

// float64 returns the next random number, at least 0 and below 1.
func (r *randomSource) float64() float64 {
	r.state += 0x9e3779b97f4a7c15
	return float64(mix64(r.state)>>11) / (1 << 53)
}

// mix64 is the output function of splitmix64. It is also used as a hash function.
func mix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
