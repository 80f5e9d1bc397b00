// Package lifecycle holds the state machines of jobs, allocations and machines: their states
// and, for each, the table of the transitions that are allowed. It has no state of its own.
package lifecycle

import "slices"

// transitions is a state machine's table: the states that may follow each state.
type transitions[S comparable] map[S][]S

// allow reports whether the table has a transition.
func (t transitions[S]) allow(from, to S) bool { return slices.Contains(t[from], to) }
