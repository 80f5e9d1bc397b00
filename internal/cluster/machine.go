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

// Machine is a machine and its worker.
type Machine struct {
	Name                     string
	Addr                     string
	Type                     *MachineType
	TypeName                 string
	Zone                     string
	Spot                     bool
	State                    MachineState
	AgentEpoch               uint64
	Sequence                 uint64
	FencingToken             uint64
	LastHeartbeat            micro.Time // last new proof of life
	LeaseRenewedAt           micro.Time // last report answered, new or not, or first sign of the session: the worker's lease may count from it
	RequiredFencingToken     uint64     // it counts as up once it has shown this token
	MissedResponses          int        // reports in a row that had not seen the token they should have
	ResponsesLostSince       micro.Time // since when it hears nothing
	FirstHeartbeat           micro.Time
	ExpiredEpoch             uint64 // sessions up to this one surely ended
	Allocations              map[AllocationKey]*Allocation
	UsedCPU                  float64
	UsedGPU                  float64
	UsedMemoryGB             float64
	UsedScaledCPU            float64
	UsedByPriority           [priorityLevels]Resources // what places hold by rank, those told to stop excepted
	UsedByStopping           Resources                 // what places hold that were told to stop
	IdleSince                micro.Time
	RequestedAt              micro.Time // when it was rented, as far as known
	Permanent                bool       // here before the service: never returned for being idle
	LastListed               micro.Time // last list that showed it; 0: none
	CloudState               wire.MachineState
	PreemptionAt             micro.Time            // the cloud takes it then; 0: no notice
	Cordoned                 bool                  // takes no new tasks, to go back once it is empty
	ResponsesLost            bool                  // reports, but hears nothing: takes no new tasks
	Overruns                 int                   // attempts in a row that ran far over what was expected
	JobFailures              map[string]micro.Time // jobs that failed here, and when they last did
	QuarantinedUntil         micro.Time            // takes no tasks until then, except as a last resort
	QuarantinedForFailures   bool                  // avoided since several jobs failed on it
	LastFaultAt              micro.Time            // when a failure, or a refusal for want of room, last made it avoided
	LastNeededForHeadroom    micro.Time            // last time that headroom counted on it
	DispatchInFlight         bool                  // a direct order is under way
	DispatchPending          bool                  // more came up meanwhile
	NextDispatchAt           micro.Time            // no direct order before
	DispatchUnanswered       bool                  // left the latest direct order unanswered, and was not heard since
	ReservedFor              *Job                  // being cleared for this job
	ReservedAt               micro.Time
	UnusedReservationSince   micro.Time // since when it is reserved, for one job or another, and none of them used it
	UnusedReservationEndedAt micro.Time // when a reservation of it last ended unused
	StarvationReservation    bool       // reserved for a job that has waited long
	InstanceRequestID        string
	OwnedElsewhere           bool // another controller owns it: it is not this one's to answer or to place on
	TransferPending          bool // it is to become another's: it takes no new tasks

	images            map[string]cachedImage // images fetched
	lastResponseToken uint64                 // the token of the last answer, 0: not known
	pool              *MachinePool           // where placement finds it, nil: nowhere
	poolRow           int
	poolRowIndex      int
	exitedAttempts    map[AllocationKey]*exitedAttempt
}

// EnsureMachine finds or makes a machine.
func (s *State) EnsureMachine(name string, now micro.Time) *Machine {
	machine := s.Machines[name]
	if machine == nil {
		machine = &Machine{
			Name:                 name,
			Allocations:          map[AllocationKey]*Allocation{},
			exitedAttempts:       map[AllocationKey]*exitedAttempt{},
			images:               s.takeImageHint(name),
			JobFailures:          map[string]micro.Time{},
			RequestedAt:          now,
			IdleSince:            now,
			RequiredFencingToken: s.MinFencingToken,
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
