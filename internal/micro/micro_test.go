package micro

import (
	"math"
	"testing"
)

// Any finite amount is a valid estimate: 1e300 s became the most negative time of
// all, and a task that takes longest the one that is done first.
func TestFromSecondsClampsOutOfRangeValues(t *testing.T) {
	for seconds, want := range map[float64]Time{
		0: 0, 1.5: 1500 * Millisecond, -2: -2 * Second, 1e13: MaxSpan,
		1e300: MaxSpan, math.Inf(1): MaxSpan, -1e300: -MaxSpan,
	} {
		if got := FromSeconds(seconds); got != want {
			t.Errorf("%v s: %d, want %d", seconds, got, want)
		}
	}
	if sum := FromSeconds(1e300) + FromSeconds(1e300) + Minute; sum < 0 {
		t.Error("two of them overflow")
	}
}
