package lifecycle

// MachineState is the state of a machine.
type MachineState uint8

// The states of a machine.
const (
	Registering MachineState = iota // rented, listed or recorded; no report in this term
	Up                              // reports
	Suspect                         // reported, and stopped doing so
	Expired                         // its worker's lease surely ran out
	Terminating                     // asked to be returned
	Terminated                      // the cloud said so
)

// String is the state as operators and logs name it.
func (s MachineState) String() string {
	return [...]string{"unheard", "up", "silent", "lost", "returning", "gone"}[s]
}

// machineTransitions lists the states that may follow each state. Terminated is final.
var machineTransitions = transitions[MachineState]{
	Registering: {Up, Expired, Terminating, Terminated, Suspect},
	Up:          {Suspect, Expired, Terminating, Terminated},
	Suspect:     {Up, Expired, Terminating, Terminated},
	Expired:     {Up, Terminating, Terminated},
	Terminating: {Terminated},
}

// MayBecome reports whether a transition is allowed.
func (s MachineState) MayBecome(to MachineState) bool { return machineTransitions.allow(s, to) }
