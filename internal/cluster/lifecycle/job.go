package lifecycle

// JobState is the state of a job as a controller sees it.
type JobState uint8

// States of a job.
const (
	Active    JobState = iota
	Finishing          // all tasks are done and the final status is being written
	Aborting           // its cancellation is being written
	Done
	Aborted
	Blocked  // not all of its dependencies are done
	Assigned // assigned to a shard, whose owner schedules it
)

// String returns the name of the state in logs and for operators.
func (s JobState) String() string {
	return [...]string{"active", "finishing", "aborting", "done", "aborted", "blocked", "assigned"}[s]
}

// jobTransitions lists the states that may follow each state. Done and Aborted are final.
var jobTransitions = transitions[JobState]{
	Active:    {Finishing, Aborting, Done, Aborted, Assigned},
	Finishing: {Done, Aborted},
	Aborting:  {Aborted, Done},
	Blocked:   {Active, Aborting, Aborted},
	Assigned:  {Active, Aborting, Finishing, Done, Aborted},
}

// CanTransitionTo reports whether the transition to the given state is allowed.
func (s JobState) CanTransitionTo(to JobState) bool { return jobTransitions.allow(s, to) }
