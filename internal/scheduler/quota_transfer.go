package scheduler

import (
	"cmp"
	"slices"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The replicas of a service are placed one by one. If a team requests more than its limit, partially
// placed services may together hold the whole limit, and none of them ever gets its remaining replicas:
// a service runs until it is cancelled, and quota is not preempted. Quota is therefore transferred
// between them: replicas of the services that rank last are stopped if another service becomes fully
// placed by that. Machines for the recipient must be available first; they are requested beyond the
// limit. Only partially placed services are donors. Each transfer adds one fully placed service, which is
// not a donor again, so the sequence of transfers ends.

const (
	// quotaReviewInterval is the interval at which teams are checked for possible transfers.
	quotaReviewInterval = micro.Second
	// quotaTransferAfter is how long a service must have waited without success to take part in a
	// transfer.
	quotaTransferAfter = 30 * micro.Second
	// maxRecipientsTried is the maximum number of services of a team and priority for which machines are
	// searched in one review.
	maxRecipientsTried = 8
	// quotaTransferMargin is how long a transfer may take beyond the boot time of the machines that it
	// waits for, or beyond the lease after which a hung machine has stopped its tasks.
	quotaTransferMargin = 30 * micro.Second
	// quotaTransferBackoff is the delay before the next transfer to a service after a failed one. It
	// doubles with each failure, at most maxTransferBackoffShift times.
	quotaTransferBackoff    = 2 * micro.Minute
	maxTransferBackoffShift = 4
	// maxTransferGraceS is the maximum time in seconds that a stopped replica has to write a checkpoint.
	maxTransferGraceS = 20
	// bootTimeFactor is the multiple of the boot time that a transfer waits for requested machines.
	bootTimeFactor = 2
)

// transferRecord is the history of failed transfers to a service.
type transferRecord struct {
	failures            int
	nextMachinesAt      micro.Time // earliest time at which machines are requested again
	nextTransferAt      micro.Time // earliest time at which replicas are stopped again
	machinesUnavailable bool       // no machines came up for it in a failed transfer
}

// serviceRank compares two services of a team: by priority, then services with replicas before those
// without, then by age. Job IDs break ties.
func serviceRank(x, y *cluster.Job) int {
	return cmp.Or(
		cmp.Compare(x.PriorityLevel, y.PriorityLevel),
		-cmp.Compare(min(x.AllocationCount, 1), min(y.AllocationCount, 1)),
		cmp.Compare(x.EligibleSince, y.EligibleSince),
		cmp.Compare(x.Spec.ID, y.Spec.ID),
	)
}

// transferQuota starts transfers in the teams whose services wait for quota. It runs once per
// quotaReviewInterval.
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

// servicesWithoutQuota returns the services that wait for quota, grouped by team and ordered by
// serviceRank.
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

// lacksQuota reports whether the team's limit does not allow all pending tasks of a job.
func lacksQuota(job *cluster.Job) bool {
	return job.State == cluster.Active && job.Team != nil &&
		!job.Team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, job.PendingTasks())
}

// transferWithinTeam starts a transfer between a team's services. It tries the recipients of each priority
// in turn, the highest first.
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

// transferToLevel starts a transfer to one of the recipients, which have the same priority. If machines are
// available for none of them, it has machines requested for the first. It reports whether recipients of
// lower priorities must wait: because of a transfer, or because a recipient of this priority has not
// waited for quotaTransferAfter yet.
func (s *Scheduler) transferToLevel(recipients, services []*cluster.Job, now micro.Time) bool {
	var next *cluster.Job
	tooSoon := false
	skipped := map[*cluster.Job]bool{}
	for _, recipient := range recipientsToTry(recipients, now) {
		transfer := s.planQuotaTransfer(recipient, services, skipped, now)
		if transfer == nil {
			skipped[recipient] = true
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
	s.Cluster.Log("quota transfer pending", "job", next.Spec.ID, "reason", "waiting for machines")
	return true
}

// waitedForQuota reports whether a service has waited long enough to take part in transfers.
func (s *Scheduler) waitedForQuota(job *cluster.Job, now micro.Time) bool {
	return s.Cluster.WaitingTime(job, now) >= quotaTransferAfter
}

// recipientsToTry returns at most maxRecipientsTried of the recipients. If there are more, successive reviews
// get successive parts of them.
func recipientsToTry(recipients []*cluster.Job, now micro.Time) []*cluster.Job {
	if len(recipients) <= maxRecipientsTried {
		return recipients
	}
	parts := (len(recipients) + maxRecipientsTried - 1) / maxRecipientsTried
	first := int(now/quotaReviewInterval) % parts * maxRecipientsTried
	return recipients[first:min(first+maxRecipientsTried, len(recipients))]
}

// mayReceive reports whether a service could have all its replicas placed if it had the quota: no transfer
// backoff applies, all pending replicas may be placed now, no replica has failed without another one proving
// that the service works, and all placed replicas are on reachable machines.
func (s *Scheduler) mayReceive(job *cluster.Job, now micro.Time) bool {
	pending := job.PendingTasks()
	return now >= s.transferRecords[job].nextTransferAt && !job.FailedWithoutSuccess(now) &&
		job.SchedulableTasks(now) >= pending && len(job.NextTasks(now, pending)) == pending &&
		len(s.reachableReplicas(job)) == job.AllocationCount
}

// mayDonate reports whether replicas of a waiting service may be stopped for the recipient. The recipient
// must have a higher priority, or the same priority and at least one replica. A service of the same
// priority does not donate while it is the recipient of a transfer itself. If it ranks before the
// recipient, it donates only if it was skipped as a recipient, or if no machines came up for it.
func (s *Scheduler) mayDonate(donor, recipient *cluster.Job, skipped map[*cluster.Job]bool) bool {
	switch {
	case donor == recipient || donor.AllocationCount == 0:
		return false
	case donor.PriorityLevel != recipient.PriorityLevel:
		return donor.PriorityLevel > recipient.PriorityLevel
	case recipient.AllocationCount == 0 || donor.Team.Transfer.Recipient == donor:
		return false
	}
	return serviceRank(recipient, donor) < 0 || skipped[donor] || s.transferRecords[donor].machinesUnavailable
}

// plannedTransfer holds the replicas to stop so that a service becomes fully placed, and the machines for
// its pending replicas.
type plannedTransfer struct {
	recipient *cluster.Job
	toStop    []*cluster.Allocation
	machines  []*cluster.Machine
	now       micro.Time
}

// planQuotaTransfer chooses the replicas to stop for a service, starting with the services that rank last.
// It returns nil if the service would not become fully placed, or if no replica needs to be stopped.
func (s *Scheduler) planQuotaTransfer(
	recipient *cluster.Job, services []*cluster.Job, skipped map[*cluster.Job]bool, now micro.Time,
) *plannedTransfer {
	if !s.mayReceive(recipient, now) {
		return nil
	}
	missing := s.missingQuota(recipient)
	transfer := &plannedTransfer{recipient: recipient, now: now}
	for _, donor := range slices.Backward(services) {
		if !s.waitedForQuota(donor, now) || !s.mayDonate(donor, recipient, skipped) {
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
	slices.Reverse(transfer.toStop) // unneeded stops are dropped for the highest-ranked donors first
	transfer.toStop = slices.DeleteFunc(transfer.toStop, missing.dropIfUnneeded)
	return transfer
}

// reachableReplicas returns the replicas of a service that are not stopping and are on reachable machines in
// state Up, the most recently placed first.
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

// planMachines chooses machines for all pending replicas of the recipient, and reports whether there are
// enough. For a service restricted to one zone they are all in one zone.
func (s *Scheduler) planMachines(transfer *plannedTransfer) bool {
	for _, zone := range s.candidateZones(transfer.recipient) {
		if s.planMachinesIn(zone, transfer) {
			return true
		}
	}
	return false
}

// planMachinesIn chooses machines in a zone, or in all zones if it is "". It uses machines with capacity
// first, then machines on which replicas are stopped for the recipient. The rest of the replicas must
// find capacity by preemption of lower priorities, which happens once the recipient has the quota.
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

// machineFreedByStops returns a machine that has capacity for one more replica once the replicas to stop
// there have stopped, or nil.
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

// couldPreempt reports whether preemption of lower priorities could free capacity for that many more
// replicas.
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

// startQuotaTransfer stops the chosen replicas. The quota that becomes free is reserved for the recipient,
// as are the planned machines that have no reservation yet.
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
		"quota transfer started", "job", job.Spec.ID, "replicas", job.PendingTasks(), "stopped", len(transfer.toStop),
		"reason", "partially placed services hold the team's limit",
	)
}

// expireQuotaTransfers ends the transfers that are complete, or whose time limit has passed.
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

// quotaTransferTTL returns the time limit of a transfer in its current phase: waiting for stopped replicas
// or for machines.
func (s *Scheduler) quotaTransferTTL(transfer *cluster.QuotaTransfer) micro.Time {
	if transfer.StopsRequested {
		return s.Cluster.LeaseDuration + quotaTransferMargin
	}
	return bootTimeFactor*s.maxBootTime(&transfer.Recipient.Spec) + quotaTransferMargin
}

// maxBootTime returns the longest boot time of the machine types that a job may use.
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

// recordTransferFailure delays the next transfer to a service that did not become fully placed in time.
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
	s.Cluster.Log(
		"quota transfer failed", "job", transfer.Recipient.Spec.ID, "reason", "service not fully placed in time",
	)
}
