// Package policy evaluates the operators' conditions: expressions over the time of day
// and over what waits and what is free. They are checked when the settings are loaded.
package policy

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
)

// The bounds on an expression: on its size, and on what evaluating it may allocate.
const (
	maxNodes     = 200
	memoryBudget = 10_000
)

// Facts are what a condition may ask about. The fields' tags are the names in
// expressions.
type Facts struct {
	Hour    int    `expr:"hour"`    // of the day, UTC
	Minute  int    `expr:"minute"`  // of the hour
	Weekday string `expr:"weekday"` // "monday" to "sunday"

	Waiting    map[string]int `expr:"waiting"`    // tasks that wait for an allocation, by team
	Guaranteed map[string]int `expr:"guaranteed"` // of those, the ones within the team's guarantee
	Free       map[string]int `expr:"free"`       // machines without any task, by share
	Machines   map[string]int `expr:"machines"`   // machines that are up, by share
}

// SetTime fills in the time of day.
func (f *Facts) SetTime(t time.Time) {
	t = t.UTC()
	f.Hour, f.Minute = t.Hour(), t.Minute()
	f.Weekday = strings.ToLower(t.Weekday().String())
}

// Condition is an expression that was found sound.
type Condition struct {
	text    string
	program *vm.Program
}

// Compile checks an expression. The error tells what is wrong and where.
func Compile(text string) (*Condition, error) {
	program, err := expr.Compile(text, expr.Env(Facts{}), expr.AsBool(), expr.MaxNodes(maxNodes))
	if err != nil {
		return nil, singleLineError(err)
	}
	return &Condition{text: text, program: program}, nil
}

// singleLineError puts an error of the compiler into one line.
func singleLineError(err error) error {
	var located *file.Error
	if errors.As(err, &located) {
		return fmt.Errorf("line %d, column %d: %s", located.Line, located.Column+1, located.Message)
	}
	return fmt.Errorf("%s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// Holds evaluates the condition.
func (c *Condition) Holds(f Facts) (bool, error) {
	machine := vm.VM{MemoryBudget: memoryBudget}
	out, err := machine.Run(c.program, f)
	if err != nil {
		return false, singleLineError(err)
	}
	holds, ok := out.(bool)
	if !ok {
		return false, fmt.Errorf("%q gave no truth value", c.text)
	}
	return holds, nil
}

// String is the expression as it was written.
func (c *Condition) String() string { return c.text }
