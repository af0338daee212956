// Package clock provides the monotonic clock that a sidecar's event loop and its connections share.
package clock

import "time"

// Clock shows Unix time in milliseconds and never goes back. It reads the wall clock once, in New, and adds the
// monotonic time since then. It shows Unix time because it is compared with the start times of endpoints, which
// discovery gives in Unix time.
type Clock struct{ start time.Time }

// New returns a clock that starts at the present Unix time.
func New() Clock { return Clock{start: time.Now()} }

// Now returns the clock's present time in ms.
func (c Clock) Now() float64 { return c.At(time.Now()) }

// At returns the clock's time in ms at t, which must come from time.Now because a monotonic reading is needed.
func (c Clock) At(t time.Time) float64 { return c.startMillis() + Millis(t.Sub(c.start)) }

// Time returns the time.Time at which the clock shows ms.
func (c Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.startMillis())) }

// startMillis returns the Unix time in ms at which the clock started.
func (c Clock) startMillis() float64 { return float64(c.start.UnixMicro()) / 1000 }

// Duration converts milliseconds to a time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts a time.Duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
