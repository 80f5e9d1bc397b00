package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// AllocationKey names an attempt on a machine.
type AllocationKey struct {
	Task    string
	Attempt uint64
}

// exitedAttempt is an attempt that ended and that the agent still lists.
type exitedAttempt struct {
	chunk         *TaskChunk // whose version must be stored before it is forgotten
	chunkVersion  uint64
	dispatchToken uint64 // a token above this one must have been seen
}

// Machine is a machine with its agent. Its fields are read and changed only on the goroutine
// that owns the state; times are on the steady clock of this process, 0 meaning never.
type Machine struct {
	Name              string
	Addr              string
	Type              *MachineType // nil: not in the catalog, or not described yet
	TypeName          string
	Zone              string // empty: not known yet
	Spot              bool
	State             MachineState
	InstanceRequestID string // the instance request that it came of, as far as known
	Allocations       map[AllocationKey]*Allocation

	Contact
	Capacity
	Instance
	Ownership
	Quarantine
	Reservation
	Dispatch
	poolPosition
	images // that it is thought to have

	exitedAttempts map[AllocationKey]*exitedAttempt
}

// Instance is a machine as the cloud knows it.
type Instance struct {
	RequestedAt  micro.Time // when it was requested, as far as known
	LastListed   micro.Time // the last list of the cloud's that showed it
	CloudState   wire.MachineState
	PreemptionAt micro.Time // when the cloud takes it back; 0: no notice
	Permanent    bool       // here before the service: never terminated for being idle
	Cordoned     bool       // takes no new tasks, to be terminated once it is empty
}

// Ownership says which controller a machine belongs to.
type Ownership struct {
	OwnedElsewhere  bool // another controller's: not this one's to respond to or to schedule on
	TransferPending bool // it is to become another's: it takes no new tasks
}

// Quarantine is what speaks against a machine.
type Quarantine = quarantine.Machine

// Reservation keeps a machine free for a job that is too large for what is free elsewhere.
type Reservation struct {
	ReservedFor              *Job
	ReservedAt               micro.Time
	StarvationReservation    bool       // for a job that has waited long
	KeptForMove              bool       // for a service that comes back from a shard: closed to all others until that ends
	UnusedReservationSince   micro.Time // since when it is reserved, for one job or another, and none of them used it
	UnusedReservationEndedAt micro.Time // when a reservation of it last ended unused
}

// Dispatch is the state of the commands that are sent to the agent by themselves.
type Dispatch struct {
	DispatchInFlight   bool       // a dispatch is under way
	DispatchPending    bool       // more came up meanwhile
	NextDispatchAt     micro.Time // no dispatch before
	DispatchUnanswered bool       // the latest was left unanswered, and no message came since
}

// EnsureMachine finds or makes a machine.
func (s *State) EnsureMachine(name string, now micro.Time) *Machine {
	machine := s.Machines[name]
	if machine == nil {
		machine = &Machine{
			Name:           name,
			Allocations:    map[AllocationKey]*Allocation{},
			exitedAttempts: map[AllocationKey]*exitedAttempt{},
			images:         s.takeImageHint(name),
			Quarantine:     Quarantine{JobFailures: map[string]micro.Time{}},
			Instance:       Instance{RequestedAt: now},
			Capacity:       Capacity{IdleSince: now},
			Contact:        Contact{RequiredFencingToken: s.MinFencingToken},
		}
		s.Machines[name] = machine
		s.sortedMachines = nil
	}
	return machine
}

// DescribeMachine fills in what a machine is. Allocations restored before its zone was known are
// counted anew: counted under no zone, they once let a spread service run two of its tasks in
// one.
func (s *State) DescribeMachine(machine *Machine, typeName, zone string, spot bool) {
	if machine.Zone != zone {
		for _, allocation := range machine.Allocations {
			if allocation.taskKnown {
				allocation.Job.AllocationsByZone[machine.Zone]--
				allocation.Job.AllocationsByZone[zone]++
			}
		}
	}
	machine.TypeName, machine.Zone, machine.Spot = typeName, zone, spot
	machine.Type = s.Types[typeName]
	if s.Ownership != nil {
		machine.OwnedElsewhere, machine.TransferPending = s.Ownership(machine)
	}
	s.updatePool(machine)
}

// RefreshOwnership notes that the division of the machines among the controllers changed.
func (s *State) RefreshOwnership() {
	for _, machine := range s.SortedMachines() {
		wasExcluded := machine.OwnedElsewhere || machine.TransferPending
		machine.OwnedElsewhere, machine.TransferPending = s.Ownership(machine)
		if wasExcluded != (machine.OwnedElsewhere || machine.TransferPending) {
			s.updatePool(machine)
		}
	}
	s.ScheduleSoon()
}

// RaiseMinFencingToken notes that this controller was given machines that another owned, under
// tokens below the given one. What is found on a machine from now on may have been
// started under one of those, also on machines that are not known yet.
func (s *State) RaiseMinFencingToken(token uint64) { s.MinFencingToken = max(s.MinFencingToken, token) }

// AcquireMachine notes that this controller was given a machine that another owned, which may
// have responded to it until now.
func (s *State) AcquireMachine(machine *Machine, now micro.Time) {
	machine.RequiredFencingToken = s.MinFencingToken
	machine.LeaseRenewedAt = now
	if machine.State == Up {
		s.TransitionMachine(machine, Suspect, "received from another controller")
	}
}

// Schedulable reports whether new tasks may be placed on the machine.
func (m *Machine) Schedulable(now micro.Time) bool {
	return m.acceptsTasks() && m.QuarantinedUntil <= now
}

// acceptsTasks reports whether new tasks may be placed on the machine, its quarantine aside.
func (m *Machine) acceptsTasks() bool {
	return m.State == Up && m.Type != nil && m.PreemptionAt == 0 &&
		!m.ResponsesLost && !m.Cordoned && !m.OwnedElsewhere && !m.TransferPending
}

// SetCordoned lets a machine take new tasks no more, or again.
func (s *State) SetCordoned(machine *Machine, cordoned bool) {
	if machine.Cordoned == cordoned {
		return
	}
	machine.Cordoned = cordoned
	s.updatePool(machine)
	if !cordoned {
		s.ScheduleSoon()
	}
}

// SortedAllocations lists the allocations by task and attempt: a fixed order, so that runs repeat.
func (m *Machine) SortedAllocations() []*Allocation {
	out := make([]*Allocation, 0, len(m.Allocations))
	for _, allocation := range m.Allocations {
		out = append(out, allocation)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].TaskName != out[b].TaskName {
			return out[a].TaskName < out[b].TaskName
		}
		return out[a].Attempt < out[b].Attempt
	})
	return out
}

// SortedMachines gives the machines in the order of their names.
func (s *State) SortedMachines() []*Machine {
	if s.sortedMachines == nil {
		s.sortedMachines = make([]*Machine, 0, len(s.Machines))
		for _, machine := range s.Machines {
			s.sortedMachines = append(s.sortedMachines, machine)
		}
		sort.Slice(s.sortedMachines, func(a, b int) bool { return s.sortedMachines[a].Name < s.sortedMachines[b].Name })
	}
	return s.sortedMachines
}
