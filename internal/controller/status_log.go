package controller

import (
	"fmt"
	"strings"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
)

// statusLogInterval is how often a leader or shard owner logs its status.
const statusLogInterval = 20 * micro.Second

// logStatusIfDue logs the status of the loop if statusLogInterval has passed since the last time.
func (l *controlLoop) logStatusIfDue(now micro.Time, queuedRequests int) {
	if now-l.lastStatusLog >= statusLogInterval {
		l.lastStatusLog = now
		l.logStatus(queuedRequests)
	}
}

// describeFleet returns the number of schedulable machines and a description of them by pool.
func (l *controlLoop) describeFleet() (usable int, description string) {
	var fleet strings.Builder
	for _, pool := range l.cluster.Pools {
		if pool.MachineCount == 0 {
			continue
		}
		usable += pool.MachineCount
		kind := "ordinary"
		if pool.Spot {
			kind = "spot"
		}
		fmt.Fprintf(
			&fleet, "%s %s %s %d, %d empty; ", pool.Type.Name, pool.Zone, kind, pool.MachineCount, pool.CountIf(isEmpty),
		)
	}
	return usable, fleet.String()
}

// isEmpty reports whether a machine has no allocations.
func isEmpty(machine *cluster.Machine) bool { return len(machine.Allocations) == 0 }

// logStatus logs the numbers of jobs, tasks, machines, queued writes and pending work of the loop.
func (l *controlLoop) logStatus(queuedRequests int) {
	usable, fleet := l.describeFleet()
	l.log.Info(
		"leader status",
		"live", len(l.cluster.ActiveJobs),
		"blocked", l.cluster.BlockedJobs,
		"pending", len(l.cluster.PendingJobs),
		"tasks", l.pendingTasks.Load(),
		"usable", usable,
		"known", len(l.cluster.Machines),
		"writes_urgent", l.records.Queued(statestore.PriorityUrgent),
		"writes_high", l.records.Queued(statestore.PriorityHigh),
		"writes_low", l.records.Queued(statestore.PriorityLow),
		"writes_background", l.records.Queued(statestore.PriorityBackground),
		"written", l.records.ChangeCounts(),
		"schedule_interval_ms", int64(l.scheduleInterval/micro.Millisecond),
		"events", l.loop.Len(eventloop.Events),
		"queries", l.loop.Len(eventloop.Queries),
		"dispatches_in_flight", l.dispatcher.InFlight(),
		"dispatches_pending", l.dispatcher.Pending(),
		"instance_requests_queued", queuedRequests,
		"fleet", fleet,
	)
}
