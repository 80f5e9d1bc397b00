package scheduler

import (
	"cmp"
	"slices"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The replicas of a service are placed one by one. Where its team wants more than its limit,
// services that are each placed in part may hold the whole limit, and none of them ever gets the
// rest of its replicas: a service runs until it is cancelled, and quota is not preempted. So quota
// is transferred among them: replicas of those that come last are stopped, if another service
// becomes whole by that. Machines for it must be there first, and are requested beyond the limit.
// Only a service that is placed in part gives, and one that became whole does not: each transfer
// leaves one more whole, so they come to an end.

const (
	// quotaReviewInterval is how often teams are looked at.
	quotaReviewInterval = micro.Second
	// quotaTransferAfter is how long services have waited in vain that take part in a transfer.
	quotaTransferAfter = 30 * micro.Second
	// maxRecipientsTried is for how many services of a team machines are looked for at a time.
	maxRecipientsTried = 8
	// quotaTransferMargin is how long a transfer may take beyond the time in which the machines
	// that it waits for are up, or a machine that hangs has given its tasks up.
	quotaTransferMargin = 30 * micro.Second
	// quotaTransferBackoff is how long a service waits after a transfer to it came to nothing,
	// doubled with each up to maxTransferBackoffShift.
	quotaTransferBackoff    = 2 * micro.Minute
	maxTransferBackoffShift = 4
	// maxTransferGraceS is how many seconds a replica that is stopped gets to save at the most.
	maxTransferGraceS = 20
	// bootTimeFactor is how many of its type's boot times a requested machine is waited for.
	bootTimeFactor = 2
)

// transferRecord is what came of the transfers to a service so far.
type transferRecord struct {
	failures            int
	nextMachinesAt      micro.Time // no machines are requested before
	nextTransferAt      micro.Time // no replicas are stopped before
	machinesUnavailable bool       // none came up for it the last time
}

// serviceRank orders the services of a team: by priority, then those that have replicas, then by age.
func serviceRank(x, y *cluster.Job) int {
	return cmp.Or(
		cmp.Compare(x.PriorityLevel, y.PriorityLevel),
		-cmp.Compare(min(x.AllocationCount, 1), min(y.AllocationCount, 1)),
		cmp.Compare(x.EligibleSince, y.EligibleSince),
		cmp.Compare(x.Spec.ID, y.Spec.ID),
	)
}

// transferQuota begins transfers in the teams whose services wait for quota.
func (s *Scheduler) transferQuota(now micro.Time) {
	if now < s.nextQuotaReview {
		return
	}
	s.nextQuotaReview = now + quotaReviewInterval
	for job := range s.transferRecords {
		if !s.Cluster.PendingJobs[job] {
			delete(s.transferRecords, job)
		}
	}
	teams := s.servicesWithoutQuota()
	if len(teams) == 0 {
		return
	}
	s.stoppingQuota = s.countStoppingQuota()
	for _, services := range teams {
		if !services[0].Team.Transfer.StopsRequested {
			s.transferWithinTeam(services, now)
		}
	}
}

// servicesWithoutQuota lists the services that wait for quota, by team and in order.
func (s *Scheduler) servicesWithoutQuota() [][]*cluster.Job {
	byTeam := map[*cluster.Team][]*cluster.Job{}
	for job := range s.Cluster.PendingJobs {
		if job.Spec.Kind == wire.Service && lacksQuota(job) {
			byTeam[job.Team] = append(byTeam[job.Team], job)
		}
	}
	teams := make([][]*cluster.Job, 0, len(byTeam))
	for _, services := range byTeam {
		slices.SortFunc(services, serviceRank)
		teams = append(teams, services)
	}
	slices.SortFunc(teams, func(x, y []*cluster.Job) int { return cmp.Compare(x[0].Team.Name, y[0].Team.Name) })
	return teams
}

// lacksQuota reports whether the team's limit does not allow all tasks that wait.
func lacksQuota(job *cluster.Job) bool {
	return job.State == cluster.Active && job.Team != nil &&
		!job.Team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, job.PendingTasks())
}

// transferWithinTeam begins a transfer among a team's services, to those of the highest priority first.
func (s *Scheduler) transferWithinTeam(services []*cluster.Job, now micro.Time) {
	for rest := services; len(rest) > 0; {
		level := rest[0].PriorityLevel
		count := slices.IndexFunc(rest, func(job *cluster.Job) bool { return job.PriorityLevel != level })
		if count < 0 {
			count = len(rest)
		}
		if s.transferToLevel(rest[:count], services, now) {
			return
		}
		rest = rest[count:]
	}
}

// transferToLevel begins a transfer to one of the services of a priority, and reports whether those
// of lower ones have to wait: also for one that has not waited for long. Where none of them has
// machines yet, they are requested for the first.
func (s *Scheduler) transferToLevel(recipients, services []*cluster.Job, now micro.Time) bool {
	var next *cluster.Job
	tooSoon := false
	passedOver := map[*cluster.Job]bool{}
	for _, recipient := range recipientsToTry(recipients, now) {
		transfer := s.planQuotaTransfer(recipient, services, passedOver, now)
		if transfer == nil {
			passedOver[recipient] = true
			continue
		}
		if !s.waitedForQuota(recipient, now) {
			tooSoon = true
			continue
		}
		if s.planMachines(transfer) {
			s.startQuotaTransfer(transfer)
			return true
		}
		if next == nil && now >= s.transferRecords[recipient].nextMachinesAt {
			next = recipient
		}
	}
	current := &recipients[0].Team.Transfer
	if current.Recipient != nil && current.Recipient.PriorityLevel <= recipients[0].PriorityLevel {
		return true
	}
	if next == nil {
		return tooSoon
	}
	*current = cluster.QuotaTransfer{Recipient: next, Since: now}
	s.Cluster.Log("quota transfer", "job", next.Spec.ID, "reason", "waits for machines")
	return true
}

// waitedForQuota reports whether a service has waited for so long that it takes part in transfers.
func (s *Scheduler) waitedForQuota(job *cluster.Job, now micro.Time) bool {
	return s.Cluster.WaitingTime(job, now) >= quotaTransferAfter
}

// recipientsToTry is a part of many services, another one each time.
func recipientsToTry(recipients []*cluster.Job, now micro.Time) []*cluster.Job {
	if len(recipients) <= maxRecipientsTried {
		return recipients
	}
	parts := (len(recipients) + maxRecipientsTried - 1) / maxRecipientsTried
	first := int(now/quotaReviewInterval) % parts * maxRecipientsTried
	return recipients[first:min(first+maxRecipientsTried, len(recipients))]
}

// mayReceive reports whether a service would have all its replicas placed if it had the quota.
func (s *Scheduler) mayReceive(job *cluster.Job, now micro.Time) bool {
	pending := job.PendingTasks()
	return now >= s.transferRecords[job].nextTransferAt && !job.FailedWithoutSuccess(now) &&
		job.SchedulableTasks(now) >= pending && len(job.NextTasks(now, pending)) == pending &&
		len(s.reachableReplicas(job)) == job.AllocationCount
}

// mayDonate reports whether a service that waits may have replicas stopped for another one: one of
// higher priority, or one of the same that has begun. Of the same priority, one that comes before
// the other gives only if it was passed over, or no machines came up for it.
func (s *Scheduler) mayDonate(donor, recipient *cluster.Job, passedOver map[*cluster.Job]bool) bool {
	switch {
	case donor == recipient || donor.AllocationCount == 0:
		return false
	case donor.PriorityLevel != recipient.PriorityLevel:
		return donor.PriorityLevel > recipient.PriorityLevel
	case recipient.AllocationCount == 0 || donor.Team.Transfer.Recipient == donor:
		return false
	}
	return serviceRank(recipient, donor) < 0 || passedOver[donor] || s.transferRecords[donor].machinesUnavailable
}

// plannedTransfer is what is to be stopped so that a service becomes whole, and the machines for it.
type plannedTransfer struct {
	recipient *cluster.Job
	toStop    []*cluster.Allocation
	machines  []*cluster.Machine
	now       micro.Time
}

// planQuotaTransfer chooses the replicas to stop for a service, those of the last first; nil: it would
// not become whole, or none is needed.
func (s *Scheduler) planQuotaTransfer(
	recipient *cluster.Job, services []*cluster.Job, passedOver map[*cluster.Job]bool, now micro.Time,
) *plannedTransfer {
	if !s.mayReceive(recipient, now) {
		return nil
	}
	missing := s.missingQuota(recipient)
	transfer := &plannedTransfer{recipient: recipient, now: now}
	for _, donor := range slices.Backward(services) {
		if !s.waitedForQuota(donor, now) || !s.mayDonate(donor, recipient, passedOver) {
			continue
		}
		for _, allocation := range s.reachableReplicas(donor) {
			if missing.unaffectedBy(&donor.Spec) {
				break
			}
			missing.subtract(&donor.Spec)
			transfer.toStop = append(transfer.toStop, allocation)
		}
	}
	if !missing.covered() || len(transfer.toStop) == 0 {
		return nil
	}
	slices.Reverse(transfer.toStop) // what comes first is put back first
	transfer.toStop = slices.DeleteFunc(transfer.toStop, missing.dropIfUnneeded)
	return transfer
}

// reachableReplicas lists the replicas of a service that are on machines that answer and are not
// being stopped, the latest first.
func (s *Scheduler) reachableReplicas(job *cluster.Job) []*cluster.Allocation {
	replicas := slices.DeleteFunc(job.Allocations(), func(allocation *cluster.Allocation) bool {
		machine := allocation.Machine
		return allocation.Stopping || machine.State != cluster.Up || !s.Cluster.MachineReachable(machine)
	})
	slices.SortFunc(replicas, func(x, y *cluster.Allocation) int {
		return cmp.Or(cmp.Compare(y.PlannedAt, x.PlannedAt), cmp.Compare(y.Index, x.Index))
	})
	return replicas
}

// planMachines chooses machines for all replicas that the service lacks, and reports whether there
// are, in one of the zones if it has to be one.
func (s *Scheduler) planMachines(transfer *plannedTransfer) bool {
	for _, zone := range s.candidateZones(transfer.recipient) {
		if s.planMachinesIn(zone, transfer) {
			return true
		}
	}
	return false
}

// planMachinesIn chooses machines in a zone, or in all if it is "": those that have capacity, then
// those on which replicas are stopped for the service, then those that work of lower priority is
// preempted on once it has the quota.
func (s *Scheduler) planMachinesIn(zone string, transfer *plannedTransfer) bool {
	job, now := transfer.recipient, transfer.now
	count := job.PendingTasks()
	placement := placementRequest{
		job: job, zone: zone, anyPrice: job.PriorityLevel == highestPriorityLevel, now: now,
	}
	transfer.machines = s.planGang(&placement, count, s.relaxationLimit(job, now))
	for len(transfer.machines) < count {
		machine := s.machineFreedByStops(transfer, &placement)
		if machine == nil {
			return s.couldPreempt(&placement, count-len(transfer.machines))
		}
		placement.plan.add(job, machine)
		transfer.machines = append(transfer.machines, machine)
	}
	return true
}

// machineFreedByStops finds a machine that has capacity for one more replica once those planned to
// stop there have.
func (s *Scheduler) machineFreedByStops(transfer *plannedTransfer, placement *placementRequest) *cluster.Machine {
	job := transfer.recipient
	freed := map[*cluster.Machine]resources{}
	for _, allocation := range transfer.toStop {
		onMachine := freed[allocation.Machine]
		onMachine.Add(allocatedResources(allocation), 1)
		freed[allocation.Machine] = onMachine
	}
	for _, allocation := range transfer.toStop {
		machine := allocation.Machine
		if machine.Type == nil || placement.zone != "" && placement.zone != machine.Zone ||
			!Allowed(&job.Spec, machine.Type, machine.Zone, machine.Spot) ||
			!ZoneAllowed(job, machine.Zone, placement.plan.tasksByZone) || !machine.Schedulable(transfer.now) ||
			!placement.anyPrice && s.WithinPrice != nil && !s.WithinPrice(job, machine.Type, machine.Spot, transfer.now) {
			continue
		}
		request := requestOn(&job.Spec, machine.Type)
		if s.mayUse(job, machine, transfer.now) &&
			fits(request, machine, placement.plan.taken[machine], freed[machine]) {
			return machine
		}
	}
	return nil
}

// couldPreempt reports whether work of lower priority could be preempted for so many more replicas.
func (s *Scheduler) couldPreempt(placement *placementRequest, replicas int) bool {
	if placement.job.PriorityLevel >= lowestPriorityLevel {
		return false
	}
	preemption := preemptionPlan{
		job: placement.job, zone: placement.zone, now: placement.now, planned: placement.plan,
	}
	s.planPreemption(&preemption, replicas)
	return len(preemption.targets) == replicas
}

// startQuotaTransfer stops the replicas that were chosen. What comes free is kept for the service.
func (s *Scheduler) startQuotaTransfer(transfer *plannedTransfer) {
	job, now := transfer.recipient, transfer.now
	for _, allocation := range transfer.toStop {
		grace := min(s.checkpointGrace(&allocation.Job.Spec, job), maxTransferGraceS)
		s.Cluster.StopAllocation(allocation, "quota for "+job.Spec.ID, grace, now)
	}
	for _, machine := range transfer.machines {
		if machine.ReservedFor == nil {
			s.reserveMachine(machine, job, false, now)
		}
	}
	job.Team.Transfer = cluster.QuotaTransfer{Recipient: job, Since: now, StopsRequested: true}
	s.Cluster.Log(
		"quota transfer", "job", job.Spec.ID, "replicas", job.PendingTasks(), "stopped", len(transfer.toStop),
		"reason", "services in part hold the team's limit",
	)
}

// expireQuotaTransfers ends the transfers that are over or took too long.
func (s *Scheduler) expireQuotaTransfers(now micro.Time) {
	for _, team := range s.Cluster.Teams {
		recipient := team.Transfer.Recipient
		switch {
		case recipient == nil:
		case recipient.State != cluster.Active || recipient.PendingTasks() == 0:
			team.Transfer = cluster.QuotaTransfer{}
		case now-team.Transfer.Since > s.quotaTransferTTL(&team.Transfer):
			s.recordTransferFailure(&team.Transfer, now)
			team.Transfer = cluster.QuotaTransfer{}
		}
	}
}

// quotaTransferTTL is how long a transfer may take.
func (s *Scheduler) quotaTransferTTL(transfer *cluster.QuotaTransfer) micro.Time {
	if transfer.StopsRequested {
		return s.Cluster.LeaseDuration + quotaTransferMargin
	}
	return bootTimeFactor*s.maxBootTime(&transfer.Recipient.Spec) + quotaTransferMargin
}

// maxBootTime is the longest boot time among the types that a job may use.
func (s *Scheduler) maxBootTime(spec *wire.Job) micro.Time {
	var longest micro.Time
	for _, typ := range s.Cluster.CatalogOrder {
		for _, zone := range typ.Zones {
			if Allowed(spec, typ, zone, false) {
				longest = max(longest, micro.FromSeconds(typ.BootS))
			}
		}
	}
	return longest
}

// recordTransferFailure puts off the next transfer to a service that did not become whole.
func (s *Scheduler) recordTransferFailure(transfer *cluster.QuotaTransfer, now micro.Time) {
	if s.transferRecords == nil {
		s.transferRecords = map[*cluster.Job]transferRecord{}
	}
	record := s.transferRecords[transfer.Recipient]
	next := now + quotaTransferBackoff<<min(record.failures, maxTransferBackoffShift)
	record.failures++
	record.nextMachinesAt = next
	if transfer.StopsRequested {
		record.nextTransferAt = next
	} else {
		record.machinesUnavailable = true
	}
	s.transferRecords[transfer.Recipient] = record
	s.Cluster.Log("quota transfer", "job", transfer.Recipient.Spec.ID, "reason", "not whole in time")
}
