package clock

import (
	"testing"
	"time"
)

// The clock shows Unix time, because discovery's start times are Unix times, but it is monotonic: it does not jump when
// the wall clock is changed.
func TestClock(t *testing.T) {
	c := New()
	unixMillis := float64(time.Now().UnixMicro()) / 1000
	if diff := c.Now() - unixMillis; diff < -1000 || diff > 1000 {
		t.Errorf("Now() differs from Unix time by %v ms", diff)
	}
	later := c.start.Add(1500 * time.Millisecond)
	if elapsed := c.At(later) - c.At(c.start); elapsed != 1500 {
		t.Errorf("1500 ms after the start, %v ms have elapsed on the clock", elapsed)
	}
	if diff := c.Time(c.At(later)).Sub(later); diff < -time.Microsecond || diff > time.Microsecond {
		t.Errorf("Time(At(t)) differs from t by %v", diff)
	}
}
