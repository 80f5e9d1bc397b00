package lifecycle

// MachineState is the state of a machine.
type MachineState uint8

// The states of a machine.
const (
	Registering MachineState = iota // requested, listed or recorded; no heartbeat in this term
	Up                              // its heartbeats come
	Suspect                         // its heartbeats came, and stopped
	Expired                         // its agent's lease surely ran out
	Terminating                     // the cloud was asked to take it back
	Terminated                      // the cloud said so
)

// String is the state as operators and logs name it.
func (s MachineState) String() string {
	return [...]string{"registering", "up", "suspect", "expired", "terminating", "terminated"}[s]
}

// machineTransitions lists the states that may follow each state. Terminated is final.
var machineTransitions = transitions[MachineState]{
	Registering: {Up, Expired, Terminating, Terminated, Suspect},
	Up:          {Suspect, Expired, Terminating, Terminated},
	Suspect:     {Up, Expired, Terminating, Terminated},
	Expired:     {Up, Terminating, Terminated},
	Terminating: {Terminated},
}

// CanTransitionTo reports whether a transition is allowed.
func (s MachineState) CanTransitionTo(to MachineState) bool { return machineTransitions.allow(s, to) }
