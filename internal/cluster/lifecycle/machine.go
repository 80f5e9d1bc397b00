package lifecycle

// MachineState is the state of a machine.
type MachineState uint8

// States of a machine.
const (
	Registering MachineState = iota // requested, listed or recorded, but no heartbeat in this term
	Up                              // its heartbeats arrive
	Suspect                         // its heartbeats have stopped
	Expired                         // its agent's lease has certainly expired
	Terminating                     // its termination was requested from the cloud
	Terminated                      // the cloud confirmed the termination
)

// String returns the name of the state in logs and for operators.
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

// CanTransitionTo reports whether the transition to the given state is allowed.
func (s MachineState) CanTransitionTo(to MachineState) bool { return machineTransitions.allow(s, to) }
