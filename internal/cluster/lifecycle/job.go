package lifecycle

// JobState is a job's state in a controller's picture.
type JobState uint8

// The states of a job.
const (
	Active    JobState = iota
	Finishing          // all tasks are done, the final status is being written
	Aborting           // its cancellation is being written
	Done
	Aborted
	Blocked  // its dependencies are not all done
	Assigned // to a shard of the machines, whose owner schedules it
)

// String is the state as operators and logs name it.
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

// CanTransitionTo reports whether a transition is allowed.
func (s JobState) CanTransitionTo(to JobState) bool { return jobTransitions.allow(s, to) }
