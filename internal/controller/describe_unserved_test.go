package controller

import (
	"fmt"
	"strings"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/internal/store"
)

// Descriptions of jobs that a scenario left unserved: their state at the leader and at the shard owner, on the machines
// and in the store.

// maxDescribedJobs limits the number of jobs that a failed test describes.
const maxDescribedJobs = 24

// describeUnserved logs the leadership and the state of unserved jobs, at most maxDescribedJobs of them.
func (w *simCluster) describeUnserved(ids []string) {
	w.t.Helper()
	for _, line := range w.describeLeadership() {
		w.t.Log(line)
	}
	for _, id := range ids[:min(len(ids), maxDescribedJobs)] {
		w.t.Logf("%s: %s", id, w.describeOnMachines(id))
		for _, loop := range w.controlLoops() {
			w.t.Logf("%s at %s", id, loop.describe(id))
		}
		w.t.Logf("%s in the store: %s", id, w.describeStored(id))
	}
	if w.logs == nil {
		w.t.Log("run with -sim.log=DIRECTORY to keep the logs of the nodes")
	}
}

// describeLeadership describes which controller leads, since when and by which version of the leader key, and which
// one owns the shard after how many changes of owner.
func (w *simCluster) describeLeadership() []string {
	var lines []string
	for _, controller := range w.controllers {
		node := controller.runningNode()
		if node == nil {
			lines = append(lines, controller.name+" is not running")
			continue
		}
		line := fmt.Sprintf("%s: follows %q", controller.name, node.election.Leader())
		if leader := node.activeLeader(); leader != nil {
			line = fmt.Sprintf(
				"%s: leads with version %d of the leader key, for %.1f s", controller.name, leader.term.FencingRevision,
				(node.Now() - leader.cluster.TermStartedAt).Seconds(),
			)
		}
		lines = append(lines, line)
	}
	if entry, ok := w.shardRecord(); ok {
		lines = append(lines, fmt.Sprintf(
			"shard %s: %s, owner %q, target %q, version %d, %d changes of owner", entry.Name, entry.Record.State,
			entry.Record.Owner.Node, entry.Record.Target.Node, entry.Version, entry.Record.OwnerChanges,
		))
	}
	return lines
}

// inspectedLoop is the control loop of a leader or of a shard owner, with a name for messages.
type inspectedLoop struct {
	name string
	*controlLoop
	coordinator *coordinator.Coordinator // nil for an owner, and for a leader without shards
}

// controlLoops returns the running loops of leaders and of owners of the shard.
func (w *simCluster) controlLoops() []inspectedLoop {
	var loops []inspectedLoop
	for _, controller := range w.controllers {
		node := controller.runningNode()
		if node == nil {
			continue
		}
		if leader := node.activeLeader(); leader != nil {
			loops = append(loops, inspectedLoop{controller.name + ", leader", leader.controlLoop, leader.coordinator})
		}
		if node.shards == nil {
			continue
		}
		if owner, ok := node.shards.Owner("east"); ok {
			loops = append(loops, inspectedLoop{controller.name + ", owner", owner.controlLoop, nil})
		}
	}
	return loops
}

// jobDescriptionQuery is an event that describes a job on the loop's goroutine.
type jobDescriptionQuery struct {
	loop  inspectedLoop
	job   string
	reply eventloop.Reply[string]
}

// Apply sends the description of the job.
func (e jobDescriptionQuery) Apply() { e.reply.Send(e.loop.describeJob(e.job)) }

// describe describes a loop's state of a job, and waits for at most a second for the loop to answer.
func (l inspectedLoop) describe(id string) string {
	description, ok := eventloop.Call(
		l.loop, eventloop.Events, micro.Second,
		func(reply eventloop.Reply[string]) eventloop.Event { return jobDescriptionQuery{l, id, reply} },
	)
	if !ok {
		description = "the loop did not answer within a second"
	}
	return l.name + ": " + description
}

// describeJob describes the loop's state of a job. It must be called on the loop's goroutine.
func (l inspectedLoop) describeJob(id string) string {
	now := l.node.Now()
	job := l.cluster.Jobs[id]
	if job == nil {
		return "unknown job"
	}
	text := &strings.Builder{}
	fmt.Fprintf(
		text, "%v, %s, %s, team %s, %d tasks, %d done, %d running, %d pending", job.State, job.Spec.Kind, job.Spec.Priority,
		job.Spec.Team, len(job.Tasks), job.DoneTasks, job.RunningTasks, job.PendingTasks(),
	)
	if job.Shard != "" {
		fmt.Fprintf(
			text, ", in shard %s, at most %d allocations, %d reserved tasks", job.Shard, job.MaxAllocations,
			job.ReservedTasks,
		)
	}
	if job.PendingTasks() > 0 && job.State == cluster.Active {
		fmt.Fprintf(
			text, ", waiting for %.0f s: %v", (now - job.WaitingSince).Seconds(), l.scheduler.ExplainPending(job, now),
		)
	}
	if team := l.cluster.Teams[job.Spec.Team]; team != nil {
		fmt.Fprintf(text, "; team uses %g of %g CPUs", team.UsedCPU, team.CPULimit)
	}
	fmt.Fprintf(text, "; %s; %s; %s", describeConstraints(job), describeChunks(job), l.describeOffers(job))
	for _, allocation := range job.Allocations() {
		machine := allocation.Machine
		fmt.Fprintf(
			text, "; %s attempt %d %v, stopping %v, observed %v, on %s, %v, last heartbeat %.1f s ago", allocation.TaskName,
			allocation.Attempt, allocation.State, allocation.Stopping, allocation.Observed, machine.Name, machine.State,
			(now - machine.LastHeartbeat).Seconds(),
		)
	}
	return text.String()
}

// describeConstraints describes which machines a job may use.
func describeConstraints(job *cluster.Job) string {
	spec, zone := &job.Spec, "any"
	if spec.Zone != nil {
		zone = *spec.Zone
	}
	types := "any"
	if spec.Types != nil {
		types = strings.Join(spec.Types, " ")
	}
	return fmt.Sprintf(
		"%g CPUs per task, spot %t, zone %s, spread %t, one zone %t, types %s", spec.CPUs, spec.Spot, zone, spec.Spread,
		spec.OneZone, types,
	)
}

// describeChunks describes the states that decide whether a job can be assigned to a shard: whether it was ever
// allocated or dequeued, and its chunk records.
func describeChunks(job *cluster.Job) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "never allocated %t, never dequeued %t", job.NeverAllocated(), job.NeverDequeued())
	for _, chunk := range job.Chunks {
		fmt.Fprintf(
			text, ", record of chunk %d: stored %t, revision %d, version %d in memory, %d stored", chunk.Index,
			chunk.Stored, chunk.KeyRevision, chunk.MemoryVersion, chunk.StoredVersion,
		)
	}
	return text.String()
}

// describeOffers lists the instance offers of the catalog that a job may use, at a leader apart for the leader's own
// and the shards' offers.
func (l inspectedLoop) describeOffers(job *cluster.Job) string {
	var own, sharded []string
	for _, offer := range l.allowedOffers(job) {
		name := fmt.Sprintf("%s in %s, spot %t", offer.Type, offer.Zone, offer.Spot)
		if l.coordinator == nil || l.coordinator.OwnsOffer(offer) {
			own = append(own, name)
		} else {
			sharded = append(sharded, name)
		}
	}
	if l.coordinator == nil {
		return fmt.Sprintf("may use the offers %q", own)
	}
	return fmt.Sprintf("may use the leader's offers %q and the shards' offers %q", own, sharded)
}

// allowedOffers returns the instance offers of the catalog that a job may use.
func (l inspectedLoop) allowedOffers(job *cluster.Job) []autoscaler.InstanceOffer {
	var offers []autoscaler.InstanceOffer
	for _, machineType := range l.cluster.CatalogOrder {
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				if scheduler.Allowed(&job.Spec, machineType, zone, spot) {
					offers = append(offers, autoscaler.InstanceOffer{Type: machineType.Name, Zone: zone, Spot: spot})
				}
			}
		}
	}
	return offers
}

// describeOnMachines describes what a job's user knows, and which machines actually run its tasks.
func (w *simCluster) describeOnMachines(id string) string {
	job := &userJob{w, id, nil}
	names := []string{}
	for _, machine := range job.machines() {
		names = append(names, machine.agent.Name)
	}
	known := job.knowledge()
	return fmt.Sprintf(
		"accepted %v, done %v, aborted %v; %d tasks running; machines that are up: %v", known.accepted, known.done,
		known.aborted, job.runningTasks(), names,
	)
}

// describeStored lists the keys and revisions of a job's stored records.
func (w *simCluster) describeStored(id string) string {
	prefixes := []string{keys.JobPrefixFor(id), keys.ChunkPrefix + id + "/"}
	found := []string{}
	for _, prefix := range append(prefixes, shard.AssignmentPrefixFor("east"), shard.AllocationPrefixFor("east")) {
		page, err := w.store.Range(w.ctx, store.Routine, prefix, "", 1000)
		if err != nil {
			found = append(found, fmt.Sprintf("%s: %v", prefix, err))
		}
		for _, item := range page.Items {
			if strings.Contains(item.Key+"/", "/"+id+"/") {
				found = append(found, fmt.Sprintf("%s at revision %d", item.Key, uint64(item.Version)))
			}
		}
	}
	return strings.Join(found, ", ")
}
