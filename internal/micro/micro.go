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

var start = time.Now()

// Now reads the steady clock. Zero is when the process began.
func Now() Time { return Time(time.Since(start).Microseconds()) }

// Wall reads the time of day.
func Wall() Time { return Time(time.Now().UnixMicro()) }

// Longest is the longest span that seconds convert to, about a thousand years:
// sums of a hundred such still fit.
const Longest Time = 1 << 55

// Of converts seconds as they appear on the wire. What a user gives may be any
// amount: out of range, the conversion alone would give a negative time.
func Of(seconds float64) Time {
	return Time(min(max(seconds*1e6, -float64(Longest)), float64(Longest)))
}

// Seconds converts back to the wire's unit.
func (t Time) Seconds() float64 { return float64(t) / 1e6 }

// Std converts a span for the standard library.
func (t Time) Std() time.Duration { return time.Duration(t) * time.Microsecond }
