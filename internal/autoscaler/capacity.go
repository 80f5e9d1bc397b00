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

// bin is the free capacity of one machine during planning, in CPUs, GPUs and GB of memory.
type bin struct {
	typ           *cluster.MachineType
	zone          string
	spot          bool
	cpu, gpu, mem float64
	offer         InstanceOffer
	releases      []release // capacity that running tasks are expected to release
}

// release is capacity that a running task is expected to release at a given time.
type release struct {
	at            micro.Time
	cpu, gpu, mem float64
}

// availableAt returns a copy of the bin that includes the capacity expected to be released by at.
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

// countFitting returns how many of a job's tasks fit into the bin; 0 if the job may not use such a
// machine.
func (b *bin) countFitting(spec *wire.Job) int {
	if !scheduler.Allowed(spec, b.typ, b.zone, b.spot) {
		return 0
	}
	return b.countByResources(spec)
}

// countByResources returns how many of a job's tasks fit into the bin by their resource requests
// alone, whether or not the job may use such a machine.
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

// reserve subtracts the resources of n tasks from the bin.
func (b *bin) reserve(spec *wire.Job, n int) {
	b.cpu -= float64(n) * max(spec.CPUs, scheduler.ScaledCPUs(spec.CPUs, b.typ.SpeedFactor, b.typ.CPUs))
	b.gpu -= float64(n) * spec.GPUs
	b.mem -= float64(n) * spec.MemoryGB
}

// newBin returns the capacity of an empty machine.
func newBin(typ *cluster.MachineType, zone string, spot bool) *bin {
	return &bin{typ: typ, zone: zone, spot: spot, cpu: typ.CPUs, gpu: typ.GPUs, mem: typ.MemoryGB}
}

// bootTimeoutFactor is the multiple of its type's boot time for which a booting machine counts as
// expected capacity; after that a replacement is requested.
const bootTimeoutFactor = 1.6

// offerCapacity is the capacity of the machines of one offer that are expected to boot.
type offerCapacity struct {
	InstanceOffer
	typ             *cluster.MachineType
	machines        int        // all machines of the offer that are expected to boot
	emptyMachines   int        // those without planned tasks
	partialMachines []*bin     // free capacity of those that planned tasks occupy in part
	committedTime   micro.Time // machine time that the planned tasks take, summed over all machines
}

// capacity is the capacity of all machines that are expected to boot, grouped by offer.
type capacity struct {
	groups  []*offerCapacity
	byOffer map[InstanceOffer]*offerCapacity
}

// groupFor returns the group of an offer and creates it if there is none yet.
func (c *capacity) groupFor(offer InstanceOffer, typ *cluster.MachineType) *offerCapacity {
	group := c.byOffer[offer]
	if group == nil {
		group = &offerCapacity{InstanceOffer: offer, typ: typ}
		c.byOffer[offer] = group
		c.groups = append(c.groups, group)
	}
	return group
}

// zoneAllowance returns how many more of a demand's tasks may be placed in a zone; tasksByZone holds
// those that the plan has placed. Only spread jobs have a limit: half of their tasks, rounded up, in
// each zone. An allocation whose zone is unknown ("") may be in any zone and counts in each.
func zoneAllowance(demand *taskDemand, zone string, tasksByZone map[string]int) int {
	if demand.job == nil || !demand.spec.Spread {
		return math.MaxInt32
	}
	job := demand.job
	return (len(job.Tasks)+1)/2 - job.AllocationsByZone[zone] - job.AllocationsByZone[""] - tasksByZone[zone]
}

// reserve reserves capacity for up to the given number of a demand's tasks and returns how many fit.
// It uses either the unreachable zones or the reachable ones, and adds the tasks to tasksByZone.
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

// occupancy returns how long one of a demand's tasks is expected to occupy its share of a machine:
// the estimated run time and one second for each GB of the image.
func (d *taskDemand) occupancy() micro.Time {
	if d.job == nil || d.spec.Kind == wire.Service {
		return serviceOccupancy
	}
	return scheduler.EstimatedRuntime(d.job) + micro.FromSeconds(d.spec.ImageGB)
}

// serviceOccupancy is the occupancy assumed for services, which do not end, and for headroom.
const serviceOccupancy = 10 * micro.Minute

// reserveTurnover reserves machine time for tasks that the expected machines could start by the
// deadline, one after another and after the tasks already planned on them, and returns how many.
// Expensive capacity is not used.
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

// add adds n empty machines.
func (c *offerCapacity) add(n int) {
	c.machines += n
	c.emptyMachines += n
}

// reserve reserves capacity for up to the given number of tasks, on partially occupied machines first,
// and returns how many fit.
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
		if full := min(c.emptyMachines, (tasks-reserved)/perMachine); full > 0 {
			c.emptyMachines -= full // the capacity that these tasks leave on them is not used
			reserved += full * perMachine
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

// reserveReleased reserves capacity on running machines, including what is expected to be released by
// at, for up to the given number of a demand's tasks and returns how many fit. Capacity in a zone where
// the job may have no more tasks does not count: a spread service once waited permanently for capacity
// next to its own tasks, because enough of it was about to be released, and nothing was requested in
// the other zone.
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

// boundToOtherZone reports whether the demand's job must run in a single zone and has allocations in a
// zone other than the given one.
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

// bootOverdue reports whether a machine has been booting for too long to count as expected capacity:
// more than 2 s beyond bootTimeoutFactor times its type's boot time.
func bootOverdue(m *cluster.Machine, now micro.Time) bool {
	return now-m.RequestedAt > micro.Time(float64(micro.FromSeconds(m.Type.BootS))*bootTimeoutFactor)+2*micro.Second
}

// bootFailureExclusion is how long an offer is excluded after its machines failed to boot. Once they
// are terminated, nothing but this exclusion shows that they failed.
const bootFailureExclusion = 2 * micro.Minute

// minOverdueBoots is the number of overdue machines from which an offer is excluded. A single machine
// may take several times its type's boot time.
const minOverdueBoots = 2

// trackBootFailures excludes the offers that have at least minOverdueBoots overdue machines, and more of
// them than machines that are up. An excluded offer is requested only if there is no other: when
// machines that failed to boot were replaced by machines of the same offer, one wave after another
// failed, and a class's work waited for as long as its cheapest offer did not work.
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

// expectedCapacity returns the capacity of the machines that are expected to boot: those that are
// registering and those of pending instance requests.
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

// runningBins returns the free capacity of each schedulable machine and the capacity that its tasks are
// expected to release.
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

// expectedEnd returns when an allocation of a known job is expected to release its capacity. For a
// running task this is at least a quarter of its estimated run time from now, however long it has run.
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
