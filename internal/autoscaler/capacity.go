package autoscaler

import (
	"maps"
	"math"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// bin is a machine's free capacity in a plan.
type bin struct {
	typ           *cluster.MachineType
	zone          string
	spot          bool
	cpu, gpu, mem float64
	offer         InstanceOffer
	releases      []release // capacity that running tasks are expected to give back
}

// release is capacity that comes free at a time.
type release struct {
	at            micro.Time
	cpu, gpu, mem float64
}

// availableAt is the bin as it will be at a time.
func (b *bin) availableAt(at micro.Time) bin {
	later := *b
	for _, r := range b.releases {
		if r.at <= at {
			later.cpu += r.cpu
			later.gpu += r.gpu
			later.mem += r.mem
		}
	}
	return later
}

func (b *bin) countFitting(spec *wire.Job) int {
	if !scheduler.Allowed(spec, b.typ, b.zone, b.spot) {
		return 0
	}
	return b.countByResources(spec)
}

// countByResources is how many tasks the bin has capacity for, allowed or not.
func (b *bin) countByResources(spec *wire.Job) int {
	count := math.MaxInt32
	limit := func(free, need float64) {
		if need > 0 {
			count = min(count, int(free/need+1e-9))
		}
	}
	limit(b.cpu, max(spec.CPUs, scheduler.ScaledCPUs(spec.CPUs, b.typ.SpeedFactor, b.typ.CPUs)))
	limit(b.gpu, spec.GPUs)
	limit(b.mem, spec.MemoryGB)
	return max(count, 0)
}

func (b *bin) reserve(spec *wire.Job, n int) {
	b.cpu -= float64(n) * max(spec.CPUs, scheduler.ScaledCPUs(spec.CPUs, b.typ.SpeedFactor, b.typ.CPUs))
	b.gpu -= float64(n) * spec.GPUs
	b.mem -= float64(n) * spec.MemoryGB
}

func newBin(typ *cluster.MachineType, zone string, spot bool) *bin {
	return &bin{typ: typ, zone: zone, spot: spot, cpu: typ.CPUs, gpu: typ.GPUs, mem: typ.MemoryGB}
}

// bootTimeoutFactor is how many of a type's boot times a machine may take and still
// count as capacity to come; beyond it another is requested.
const bootTimeoutFactor = 1.6

// offerCapacity is the capacity of machines of one offer that are expected to come up.
type offerCapacity struct {
	InstanceOffer
	typ             *cluster.MachineType
	machines        int        // all its machines
	emptyMachines   int        // whole machines that the plan has put nothing on
	partialMachines []*bin     // those that it has put something on
	committedTime   micro.Time // how long what the plan has put on them takes, over all machines
}

// capacity is all capacity that is expected to come up, by offer.
type capacity struct {
	groups  []*offerCapacity
	byOffer map[InstanceOffer]*offerCapacity
}

func (c *capacity) groupFor(offer InstanceOffer, typ *cluster.MachineType) *offerCapacity {
	group := c.byOffer[offer]
	if group == nil {
		group = &offerCapacity{InstanceOffer: offer, typ: typ}
		c.byOffer[offer] = group
		c.groups = append(c.groups, group)
	}
	return group
}

// zoneAllowance is how many more of a demand's tasks a zone may take.
func zoneAllowance(demand *taskDemand, zone string, tasksByZone map[string]int) int {
	if demand.job == nil || !demand.spec.Spread {
		return math.MaxInt32
	}
	job := demand.job
	return (len(job.Tasks)+1)/2 - job.AllocationsByZone[zone] - job.AllocationsByZone[""] - tasksByZone[zone]
}

// reserve puts up to so many of a demand's tasks into the capacity of the unreachable zones,
// or of the others, and says how many fit.
func (c *capacity) reserve(
	demand *taskDemand, tasks int, tasksByZone map[string]int, unreachable map[string]bool, inUnreachable bool,
) int {
	occupancy := demand.occupancy()
	reserved := 0
	for _, group := range c.groups {
		if reserved == tasks {
			break
		}
		if unreachable[group.Zone] != inUnreachable || group.emptyMachines == 0 && len(group.partialMachines) == 0 ||
			!demand.allows(group.typ, group.Zone, group.Spot) {
			continue
		}
		fitting := group.reserve(demand.spec, min(tasks-reserved, zoneAllowance(demand, group.Zone, tasksByZone)))
		if perMachine := newBin(group.typ, group.Zone, group.Spot).countFitting(demand.spec); perMachine > 0 {
			group.committedTime += occupancy * micro.Time(fitting) / micro.Time(perMachine)
		}
		tasksByZone[group.Zone] += fitting
		reserved += fitting
	}
	return reserved
}

// occupancy is how long a machine is taken by one of a demand's tasks.
func (d *taskDemand) occupancy() micro.Time {
	if d.job == nil || d.spec.Kind == wire.Service {
		return serviceOccupancy
	}
	return scheduler.EstimatedRuntime(d.job) + micro.FromSeconds(d.spec.ImageGB)
}

// serviceOccupancy stands for the time that a service takes.
const serviceOccupancy = 10 * micro.Minute

// reserveTurnover is how many of the tasks the machines of the capacity could start by a
// time, after what the plan has put on them, on capacity that is not expensive. It takes
// what it counts.
func (c *capacity) reserveTurnover(
	demand *taskDemand, tasks int, now, deadline micro.Time, expensive func(*offerCapacity) bool,
) int {
	occupancy := demand.occupancy()
	reserved := 0
	for _, group := range c.groups {
		perMachine := newBin(group.typ, group.Zone, group.Spot).countFitting(demand.spec)
		if reserved == tasks || perMachine == 0 || expensive(group) {
			continue
		}
		freeTime := micro.Time(group.machines)*(deadline-now-micro.FromSeconds(group.typ.BootS)) - group.committedTime
		if freeTime <= 0 || occupancy <= 0 {
			continue
		}
		fitting := min(tasks-reserved, int(freeTime*micro.Time(perMachine)/occupancy))
		group.committedTime += occupancy * micro.Time(fitting) / micro.Time(perMachine)
		reserved += fitting
	}
	return reserved
}

func (c *offerCapacity) add(n int) {
	c.machines += n
	c.emptyMachines += n
}

func (c *offerCapacity) reserve(spec *wire.Job, tasks int) int {
	reserved := 0
	for _, partial := range c.partialMachines {
		if fitting := min(tasks-reserved, partial.countFitting(spec)); fitting > 0 {
			partial.reserve(spec, fitting)
			reserved += fitting
		}
	}
	perMachine := newBin(c.typ, c.Zone, c.Spot).countFitting(spec)
	for perMachine > 0 && reserved < tasks && c.emptyMachines > 0 {
		if whole := min(c.emptyMachines, (tasks-reserved)/perMachine); whole > 0 {
			c.emptyMachines -= whole // what is left beside them is not counted on
			reserved += whole * perMachine
			continue
		}
		partial := newBin(c.typ, c.Zone, c.Spot)
		partial.reserve(spec, tasks-reserved)
		c.emptyMachines--
		c.partialMachines = append(c.partialMachines, partial)
		reserved = tasks
	}
	return reserved
}

// reserveReleased is how many of n tasks fit on running machines by a time; it takes
// what it counts. Capacity in a zone where the job may have no more is none: a spread
// service once waited for good for capacity beside its own tasks, since as much of it
// was about to come free, and nothing was requested in the other zone.
func reserveReleased(bins []*bin, demand *taskDemand, tasks int, tasksByZone map[string]int, at micro.Time) int {
	reserved := 0
	reservedByZone := map[string]int{}
	for _, free := range bins {
		if reserved == tasks {
			break
		}
		if !demand.allows(free.typ, free.zone, free.spot) || demand.boundToOtherZone(free.zone) {
			continue
		}
		later := free.availableAt(at)
		if fitting := min(
			tasks-reserved, later.countFitting(demand.spec),
			zoneAllowance(demand, free.zone, tasksByZone)-reservedByZone[free.zone],
		); fitting > 0 {
			free.reserve(demand.spec, fitting)
			reservedByZone[free.zone] += fitting
			reserved += fitting
		}
	}
	return reserved
}

// boundToOtherZone reports whether the demand's job must be in one zone and holds allocations in
// another than the given one.
func (d *taskDemand) boundToOtherZone(zone string) bool {
	if d.job == nil || !d.spec.OneZone {
		return false
	}
	for z, n := range d.job.AllocationsByZone {
		if n > 0 && z != zone {
			return true
		}
	}
	return false
}

// bootOverdue reports whether a machine takes longer to come up than it may to count as
// capacity to come.
func bootOverdue(m *cluster.Machine, now micro.Time) bool {
	return now-m.RequestedAt > micro.Time(float64(micro.FromSeconds(m.Type.BootS))*bootTimeoutFactor)+2*micro.Second
}

// bootFailureExclusion is for how long an offer is left out whose machines did not come up: once
// they are terminated nothing else tells.
const bootFailureExclusion = 2 * micro.Minute

// minOverdueBoots is how many machines of an offer must be late for that: one alone
// may take several times as long as its type.
const minOverdueBoots = 2

// trackBootFailures notes the offers most of whose machines did not come up in time. While
// there are other offers these are not asked for: replaced by their like, a class's
// machines failed to boot one wave after the other, and its work waited for as long
// as its cheapest offer did not work.
func (p *Planner) trackBootFailures(now micro.Time) {
	overdue, upCount := map[InstanceOffer]int{}, map[InstanceOffer]int{}
	for _, machine := range p.Cluster.SortedMachines() {
		offer := InstanceOffer{machine.TypeName, machine.Zone, machine.Spot}
		switch {
		case machine.Type == nil:
		case machine.State == cluster.Up:
			upCount[offer]++
		case machine.State == cluster.Registering && len(machine.Allocations) == 0 && bootOverdue(machine, now):
			overdue[offer]++
		}
	}
	for offer, count := range overdue {
		if count >= minOverdueBoots && count > upCount[offer] {
			p.excludedUntil[offer] = now + bootFailureExclusion
		}
	}
	maps.DeleteFunc(p.excludedUntil, func(_ InstanceOffer, until micro.Time) bool { return until <= now })
}

// expectedCapacity lists the capacity of machines that are expected to come up.
func (p *Planner) expectedCapacity(now micro.Time) *capacity {
	expected := &capacity{byOffer: map[InstanceOffer]*offerCapacity{}}
	for _, machine := range p.Cluster.SortedMachines() {
		if machine.State != cluster.Registering || machine.Type == nil || machine.CloudState == wire.MachineFailed ||
			len(machine.Allocations) > 0 {
			continue
		}
		if bootOverdue(machine, now) {
			continue
		}
		expected.groupFor(InstanceOffer{machine.TypeName, machine.Zone, machine.Spot}, machine.Type).add(1)
	}
	requestIDs := make([]string, 0, len(p.PendingRequests))
	for requestID := range p.PendingRequests {
		requestIDs = append(requestIDs, requestID)
	}
	sort.Strings(requestIDs)
	for _, requestID := range requestIDs {
		scaleOut := p.PendingRequests[requestID]
		if typ := p.Cluster.Types[scaleOut.Type]; typ != nil {
			expected.groupFor(scaleOut.InstanceOffer, typ).add(scaleOut.Count)
		}
	}
	return expected
}

// runningBins lists the capacity of machines that are up, with what is expected to come
// free.
func (p *Planner) runningBins(now micro.Time) []*bin {
	var bins []*bin
	for _, machine := range p.Cluster.SortedMachines() {
		if !machine.Schedulable(now) {
			continue
		}
		free := newBin(machine.Type, machine.Zone, machine.Spot)
		free.cpu = machine.Type.CPUs - max(machine.UsedScaledCPU, machine.UsedCPU)
		free.gpu, free.mem = machine.Type.GPUs-machine.UsedGPU, machine.Type.MemoryGB-machine.UsedMemoryGB
		for _, allocation := range machine.Allocations {
			job := allocation.Job
			if job == nil || job.Spec.Kind == wire.Service && !allocation.Stopping {
				continue
			}
			free.releases = append(free.releases, release{
				expectedEnd(allocation, machine.Type, now), max(job.Spec.CPUs, allocation.ScaledCPU), job.Spec.GPUs,
				job.Spec.MemoryGB,
			})
		}
		bins = append(bins, free)
	}
	return bins
}

// expectedEnd is when an allocation of a known job is expected to give its capacity back.
func expectedEnd(allocation *cluster.Allocation, typ *cluster.MachineType, now micro.Time) micro.Time {
	if allocation.Stopping {
		return now
	}
	estimate := scheduler.EstimatedRuntime(allocation.Job)
	if allocation.RunningSince > 0 {
		return max(allocation.RunningSince+estimate, now+estimate/4)
	}
	return now + estimate + micro.FromSeconds(allocation.Job.Spec.ImageGB/typ.FetchGBPerS)
}
