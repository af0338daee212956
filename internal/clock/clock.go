// Package clock provides the time that a sidecar's event loop and its connections share.
package clock

import "time"

// Clock gives Unix time in float64 milliseconds that never goes back. The wall clock is read once, as discovery's
// start times are compared with it; from then on monotonic time is added.
type Clock struct{ start time.Time }

// New starts a clock.
func New() Clock { return Clock{start: time.Now()} }

// Now returns the present time.
func (c Clock) Now() float64 { return c.At(time.Now()) }

// At returns the clock's time at t, which must come from time.Now.
func (c Clock) At(t time.Time) float64 { return c.startMillis() + Millis(t.Sub(c.start)) }

// Time returns the moment at which the clock shows ms.
func (c Clock) Time(ms float64) time.Time { return c.start.Add(Duration(ms - c.startMillis())) }

func (c Clock) startMillis() float64 { return float64(c.start.UnixMicro()) / 1000 }

// Duration converts milliseconds.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Millis converts to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
