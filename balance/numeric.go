package balance

import "math"

// clamp returns v limited to the range from lower to upper.
func clamp(v, lower, upper float64) float64 { return math.Max(lower, math.Min(upper, v)) }

// clampNonNegative returns v limited to the range from 0 to upper, and 0 if v is not a number.
func clampNonNegative(v, upper float64) float64 {
	if !(v > 0) {
		return 0
	}
	return math.Min(v, upper)
}

// zeroInvalid sets to zero every value that is negative, infinite or not a number.
func zeroInvalid(values ...*float64) {
	for _, v := range values {
		*v = clampNonNegative(*v, math.Inf(1))
		if math.IsInf(*v, 1) {
			*v = 0
		}
	}
}

// backoffFactor returns the factor by which a backoff or another duration has grown after n doublings, of
// which at most maxDoublings count.
func backoffFactor(n, maxDoublings int) float64 { return float64(int(1) << min(n, maxDoublings)) }
