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

// Of converts seconds as they appear on the wire.
func Of(seconds float64) Time { return Time(seconds * 1e6) }

// Seconds converts back to the wire's unit.
func (t Time) Seconds() float64 { return float64(t) / 1e6 }

// Std converts a span for the standard library.
func (t Time) Std() time.Duration { return time.Duration(t) * time.Microsecond }
