// Package policy compiles and evaluates the conditions of operators' policies: boolean expressions over the
// time, pending tasks and free machines. Conditions are compiled when the settings are loaded.
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

// Limits on the size of an expression, in syntax nodes, and on the memory that its evaluation may allocate.
const (
	maxNodes     = 200
	memoryBudget = 10_000
)

// Facts holds the inputs of a condition. The field tags are the names used in expressions.
type Facts struct {
	Hour    int    `expr:"hour"`    // hour of the day, UTC
	Minute  int    `expr:"minute"`  // minute of the hour
	Weekday string `expr:"weekday"` // "monday" to "sunday"

	Waiting    map[string]int `expr:"waiting"`    // tasks waiting for an allocation, by team
	Guaranteed map[string]int `expr:"guaranteed"` // waiting tasks within the team's guaranteed quota, by team
	Free       map[string]int `expr:"free"`       // machines without tasks, by shard
	Machines   map[string]int `expr:"machines"`   // machines that are up, by shard
}

// SetTime sets Hour, Minute and Weekday to the UTC time t.
func (f *Facts) SetTime(t time.Time) {
	t = t.UTC()
	f.Hour, f.Minute = t.Hour(), t.Minute()
	f.Weekday = strings.ToLower(t.Weekday().String())
}

// Condition is a compiled boolean expression.
type Condition struct {
	text    string
	program *vm.Program
}

// Compile compiles an expression. A compile error is one line with the position and the reason.
func Compile(text string) (*Condition, error) {
	program, err := expr.Compile(text, expr.Env(Facts{}), expr.AsBool(), expr.MaxNodes(maxNodes))
	if err != nil {
		return nil, singleLineError(err)
	}
	return &Condition{text: text, program: program}, nil
}

// singleLineError returns an error of package expr as one line, with its position if it has one.
func singleLineError(err error) error {
	var located *file.Error
	if errors.As(err, &located) {
		return fmt.Errorf("line %d, column %d: %s", located.Line, located.Column+1, located.Message)
	}
	return fmt.Errorf("%s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// Holds reports whether the condition is true for f. It returns an error if the evaluation fails or exceeds
// its memory budget.
func (c *Condition) Holds(f Facts) (bool, error) {
	machine := vm.VM{MemoryBudget: memoryBudget}
	out, err := machine.Run(c.program, f)
	if err != nil {
		return false, singleLineError(err)
	}
	holds, ok := out.(bool)
	if !ok {
		return false, fmt.Errorf("%q did not evaluate to a boolean", c.text)
	}
	return holds, nil
}

// String returns the source text of the expression.
func (c *Condition) String() string { return c.text }
