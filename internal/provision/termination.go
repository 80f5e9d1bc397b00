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

// terminationTimeout is how long a call that terminates machines may take.
const terminationTimeout = 6 * time.Second

// Terminate marks a machine to be terminated. Where its request has a record, that is
// written before the termination goes out: a request that is carried out late once took
// a machine away with the work that the next leader had started on it. The termination of
// a machine that holds allocations does not wait: it was given up for its silence, and
// only the cloud's answer frees them. Behind the writes of a busy hour the tasks of
// dead machines were placed again 14 s later.
func (p *Provisioner) Terminate(machine *cluster.Machine, reason string) {
	if !p.cluster.TransitionMachine(machine, cluster.Terminating, reason) {
		return
	}
	p.pendingTerminations[machine] = 0
	request := p.requests[machine.InstanceRequestID]
	if request == nil || !p.cluster.CompactRecords || !slices.Contains(request.record.Machines, machine.Name) {
		return // without a record, or marked by an earlier leader; version 1 would drop the mark
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

// TerminationRecorded reports whether the store knows that a machine is to be terminated, as
// far as its termination waits for that.
func (p *Provisioner) TerminationRecorded(machine *cluster.Machine) bool {
	request := p.requests[machine.InstanceRequestID]
	return request == nil || p.pendingTerminations[machine] <= request.storedVersion
}

// SendTerminations has marked machines terminated whose records are stored, as many as one
// call may name.
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

// callTerminate makes one call, on a goroutine of its own. The end of the term does not cut
// it short: the cloud may have carried it out.
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

// terminationNotSent says that the leader held no lease when machines were to be terminated.
type terminationNotSent struct {
	provisioner *Provisioner
	machines    []*cluster.Machine
}

// Apply has the call made again.
func (e terminationNotSent) Apply() { e.provisioner.retryTerminations(e.machines) }

// terminationCompleted says what came of a call that terminates machines.
type terminationCompleted struct {
	provisioner *Provisioner
	machines    []*cluster.Machine
	err         error // nil: they are terminated
}

// Apply removes the machines, or has the call made again.
func (e terminationCompleted) Apply() {
	if e.err != nil {
		e.provisioner.log.Info("termination unanswered", "machines", len(e.machines), "err", e.err)
		e.provisioner.retryTerminations(e.machines)
		return
	}
	for _, machine := range e.machines {
		e.provisioner.removeTerminated(machine)
	}
}

func (p *Provisioner) retryTerminations(machines []*cluster.Machine) {
	for _, machine := range machines {
		if machine.State == cluster.Terminating {
			p.pendingTerminations[machine] = 0 // its mark is in the store
		}
	}
}

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
