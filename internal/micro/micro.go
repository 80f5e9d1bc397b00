// Package micro holds the one type used for times in notchmux: whole
// microseconds. Conversion happens at the edges only.
package micro

import "time"

// Time is a point on the process's steady clock, or a span of time, in whole
// microseconds. Wall-clock times use it too, counted from the Unix epoch.
type Time int64

// Spans used throughout.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
	Minute      Time = 60 * Second
)

var processStart = time.Now()

// Now reads the steady clock. Zero is when the process began.
func Now() Time { return Time(time.Since(processStart).Microseconds()) }

// WallNow reads the time of day.
func WallNow() Time { return Time(time.Now().UnixMicro()) }

// MaxSpan is the longest span that seconds convert to, about a thousand years:
// sums of a hundred such still fit.
const MaxSpan Time = 1 << 55

// FromSeconds converts seconds as they appear on the wire. What a user gives may be any
// amount: out of range, the conversion alone would give a negative time.
func FromSeconds(seconds float64) Time {
	return Time(min(max(seconds*1e6, -float64(MaxSpan)), float64(MaxSpan)))
}

// Seconds converts back to the wire's unit.
func (t Time) Seconds() float64 { return float64(t) / 1e6 }

// Duration converts a span for the standard library.
func (t Time) Duration() time.Duration { return time.Duration(t) * time.Microsecond }
