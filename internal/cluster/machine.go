package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// AllocationKey identifies an attempt on a machine.
type AllocationKey struct {
	Task    string
	Attempt uint64
}

// exitedAttempt is an ended attempt that the agent still reports.
type exitedAttempt struct {
	chunk         *TaskChunk // chunk that contains the task
	chunkVersion  uint64     // version of the chunk that must be stored before the agent may forget the attempt
	dispatchToken uint64     // the agent must have seen a fencing token above this one
}

// Machine is a machine with its agent. Its fields may be accessed only on the goroutine that owns
// the state. Times are on this process's monotonic clock, and 0 means never.
type Machine struct {
	Name              string
	Addr              string
	Type              *MachineType // nil if it is not in the catalog or not described yet
	TypeName          string
	Zone              string // empty if not known yet
	Spot              bool
	State             MachineState
	InstanceRequestID string // the instance request that created it, if known
	Allocations       map[AllocationKey]*Allocation

	Contact
	Capacity
	Instance
	Ownership
	Quarantine
	Reservation
	Dispatch
	poolPosition
	images // images that it is assumed to have

	exitedAttempts map[AllocationKey]*exitedAttempt
}

// Instance is the state of a machine as the cloud reports it.
type Instance struct {
	RequestedAt  micro.Time // when it was requested, if known
	LastListed   micro.Time // when the last inventory that listed it was requested
	CloudState   wire.MachineState
	PreemptionAt micro.Time // when the cloud will preempt it; 0 if there is no notice
	Permanent    bool       // operator-owned: created before any provisioned machine; not terminated when idle
	Cordoned     bool       // gets no new tasks and is terminated once it is empty
}

// Ownership describes which controller owns a machine.
type Ownership struct {
	OwnedElsewhere  bool // owned by another controller: this one neither responds to it nor schedules on it
	TransferPending bool // about to be transferred to another controller: no new tasks are placed on it
}

// Quarantine holds the failures attributed to a machine and its quarantine state.
type Quarantine = quarantine.Machine

// Reservation keeps a machine free for a job that is too large for the resources free on other
// machines.
type Reservation struct {
	ReservedFor              *Job
	ReservedAt               micro.Time
	StarvationReservation    bool       // for a job that has been waiting for long
	UnusedReservationSince   micro.Time // since when it is reserved, for one or several jobs, and unused
	UnusedReservationEndedAt micro.Time // when an unused reservation of it last ended
}

// Dispatch is the state of the direct commands: those sent to the agent in requests of their own
// rather than in heartbeat responses.
type Dispatch struct {
	DispatchInFlight   bool       // a dispatch is in progress
	DispatchPending    bool       // further commands arrived in the meantime
	NextDispatchAt     micro.Time // no dispatch before this time
	DispatchUnanswered bool       // the last dispatch was not answered, and no message has arrived since
}

// EnsureMachine returns the machine with the given name, creating it if necessary.
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

// DescribeMachine sets a machine's type, zone and kind. Allocations restored before the zone was
// known are moved to the new zone's count. When they stayed counted under no zone, two tasks of a
// spread service ran in one zone.
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

// RefreshOwnership updates the ownership of all machines after their division among the controllers
// changed.
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

// RaiseMinFencingToken records that this controller received machines that another controller owned
// under tokens below the given one. Attempts found on a machine from now on may have been started
// under one of those tokens, including on machines that are not known yet.
func (s *State) RaiseMinFencingToken(token uint64) { s.MinFencingToken = max(s.MinFencingToken, token) }

// AcquireMachine records that this controller received a machine from another controller, which may
// have responded to its agent until now.
func (s *State) AcquireMachine(machine *Machine, now micro.Time) {
	machine.RequiredFencingToken = s.MinFencingToken
	machine.LeaseRenewedAt = now
	if machine.State == Up {
		s.TransitionMachine(machine, Suspect, "transferred from another controller")
	}
}

// Schedulable reports whether new tasks may be placed on the machine.
func (m *Machine) Schedulable(now micro.Time) bool {
	return m.acceptsTasks() && m.QuarantinedUntil <= now
}

// acceptsTasks reports whether new tasks may be placed on the machine, ignoring any quarantine.
func (m *Machine) acceptsTasks() bool {
	return m.State == Up && m.Type != nil && m.PreemptionAt == 0 &&
		!m.ResponsesLost && !m.Cordoned && !m.OwnedElsewhere && !m.TransferPending
}

// SetCordoned stops or resumes the placement of new tasks on a machine.
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

// SortedAllocations returns the allocations ordered by task and attempt, so that runs are
// reproducible.
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

// SortedMachines returns the machines ordered by name.
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
