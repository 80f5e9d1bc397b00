package micro

import (
	"math"
	"testing"
)

// Any finite amount is a valid estimate: 1e300 s became the most negative time of
// all, and a task that takes longest the one that is done first.
func TestSpansBeyondAllMeasureStayPositive(t *testing.T) {
	for seconds, want := range map[float64]Time{0: 0, 1.5: 1500 * Millisecond, -2: -2 * Second, 1e13: Longest, 1e300: Longest, math.Inf(1): Longest, -1e300: -Longest} {
		if got := Of(seconds); got != want {
			t.Errorf("%v s: %d, want %d", seconds, got, want)
		}
	}
	if sum := Of(1e300) + Of(1e300) + Minute; sum < 0 {
		t.Error("two of them overflow")
	}
}
