package cluster

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

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

func (s MachineState) String() string {
	return [...]string{"unheard", "up", "silent", "lost", "returning", "gone"}[s]
}

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

var machineTransitions = map[MachineState][]MachineState{
	Registering: {Up, Expired, Terminating, Terminated, Suspect},
	Up:          {Suspect, Expired, Terminating, Terminated},
	Suspect:     {Up, Expired, Terminating, Terminated},
	Expired:     {Up, Terminating, Terminated},
	Terminating: {Terminated},
}

// TransitionMachine is the one place where a machine's state changes.
func (s *State) TransitionMachine(machine *Machine, to MachineState, reason string) bool {
	if machine.State == to {
		return false
	}
	for _, allowed := range machineTransitions[machine.State] {
		if allowed == to {
			s.Log(
				"machine", "machine", machine.Name, "type", machine.TypeName, "spot", machine.Spot, "was", machine.State.String(),
				"is", to.String(), "why", reason,
			)
			machine.State = to
			s.updatePool(machine)
			s.ScheduleSoon()
			return true
		}
	}
	return false
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
	return m.State == Up && m.Type != nil && !m.ResponsesLost && !m.Cordoned && !m.OwnedElsewhere && !m.TransferPending &&
		m.PreemptionAt == 0 &&
		m.QuarantinedUntil <= now
}

// MachineReachable reports whether orders are likely to arrive: not on a machine that
// left one unanswered, nor in a zone that fell silent as a whole, unless it was
// heard since. In the first seconds of a cut, gangs were placed beyond it until
// their machines' reports were overdue, and stayed there until it ended.
func (s *State) MachineReachable(machine *Machine) bool {
	if machine.DispatchUnanswered {
		return false
	}
	since, unreachable := s.ZoneUnreachableSince[machine.Zone]
	return !unreachable || machine.LastHeartbeat > since
}

// ZoneReachable reports whether a machine that is rented in the zone is likely to be
// heard: its controllers are in touch, or one of its machines was heard since they
// are not.
func (s *State) ZoneReachable(zone string) bool {
	since, unreachable := s.ZoneUnreachableSince[zone]
	if !unreachable {
		return true
	}
	for _, machine := range s.SortedMachines() {
		if machine.Zone == zone && machine.LastHeartbeat > since {
			return true
		}
	}
	return false
}

// latestLeaseStart is the latest time from which the worker's lease may count: the last
// answer to any of its reports, a late copy included, or the takeover, before
// which another leader may have answered it; or the last time at which a keeper
// of its zone may have.
func (s *State) latestLeaseStart(machine *Machine) micro.Time {
	return max(machine.LeaseRenewedAt, s.TermStartedAt, s.ProxyRenewedUntil[machine.Zone])
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

// ResponseSent notes the token of an answer that went out in good time; 0: it may have
// come too late for the worker to take it.
func (s *State) ResponseSent(machine *Machine, token uint64) { machine.lastResponseToken = token }

// WouldProveAlive reports whether a machine was heard, but has yet to show a token that
// proves it alive, and the given one would.
func (m *Machine) WouldProveAlive(token uint64) bool {
	return m.State != Up && m.State != Terminating && m.State != Terminated && m.LastHeartbeat > 0 &&
		m.FencingToken < m.RequiredFencingToken &&
		m.RequiredFencingToken <= token
}

// responsesLostAfter is how many reports in a row show that answers do not arrive.
const responsesLostAfter = 3

// trackResponseReceipt looks whether a report's worker has taken the answer before. Its next
// report is sent only after that answer, or after the worker gave it up.
func (s *State) trackResponseReceipt(machine *Machine, token uint64) {
	if machine.lastResponseToken == 0 || token < machine.lastResponseToken {
		if machine.lastResponseToken > 0 {
			machine.MissedResponses++
		}
		return
	}
	machine.MissedResponses = 0
	s.SetResponsesLost(machine, false, 0)
}

// ResponsesLikelyLost reports whether a machine's reports come, but nothing reaches it.
func (m *Machine) ResponsesLikelyLost() bool { return m.MissedResponses >= responsesLostAfter }

// SetResponsesLost marks a machine that hears nothing: it takes no new tasks, and what it
// has is placed elsewhere only once proven free. It is used again as soon as it
// shows that it hears.
func (s *State) SetResponsesLost(machine *Machine, lost bool, now micro.Time) {
	if machine.ResponsesLost == lost {
		return
	}
	machine.ResponsesLost, machine.ResponsesLostSince = lost, now
	s.Log("machine hears", "machine", machine.Name, "hears", !lost)
	s.updatePool(machine)
	s.ScheduleSoon()
}

// LeaseExpired reports whether the worker's lease surely ran out.
func (s *State) LeaseExpired(machine *Machine, now micro.Time) bool {
	return now > s.latestLeaseStart(machine)+s.LeaseDuration
}

// ExpireMachine frees everything on a machine whose worker's lease surely ran out.
func (s *State) ExpireMachine(machine *Machine, now micro.Time) {
	s.TransitionMachine(machine, Expired, "its lease ran out")
	machine.ExpiredEpoch = max(machine.ExpiredEpoch, machine.AgentEpoch)
	for _, allocation := range machine.sortedAllocations() {
		machine.ExpiredEpoch = max(machine.ExpiredEpoch, allocation.AgentEpoch)
		s.release(allocation, now)
	}
	clear(machine.exitedAttempts)
}

// RemoveMachine frees everything on a machine that the cloud says is gone.
func (s *State) RemoveMachine(machine *Machine, now micro.Time) {
	if machine.State != Terminating {
		s.TransitionMachine(machine, Terminating, "returned")
	}
	s.TransitionMachine(machine, Terminated, "the cloud said so")
	for _, allocation := range machine.sortedAllocations() {
		s.release(allocation, now)
	}
	delete(s.Machines, machine.Name)
	delete(s.quarantineCandidates, machine)
	s.sortedMachines = nil
	s.TerminatedAt[machine.Name] = now
}

// WasTerminated reports whether a machine was returned in this term, as far back as that
// is remembered.
func (s *State) WasTerminated(name string) bool {
	_, terminated := s.TerminatedAt[name]
	return terminated
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

// overrunFactor is how far over its expected run time an attempt is when it counts
// against its machine, and overruns how many in a row make a machine slow.
const (
	overrunFactor         = 2.2
	overrunLimit          = 2
	slowMachineQuarantine = 90 * micro.Second
)

// CheckOverrun looks at a running attempt that was expected to take so long. A
// machine with several that overran is slow: it takes no tasks for a while, and
// those that overran move. This is the exception to the design's assumption
// that a type's speed is its machines' speed.
func (s *State) CheckOverrun(allocation *Allocation, expected, now micro.Time) {
	if allocation.State != Running || allocation.RunningSince == 0 || allocation.Stopping || expected < 5*micro.Second ||
		allocation.Job.Spec.Kind == wire.Service {
		return
	}
	if now-allocation.RunningSince < micro.Time(overrunFactor*float64(expected))+5*micro.Second {
		return
	}
	machine := allocation.Machine
	if !allocation.overran {
		allocation.overran = true
		machine.Overruns++
	}
	if machine.Overruns < overrunLimit {
		return
	}
	if machine.QuarantinedUntil <= now {
		machine.QuarantinedUntil = now + slowMachineQuarantine
		s.Log("machine avoided", "machine", machine.Name, "why", "much slower than its type")
	}
	// A task that found no other machine would be stopped over and over.
	if len(allocation.Job.FailedOn) == 0 && allocation.Job.Spec.Kind == wire.JobArray && !allocation.LastResort {
		s.StopAllocation(allocation, "slow machine", allocation.Job.Spec.CheckpointDurationS, now)
	}
}

// RecordRunTime notes a completed attempt that took about what was expected.
func (m *Machine) RecordRunTime(took, expected micro.Time) {
	if float64(took) < 1.5*float64(expected) {
		m.Overruns = 0
	}
}
