package policy

import (
	"strings"
	"testing"
	"time"
)

func TestConditionsEvaluate(t *testing.T) {
	facts := Facts{Waiting: map[string]int{"a": 3}, Free: map[string]int{"gpu": 2}}
	facts.SetTime(time.Date(2026, 12, 2, 5, 30, 0, 0, time.UTC))
	for text, want := range map[string]bool{
		`hour == 5 and minute >= 30`:                     true,
		`weekday == "wednesday"`:                         true,
		`weekday in ["saturday", "sunday"]`:              false,
		`waiting["a"] > 2`:                               true,
		`waiting["nobody"] > 0`:                          false,
		`free["gpu"] >= 2 and guaranteed["a"] == 0`:      true,
		`sum(map([1, 2, 3], # * 2)) == 12 or hour > 100`: true,
	} {
		c, err := Compile(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		if got, err := c.Holds(facts); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
}

// However an expression is written, what it may cost is bounded.
func TestConditionCostIsBounded(t *testing.T) {
	if _, err := Compile(strings.Repeat("hour > 1 or ", 200) + "false"); err == nil {
		t.Error("an expression of hundreds of terms is taken")
	}
	c, err := Compile(`len(map(1..1000000, #)) > 0`)
	if err != nil {
		return // refused at once: as good
	}
	if _, err := c.Holds(Facts{}); err == nil {
		t.Error("a million numbers were made for one condition")
	}
}
