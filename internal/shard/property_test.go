package shard_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Simulation of three controllers, a leader, one shard with its machines, and the store. It runs step by step, with
// transactions that are refused, get no response or are executed late. The checks use the records in the store, the
// responses and commands that machines got, and which owners may serve.

const (
	sessionTTL    = 4 * micro.Second
	sessionMargin = 20 * micro.Millisecond // by which a controller's lease ends before that in the store
	shardName     = "s"
)

var (
	leaderKey   = wire.Precondition{Key: election.LeaderKey}
	controllers = []string{"n-0", "n-1", "n-2"}
)

// simulatedController is a controller with a session, and perhaps the ownership of the shard.
type simulatedController struct {
	self                 shard.Controller
	lease                uint64
	session              *election.Term
	sessionUntil         micro.Time
	owner                *shard.Owner
	token                uint64
	allocations          map[string]string // machine by key of the allocation record
	uncertainAllocations []string          // keys of records whose write got no response

	paused bool // the process is paused, or cannot reach the store: its session is not renewed
}

// sentResponse is a response that a machine was given.
type sentResponse struct {
	firstToken uint64 // of the ownership under which the response was given
	at         micro.Time
}

// simulation is the state of one simulated run.
type simulation struct {
	fail                func(format string, args ...any)
	draw                func(options []string) string
	now                 micro.Time
	store               *fake.Store
	controllers         map[string]*simulatedController
	machines            map[string]*fake.Agent
	delayedTransactions []wire.Transaction // transactions that have not reached the store yet
	delayedCommands     []delayedCommand
	responses           []sentResponse
	machinesByTask      map[string]map[string]bool // machines on which each task has run
	allocatedTasks      int
	ignoresLease        bool // owners respond without checking their lease: the checks must detect it
	transfers           int
}

// delayedCommand holds commands that were dispatched to a machine, and that may arrive late.
type delayedCommand struct {
	machine  string
	commands wire.Commands
}

func newSimulation(fail func(string, ...any), draw func([]string) string) *simulation {
	sim := &simulation{
		fail: fail, draw: draw, now: micro.Minute, store: fake.NewStore(), controllers: map[string]*simulatedController{},
		machines: map[string]*fake.Agent{}, machinesByTask: map[string]map[string]bool{},
	}
	sim.store.Now = func() micro.Time { return sim.now }
	for _, m := range []string{"i-1", "i-2"} {
		sim.machines[m] = fake.NewAgent(m, "small", "a", 30*micro.Second)
	}
	for _, node := range controllers {
		sim.register(node)
	}
	rec := shard.NewRecord(shard.Selector{Zone: "a"}, nil, 0)
	rec, err := rec.Grant(sim.controllers["n-0"].self, 0)
	if err != nil {
		sim.fail("%v", err)
	}
	create := wire.Transaction{Then: []wire.Change{{Put: shard.RecordKey(shardName), Value: rec}}}
	if _, err := sim.commit(create); err != nil {
		sim.fail("%v", err)
	}
	return sim
}

func (s *simulation) commit(txn wire.Transaction) (uint64, error) {
	return s.store.Commit(context.Background(), store.Urgent, txn)
}

// register starts a new incarnation of a controller, which ends the session of the previous one.
func (s *simulation) register(node string) {
	if previous := s.controllers[node]; previous != nil {
		_ = s.store.Revoke(context.Background(), previous.lease)
	}
	sent := s.now
	lease, err := s.store.Grant(context.Background(), sessionTTL)
	if err != nil {
		s.fail("%v", err)
	}
	version, err := s.commit(wire.Transaction{
		If:   []wire.Precondition{{Key: shard.SessionKey(node)}},
		Then: []wire.Change{{Put: shard.SessionKey(node), Value: node, Lease: wire.Count(lease)}},
	})
	if err != nil {
		s.fail("%v", err)
	}
	until := sent + sessionTTL - sessionMargin
	s.controllers[node] = &simulatedController{
		self: shard.Controller{Node: node, SessionVersion: wire.Count(version)}, lease: lease, sessionUntil: until,
		session: election.NewTermForKey(shard.SessionKey(node), version, until),
	}
}

// renew renews a controller's session, or registers a new incarnation if the session has expired.
func (s *simulation) renew(controller *simulatedController) {
	if s.store.Renew(context.Background(), controller.lease) != nil {
		s.register(controller.self.Node)
		return
	}
	// The lease of the session's term, which the owner checks, is extended with the session.
	controller.sessionUntil = s.now + sessionTTL - sessionMargin
	controller.session.Extend(controller.sessionUntil)
}

// entry returns the shard's record as stored.
func (s *simulation) entry() shard.Entry {
	all, err := readShards(context.Background(), s.store)
	if err != nil || len(all) != 1 {
		s.fail("%d records, %v", len(all), err)
	}
	return all[0]
}

// refresh has a controller read the shard's record, and update its ownership.
func (s *simulation) refresh(controller *simulatedController) {
	entry := s.entry()
	if controller.owner != nil {
		controller.owner.Observe(entry)
		if controller.owner.State() == shard.Relinquished {
			controller.owner = nil
		}
	}
	if controller.owner == nil && entry.HasOwner() && entry.Record.Owner == controller.self {
		controller.owner = shard.NewOwner(entry, controller.session, controller.self, func(string, ...any) {})
		controller.token, controller.uncertainAllocations = controller.owner.FirstFencingToken(), nil
		controller.allocations = s.allocations()
	}
}

// allocations returns the machine in each stored allocation record, by key.
func (s *simulation) allocations() map[string]string {
	page, err := s.store.Range(context.Background(), store.Routine, shard.AllocationPrefixFor(shardName), "", 1000)
	if err != nil {
		s.fail("%v", err)
	}
	out := map[string]string{}
	for _, item := range page.Items {
		var machine string
		if err := wire.Unmarshal(item.Value, &machine); err != nil {
			s.fail("%v", err)
		}
		out[item.Key] = machine
	}
	return out
}

var outcomes = []string{"answered", "answered", "unanswered", "late", "refused"}

// send sends a transaction that has one of the outcomes.
func (s *simulation) send(txn wire.Transaction, outcome string) (uint64, error) {
	switch outcome {
	case "answered":
		return s.commit(txn)
	case "unanswered":
		_, _ = s.commit(txn)
	case "late":
		s.delayedTransactions = append(s.delayedTransactions, txn)
	case "refused":
		return 0, store.ErrRefused
	}
	return 0, store.ErrUncertain
}

// mayRespond reports whether a controller responds to machines now. With ignoresLease, any owner does.
func (s *simulation) mayRespond(controller *simulatedController) bool {
	if controller.owner == nil {
		return false
	}
	return s.ignoresLease || controller.owner.MayServe(s.now)
}

// respond has a controller respond to a machine's heartbeat. No owner with later tokens may have responded before.
func (s *simulation) respond(controller *simulatedController, machine *fake.Agent) {
	if !s.mayRespond(controller) {
		return
	}
	first := controller.owner.FirstFencingToken()
	s.responses = append(s.responses, sentResponse{first, s.now})
	for _, other := range s.responses {
		if other.firstToken > first && other.at < s.now {
			s.fail("%s responded with token %d after another owner did with %d", controller.self.Node, first, other.firstToken)
		}
	}
	machine.HandleResponse(wire.Commands{FencingToken: wire.Count(controller.token)}, s.now)
}

// allocate has a controller allocate a task: it writes the record first, then sends the start command.
func (s *simulation) allocate(controller *simulatedController, machine string, outcome string, delivery string) {
	if !s.mayRespond(controller) || !controller.owner.MayAllocate() {
		return
	}
	task := fmt.Sprintf("j-%d/0", s.allocatedTasks%4+1)
	s.allocatedTasks++
	key := shard.AllocationKey(shardName, task[:3], 0)
	if controller.allocations[key] != "" || slices.Contains(controller.uncertainAllocations, key) {
		return
	}
	txn := wire.Transaction{
		If:   append(controller.owner.Preconditions(), wire.Precondition{Key: key}),
		Then: []wire.Change{{Put: key, Value: machine}},
	}
	_, err := s.send(txn, outcome)
	if err != nil {
		if errors.Is(err, store.ErrUncertain) {
			controller.uncertainAllocations = append(controller.uncertainAllocations, key)
		}
		return
	}
	controller.allocations[key] = machine
	command := wire.Commands{
		FencingToken: wire.Count(controller.token), AgentEpoch: wire.Count(s.machines[machine].Epoch),
		Items: []wire.Command{{Kind: wire.CommandStart, Task: task, Attempt: 1}},
	}
	if delivery == "late" {
		s.delayedCommands = append(s.delayedCommands, delayedCommand{machine, command})
		return
	}
	s.deliverCommand(delayedCommand{machine, command})
}

// deliverCommand delivers commands to their machine, and checks that no task runs on two machines.
func (s *simulation) deliverCommand(command delayedCommand) {
	machine := s.machines[command.machine]
	machine.HandleDispatch(command.commands)
	for key := range machine.Tasks {
		if s.machinesByTask[key.Task] == nil {
			s.machinesByTask[key.Task] = map[string]bool{}
		}
		s.machinesByTask[key.Task][command.machine] = true
		if len(s.machinesByTask[key.Task]) > 1 {
			s.fail("%s runs on two machines", key.Task)
		}
	}
}

// transfer has an owner transfer the shard, if a move is requested.
func (s *simulation) transfer(controller *simulatedController, outcome string) {
	if controller.owner == nil || len(controller.uncertainAllocations) > 0 || !s.mayRespond(controller) {
		return
	}
	txn, ok := controller.owner.BeginTransfer(0)
	if !ok {
		return
	}
	_, err := s.send(txn, outcome)
	controller.owner.HandleTransferResult(err)
	if err == nil {
		s.transfers++
	}
}

// resolveUncertain has an owner resolve an uncertain transfer.
func (s *simulation) resolveUncertain(controller *simulatedController, outcome string) {
	s.refresh(controller)
	if controller.owner == nil {
		return
	}
	if txn, ok := controller.owner.ResolveUncertain(0); ok {
		controller.owner.HandleResolveResult(s.send(txn, outcome))
	}
}

// verifyAllocations has a controller read the results of its uncertain allocations. It drops one that is not stored
// only if the shard's record has changed since.
func (s *simulation) verifyAllocations(controller *simulatedController) {
	if controller.owner == nil {
		return
	}
	stored := s.allocations()
	var unresolved []string
	for _, key := range controller.uncertainAllocations {
		if machine, ok := stored[key]; ok {
			controller.allocations[key] = machine
			continue
		}
		unresolved = append(unresolved, key)
	}
	controller.uncertainAllocations = unresolved
	if len(unresolved) > 0 && controller.owner.State() == shard.Draining {
		// The move has changed the record: writes that were sent before fail permanently.
		controller.uncertainAllocations = nil
	}
}

// sessions returns the controllers that have a session.
func (s *simulation) sessions() shard.Sessions {
	out, err := readSessions(context.Background(), s.store)
	if err != nil {
		s.fail("%v", err)
	}
	return out
}

// leaderAction has the leader request or cancel a move, or reassign the shard if its owner has lost its session.
func (s *simulation) leaderAction(action, target, outcome string) {
	entry, sessions := s.entry(), s.sessions()
	if entry.OwnerSessionLost(sessions) {
		if to, ok := entry.Successor(sessions, shard.Snapshot{}); ok {
			if txn, err := entry.Reassign(to, sessions, 0, leaderKey); err == nil {
				_, _ = s.send(txn, outcome)
			}
		}
		return
	}
	next, err := entry.Record.CancelMove(0)
	if action == "move" {
		to, ok := sessions.Controller(target)
		if !ok {
			return
		}
		next, err = entry.Record.Move(to, 0)
	}
	if err == nil {
		_, _ = s.send(entry.Update(next, leaderKey), outcome)
	}
}

// checkInvariants checks that the record names an owner, and that at most one controller may serve the shard.
func (s *simulation) checkInvariants() {
	entry := s.entry()
	if entry.Record.Owner.Node == "" {
		s.fail("revision %d names no owner", entry.Version)
	}
	serving := []string{}
	for _, node := range controllers {
		if controller := s.controllers[node]; controller.owner != nil && controller.owner.MayServe(s.now) {
			serving = append(serving, node)
		}
	}
	if len(serving) > 1 {
		s.fail("%v may all serve the shard", serving)
	}
}

// step draws and executes the next event.
func (s *simulation) step() {
	controller := s.drawController()
	machine := s.draw([]string{"i-1", "i-2"})
	outcome := s.draw(outcomes)
	switch s.draw([]string{
		"refresh", "refresh", "answer", "answer", "place", "place", "hand over", "hand over", "resolve",
		"settle", "move", "move", "cancel", "freeze", "restart", "late txn", "late order", "time", "long time",
	}) {
	case "refresh":
		s.refresh(controller)
	case "answer":
		s.respond(controller, s.machines[machine])
	case "place":
		s.allocate(controller, machine, outcome, s.draw([]string{"now", "late"}))
	case "hand over":
		s.transfer(controller, outcome)
	case "resolve":
		s.resolveUncertain(controller, outcome)
	case "settle":
		s.verifyAllocations(controller)
	case "move":
		s.leaderAction("move", s.draw(controllers), outcome)
	case "cancel":
		s.leaderAction("cancel", "", outcome)
	case "restart":
		s.register(controller.self.Node)
	case "late txn":
		if len(s.delayedTransactions) > 0 {
			_, _ = s.commit(s.delayedTransactions[0])
			s.delayedTransactions = s.delayedTransactions[1:]
		}
	case "late order":
		if len(s.delayedCommands) > 0 {
			s.deliverCommand(s.delayedCommands[0])
			s.delayedCommands = s.delayedCommands[1:]
		}
	case "freeze":
		controller.paused = !controller.paused
	case "time":
		s.advance(300 * micro.Millisecond)
	case "long time":
		s.advance(sessionTTL / 2)
	}
	s.checkInvariants()
}

// drawController draws a controller, more often the owner than another.
func (s *simulation) drawController() *simulatedController {
	if controller := s.controllers[s.entry().Record.Owner.Node]; controller != nil &&
		s.draw([]string{"owner", "any"}) == "owner" {
		return controller
	}
	return s.controllers[s.draw(controllers)]
}

// advance advances the time. All controllers that are not paused renew their sessions.
func (s *simulation) advance(d micro.Time) {
	s.now += d
	for _, node := range controllers {
		if controller := s.controllers[node]; !controller.paused {
			s.renew(controller)
		}
	}
}

// run executes the given number of steps, and returns how often the shard was transferred.
func (s *simulation) run(steps int) int {
	for range steps {
		s.step()
	}
	return s.transfers
}

// Whichever messages are late, lost or repeated, and whichever controllers restart: at most one controller may serve
// the shard, its record names exactly one owner, and no task runs on two machines.
func TestNoShardHasTwoOwnersUnderDelayAndLoss(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(options []string) string { return rapid.SampledFrom(options).Draw(t, "choice") }
		moves += newSimulation(t.Fatalf, draw).run(rapid.IntRange(50, 250).Draw(t, "steps"))
	})
	t.Logf("%d moves", moves)
	if moves == 0 {
		t.Error("no shard was transferred in any run")
	}
}

// A transfer got no response but was executed, and the shard was moved back before its first owner read the record
// again. That owner must start a new ownership with higher fencing tokens.
func TestShardMovedBackStartsANewOwnership(t *testing.T) {
	draw := func(options []string) string { return options[0] }
	sim := newSimulation(t.Fatalf, draw)
	first, second := sim.controllers["n-0"], sim.controllers["n-1"]
	sim.refresh(first)
	sim.leaderAction("move", "n-1", "answered")
	sim.refresh(first)
	sim.transfer(first, "unanswered")
	sim.refresh(second)
	sim.respond(second, sim.machines["i-1"])
	sim.leaderAction("move", "n-0", "answered")
	sim.refresh(second)
	sim.transfer(second, "answered")
	sim.advance(micro.Second)
	sim.refresh(first)
	if first.owner == nil || first.owner.FirstFencingToken() <= second.owner.FirstFencingToken() {
		t.Fatal("the shard was moved back without a new ownership with higher tokens")
	}
	sim.respond(first, sim.machines["i-1"])
}

// The checks must detect owners that respond without checking their lease.
func TestOwnersIgnoringTheirLeaseAreDetected(t *testing.T) {
	const runs = 100
	detected := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 1))
		detected += runIgnoringLease(func(options []string) string { return options[random.IntN(len(options))] })
	}
	t.Logf("detected in %d of %d runs", detected, runs)
	if detected == 0 {
		t.Error("no owner that ignores its lease was detected")
	}
}

// runIgnoringLease runs a simulation in which owners ignore their lease. It returns 1 if the checks detect this, or 0.
func runIgnoringLease(draw func([]string) string) (detected int) {
	defer func() {
		if recover() != nil {
			detected = 1
		}
	}()
	sim := newSimulation(func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }, draw)
	sim.ignoresLease = true
	sim.run(400)
	return 0
}
