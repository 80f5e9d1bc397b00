package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// AllocationKey names an attempt on a machine.
type AllocationKey struct {
	Task    string
	Attempt uint64
}

// exitedAttempt is an ended attempt that the worker still lists.
type exitedAttempt struct {
	chunk         *TaskChunk // whose version must be saved before it is forgotten
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

	images         map[string]cachedImage // images fetched
	exitedAttempts map[AllocationKey]*exitedAttempt
}

// Contact is what is known of a machine's agent by its messages, and of its lease.
type Contact struct {
	AgentEpoch           uint64 // the agent's current epoch: a new one begins when its lease ran out
	ExpiredEpoch         uint64 // epochs up to this one surely ended
	Sequence             uint64 // of the newest message in the epoch
	FencingToken         uint64 // the highest that the agent has seen
	RequiredFencingToken uint64 // the machine counts as up once it has shown this token
	FirstHeartbeat       micro.Time
	LastHeartbeat        micro.Time // the last new proof of life

	// LeaseRenewedAt is when a heartbeat, new or not, was last answered, or when the epoch
	// first showed: the agent's lease may count from it.
	LeaseRenewedAt micro.Time

	MissedResponses    int        // heartbeats in a row that had not seen the token they should have
	ResponsesLost      bool       // its heartbeats come, but no response reaches it: it takes no new tasks
	ResponsesLostSince micro.Time // since when

	lastResponseToken uint64 // the token of the last response; 0: not known
}

// Capacity is what the allocations on a machine use.
type Capacity struct {
	UsedCPU        float64 // cores
	UsedGPU        float64
	UsedMemoryGB   float64
	UsedScaledCPU  float64                   // cores as the scheduler counts them, by the type's speed
	UsedByPriority [priorityLevels]Resources // by priority level, without what is stopping
	UsedByStopping Resources                 // by attempts that were told to stop

	IdleSince             micro.Time // since when it is idle, while it holds no allocation
	LastNeededForHeadroom micro.Time // when headroom last counted on it
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
	OwnedElsewhere  bool // another controller's: not this one's to answer or to place on
	TransferPending bool // it is to become another's: it takes no new tasks
}

// Quarantine is what speaks against a machine.
type Quarantine struct {
	Overruns               int                   // attempts in a row that ran far over what was expected
	JobFailures            map[string]micro.Time // jobs that failed here, and when they last did
	QuarantinedUntil       micro.Time            // takes no tasks until then, except as a last resort
	QuarantinedForFailures bool                  // since several jobs failed on it
	LastFaultAt            micro.Time            // when a failure, or a refusal for lack of resources, last quarantined it
}

// Reservation keeps a machine free for a job that is too large for what is free elsewhere.
type Reservation struct {
	ReservedFor              *Job
	ReservedAt               micro.Time
	StarvationReservation    bool       // for a job that has waited long
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

// poolPosition is where the scheduler finds a machine; pool is nil if it takes no tasks.
type poolPosition struct {
	pool         *MachinePool
	poolRow      int
	poolRowIndex int
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

// takeImageHint gives the images that a machine had by the records, for good.
func (s *State) takeImageHint(name string) map[string]cachedImage {
	images, ok := s.imageHints[name]
	if !ok {
		return map[string]cachedImage{}
	}
	delete(s.imageHints, name)
	return images
}

// DescribeMachine fills in what a machine is. Places restored before its zone was
// known are counted anew: counted under no zone, they once let a spread service
// put two of its tasks into one.
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
// have answered it until now.
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

// sortedAllocations lists the places in a fixed order, so that runs repeat.
func (m *Machine) sortedAllocations() []*Allocation {
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

// SortedAllocations lists the machine's places in a fixed order.
func (m *Machine) SortedAllocations() []*Allocation { return m.sortedAllocations() }

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
