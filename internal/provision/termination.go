package provision

import (
	"context"
	"slices"
	"sort"
	"time"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/statestore"
)

// terminationTimeout is the time limit of a call that terminates machines.
const terminationTimeout = 6 * time.Second

// Terminate marks a machine for termination. If its instance request has a record, the mark is stored there
// before the termination is sent: a termination that the cloud executed late once removed a machine
// together with the work that the next leader had started on it.
//
// The termination of a machine with allocations does not wait for the write. Such a machine is terminated
// because it sent no heartbeats, and only the cloud's response releases its allocations. When the
// termination waited behind the writes of a busy hour, the tasks of dead machines were placed again 14 s
// later.
func (p *Provisioner) Terminate(machine *cluster.Machine, reason string) {
	if !p.cluster.TransitionMachine(machine, cluster.Terminating, reason) {
		return
	}
	p.pendingTerminations[machine] = 0
	request := p.requests[machine.InstanceRequestID]
	if request == nil || !p.cluster.CompactRecords || !slices.Contains(request.record.Machines, machine.Name) {
		return // no record, marked by an earlier leader, or record version 1, which would drop the mark
	}
	request.record.Machines = removeName(request.record.Machines, machine.Name)
	request.record.Terminating = append(slices.Clone(request.record.Terminating), machine.Name)
	request.recordVersion++
	if len(machine.Allocations) > 0 {
		request.storeRecord.MarkDirty(p.term.Now(), statestore.PriorityLow)
		return
	}
	p.pendingTerminations[machine] = request.recordVersion
	request.storeRecord.MarkDirty(p.term.Now(), statestore.PriorityHigh)
}

// TerminationRecorded reports whether the termination of a machine may be sent: the mark in the record of
// its request is stored, or it need not wait for one.
func (p *Provisioner) TerminationRecorded(machine *cluster.Machine) bool {
	request := p.requests[machine.InstanceRequestID]
	return request == nil || p.pendingTerminations[machine] <= request.storedVersion
}

// SendTerminations sends the pending terminations whose marks are stored, up to the limit of one call
// (cloud.MaxTerminate).
func (p *Provisioner) SendTerminations() {
	var machines []*cluster.Machine
	for machine := range p.pendingTerminations {
		if p.TerminationRecorded(machine) {
			machines = append(machines, machine)
		}
	}
	if len(machines) == 0 {
		return
	}
	sort.Slice(machines, func(a, b int) bool { return machines[a].Name < machines[b].Name })
	machines = machines[:min(len(machines), cloud.MaxTerminate)]
	names := make([]string, len(machines))
	for i, machine := range machines {
		names[i] = machine.Name
		delete(p.pendingTerminations, machine)
	}
	go p.callTerminate(machines, names)
}

// callTerminate makes one call; it runs on a goroutine of its own. The end of the term does not cancel the
// call, since the cloud may have executed it already.
func (p *Provisioner) callTerminate(machines []*cluster.Machine, names []string) {
	if !p.term.HoldsLease() {
		p.loop.Post(terminationNotSent{p, machines})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), terminationTimeout)
	defer cancel()
	err := p.cloud.Terminate(ctx, names)
	p.loop.Post(terminationCompleted{p, machines, err})
}

// terminationNotSent is the event of a termination that was not sent because the leader held no lease.
type terminationNotSent struct {
	provisioner *Provisioner
	machines    []*cluster.Machine
}

// Apply makes the terminations pending again.
func (e terminationNotSent) Apply() { e.provisioner.retryTerminations(e.machines) }

// terminationCompleted is the event of a completed call that terminates machines.
type terminationCompleted struct {
	provisioner *Provisioner
	machines    []*cluster.Machine
	err         error // nil: the machines are terminated
}

// Apply removes the machines, or makes their terminations pending again if the call failed.
func (e terminationCompleted) Apply() {
	if e.err != nil {
		e.provisioner.log.Info("termination failed, will be retried", "machines", len(e.machines), "err", e.err)
		e.provisioner.retryTerminations(e.machines)
		return
	}
	for _, machine := range e.machines {
		e.provisioner.removeTerminated(machine)
	}
}

// retryTerminations makes the terminations of machines pending again.
func (p *Provisioner) retryTerminations(machines []*cluster.Machine) {
	for _, machine := range machines {
		if machine.State == cluster.Terminating {
			p.pendingTerminations[machine] = 0 // the mark is stored already
		}
	}
}

// removeTerminated removes a terminated machine from the cluster state and from the record of its request,
// and closes the request with its last machine.
func (p *Provisioner) removeTerminated(machine *cluster.Machine) {
	p.cluster.RemoveMachine(machine, p.term.Now())
	request := p.requests[machine.InstanceRequestID]
	if request == nil {
		return
	}
	request.record.Machines = removeName(request.record.Machines, machine.Name)
	request.record.Terminating = removeName(request.record.Terminating, machine.Name)
	if len(request.record.Machines)+len(request.record.Terminating) == 0 {
		p.transition(request, RequestClosed)
	}
}
