package budget

import (
	"math"
	"sync"
	"time"
)

// TokenBucket limits how often something may happen: Burst times at once, and then once in each Interval. The zero
// value permits nothing; a bucket is full at first.
type TokenBucket struct {
	Interval time.Duration // time in which one token comes back
	Burst    int           // the most tokens

	mu   sync.Mutex
	full time.Time // when the bucket is full again
}

// Take takes a token and returns how long the caller has to wait until the token is there. Callers get their tokens in
// the order of their calls.
func (b *TokenBucket) Take(now time.Time) (wait time.Duration) {
	return b.TakeWithin(now, math.MaxInt64)
}

// TakeWithin takes a token if it is there within the longest wait, and returns how long the caller has to wait until
// then. Otherwise it takes none and returns the longest wait.
func (b *TokenBucket) TakeWithin(now time.Time, longest time.Duration) (wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := now
	if b.full.After(now) {
		full = b.full
	}
	full = full.Add(b.Interval)
	wait = full.Sub(now) - time.Duration(b.Burst)*b.Interval
	if wait > longest {
		return longest
	}
	b.full = full
	return max(0, wait)
}
