package balance

import "math"

// clamp returns v, held between least and most.
func clamp(v, least, most float64) float64 { return math.Max(least, math.Min(most, v)) }

// clampNonNegative returns v, at most the given bound, and 0 for what is negative or not a number.
func clampNonNegative(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, most)
}

// sanitize sets to zero every value that is not a finite number of at least zero.
func sanitize(values ...*float64) {
	for _, v := range values {
		*v = clampNonNegative(*v, math.Inf(1))
		if math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// doublings returns 2^n, with n at most maxDoublings: the growth of a backoff after n repetitions.
func doublings(n, maxDoublings int) float64 { return float64(int(1) << min(n, maxDoublings)) }
