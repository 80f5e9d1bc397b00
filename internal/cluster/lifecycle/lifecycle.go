// Package lifecycle defines the states of jobs, allocations and machines and the transitions
// allowed between them. It holds no state of its own.
package lifecycle

import "slices"

// transitions maps each state to the states that may follow it.
type transitions[S comparable] map[S][]S

// allow reports whether the transition is allowed.
func (t transitions[S]) allow(from, to S) bool { return slices.Contains(t[from], to) }
