package balance

import "math"

// clamp returns v limited to the range from least to most.
func clamp(v, least, most float64) float64 { return math.Max(least, math.Min(most, v)) }

// clampNonNegative returns v limited to the range from 0 to most, and 0 if v is not a number.
func clampNonNegative(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, most)
}

// sanitize sets to zero every value that is negative, infinite or not a number.
func sanitize(values ...*float64) {
	for _, v := range values {
		*v = clampNonNegative(*v, math.Inf(1))
		if math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// doublings returns 2^n, with n limited to maxDoublings. It is the factor by which a backoff has grown after
// n repetitions.
func doublings(n, maxDoublings int) float64 { return float64(int(1) << min(n, maxDoublings)) }
