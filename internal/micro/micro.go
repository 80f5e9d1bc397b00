// Package micro defines the type used for all times in notchmux, in whole microseconds. Other
// units are converted only where values enter or leave the process.
package micro

import "time"

// Time is a reading of the process's monotonic clock, a duration, or a wall-clock time since the
// Unix epoch, in whole microseconds.
type Time int64

// Common durations.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
	Minute      Time = 60 * Second
)

var processStart = time.Now()

// Now returns the monotonic clock: the time since the process started.
func Now() Time { return Time(time.Since(processStart).Microseconds()) }

// WallNow returns the wall-clock time since the Unix epoch.
func WallNow() Time { return Time(time.Now().UnixMicro()) }

// MaxSpan is the longest duration that FromSeconds returns, about a thousand years. The sum of a
// hundred such durations does not overflow.
const MaxSpan Time = 1 << 55

// FromSeconds converts seconds, the unit on the wire, and clamps the result to ±MaxSpan. Users may send any
// number, and a plain conversion of a number out of range would result in a negative time.
func FromSeconds(seconds float64) Time {
	return Time(min(max(seconds*1e6, -float64(MaxSpan)), float64(MaxSpan)))
}

// Seconds returns t in seconds, the unit on the wire.
func (t Time) Seconds() float64 { return float64(t) / 1e6 }

// Duration returns t as a time.Duration.
func (t Time) Duration() time.Duration { return time.Duration(t) * time.Microsecond }
