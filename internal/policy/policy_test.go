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
		condition, err := Compile(text)
		if err != nil {
			t.Errorf("%s: compile: %v", text, err)
			continue
		}
		if got, err := condition.Holds(facts); err != nil || got != want {
			t.Errorf("%s: got %v, error %v, want %v", text, got, err, want)
		}
	}
}

// The size of an expression and the memory for its evaluation are bounded.
func TestConditionCostIsBounded(t *testing.T) {
	if _, err := Compile(strings.Repeat("hour > 1 or ", 200) + "false"); err == nil {
		t.Error("an expression of 200 terms was accepted")
	}
	condition, err := Compile(`len(map(1..1000000, #)) > 0`)
	if err != nil {
		return // rejecting it at compile time is sufficient
	}
	if _, err := condition.Holds(Facts{}); err == nil {
		t.Error("an expression that allocates a million numbers was evaluated")
	}
}
