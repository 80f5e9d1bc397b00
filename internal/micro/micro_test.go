package micro

import (
	"math"
	"testing"
)

// Guards against overflow: users may send any finite number as an estimate. 1e300 s became the most negative
// time, so the task with the longest estimate was expected to finish first.
func TestFromSecondsClampsOutOfRangeValues(t *testing.T) {
	for seconds, want := range map[float64]Time{
		0: 0, 1.5: 1500 * Millisecond, -2: -2 * Second, 1e13: MaxSpan,
		1e300: MaxSpan, math.Inf(1): MaxSpan, -1e300: -MaxSpan,
	} {
		if got := FromSeconds(seconds); got != want {
			t.Errorf("FromSeconds(%v) = %d, want %d", seconds, got, want)
		}
	}
	if sum := FromSeconds(1e300) + FromSeconds(1e300) + Minute; sum < 0 {
		t.Error("the sum of two clamped durations overflows")
	}
}
