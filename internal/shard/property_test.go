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

// A site of controllers, a leader, one shard with its machines, and the store, played
// step by step with transactions that are refused, unanswered or carried out late. What
// is checked is read on the store's and the machines' side.

const (
	sessionTTL    = 4 * micro.Second
	sessionMargin = 20 * micro.Millisecond // by which a right ends before its lease
	shardName     = "s"
)

var (
	leaderKey   = wire.Precondition{Key: election.LeaderKey}
	controllers = []string{"n-0", "n-1", "n-2"}
)

// simulatedController is a controller as an owner.
type simulatedController struct {
	self                 shard.Controller
	lease                uint64
	session              *election.Term
	sessionUntil         micro.Time
	owner                *shard.Owner
	token                uint64
	allocations          map[string]string // machine of each task that the records name
	uncertainAllocations []string          // tasks whose record has no answer

	paused bool // it stands still, or reaches nothing: its session is not renewed
}

// sentResponse is an answer that a machine was given.
type sentResponse struct {
	firstToken uint64 // of the ownership under which it was given
	at         micro.Time
}

type simulation struct {
	fail                func(format string, args ...any)
	draw                func(options []string) string
	now                 micro.Time
	store               *fake.Store
	controllers         map[string]*simulatedController
	machines            map[string]*fake.Agent
	delayedTransactions []wire.Transaction // that the network holds back
	delayedCommands     []delayedCommand
	responses           []sentResponse
	machinesByTask      map[string]map[string]bool // task: machines that it is on
	allocatedTasks      int
	ignoresLease        bool // owners answer without looking at their right: the checks must notice
	transfers           int
}

// delayedCommand is a dispatched command that arrives late.
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

// register begins a new incarnation, which ends the session of the one before.
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

// renew renews a session if it is still there.
func (s *simulation) renew(controller *simulatedController) {
	if s.store.Renew(context.Background(), controller.lease) != nil {
		s.register(controller.self.Node)
		return
	}
	// A term's end cannot be put off from outside: the right goes on as a new one of the
	// same session, which the owner holds from here on.
	controller.sessionUntil = s.now + sessionTTL - sessionMargin
	controller.session.Extend(controller.sessionUntil)
}

// entry reads the shard's record.
func (s *simulation) entry() shard.Entry {
	all, err := readShards(context.Background(), s.store)
	if err != nil || len(all) != 1 {
		s.fail("%d records, %v", len(all), err)
	}
	return all[0]
}

// refresh lets a controller read the record.
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

// allocations reads which machine each task was placed on.
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

// send sends a transaction, with one of the fates that the protocol knows.
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

// mayRespond reports whether a controller may answer now, as its owner sees it.
func (s *simulation) mayRespond(controller *simulatedController) bool {
	if controller.owner == nil {
		return false
	}
	return s.ignoresLease || controller.owner.MayServe(s.now)
}

// respond lets a controller answer a machine's heartbeat.
func (s *simulation) respond(controller *simulatedController, machine *fake.Agent) {
	if !s.mayRespond(controller) {
		return
	}
	first := controller.owner.FirstFencingToken()
	s.responses = append(s.responses, sentResponse{first, s.now})
	for _, other := range s.responses {
		if other.firstToken > first && other.at < s.now {
			s.fail("%s answered under token %d after another owner did under %d", controller.self.Node, first, other.firstToken)
		}
	}
	machine.HandleResponse(wire.Commands{FencingToken: wire.Count(controller.token)}, s.now)
}

// allocate lets a controller place a task: the record first, then the start.
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

// deliverCommand brings a dispatched command to its machine, and looks at what runs there.
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

// transfer lets an owner that is to move transfer.
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

// resolveUncertain lets an owner in doubt resolve it.
func (s *simulation) resolveUncertain(controller *simulatedController, outcome string) {
	s.refresh(controller)
	if controller.owner == nil {
		return
	}
	if txn, ok := controller.owner.ResolveUncertain(0); ok {
		controller.owner.HandleResolveResult(s.send(txn, outcome))
	}
}

// verifyAllocations lets a controller read what came of its uncertain placements. One that is not
// there is written off only under a record that has changed since.
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
		// The move has changed the record: what was sent before fails for good.
		controller.uncertainAllocations = nil
	}
}

// sessions reads who has a session.
func (s *simulation) sessions() shard.Sessions {
	out, err := readSessions(context.Background(), s.store)
	if err != nil {
		s.fail("%v", err)
	}
	return out
}

// leaderAction lets the leader begin or cancel a move, or take a shard from an owner that is gone.
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

// checkInvariants looks at what must hold at each moment.
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
		s.fail("%v may all act", serving)
	}
}

// step draws what happens next.
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

// drawController draws a controller, the owner more often than others.
func (s *simulation) drawController() *simulatedController {
	if controller := s.controllers[s.entry().Record.Owner.Node]; controller != nil &&
		s.draw([]string{"owner", "any"}) == "owner" {
		return controller
	}
	return s.controllers[s.draw(controllers)]
}

// advance lets time go on: who is not frozen renews its session.
func (s *simulation) advance(d micro.Time) {
	s.now += d
	for _, node := range controllers {
		if controller := s.controllers[node]; !controller.paused {
			s.renew(controller)
		}
	}
}

// run plays so many steps, and tells how often the shard was transferred.
func (s *simulation) run(steps int) int {
	for range steps {
		s.step()
	}
	return s.transfers
}

// Whatever is late, lost or repeated, and whoever ends: at most one controller may act
// for a shard, exactly one is named, and no task runs twice.
func TestNoShardHasTwoOwnersUnderDelayAndLoss(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(options []string) string { return rapid.SampledFrom(options).Draw(t, "choice") }
		moves += newSimulation(t.Fatalf, draw).run(rapid.IntRange(50, 250).Draw(t, "steps"))
	})
	t.Logf("%d moves", moves)
	if moves == 0 {
		t.Error("no share ever moved")
	}
}

// A transfer had no answer and was carried out, and the shard came back before its
// first owner read the record again.
func TestShardThatReturnsIsANewOwnership(t *testing.T) {
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
		t.Fatal("no new ownership with higher tokens")
	}
	sim.respond(first, sim.machines["i-1"])
}

// The checks notice owners that answer without looking at their right.
func TestOwnersIgnoringTheirLeaseAreDetected(t *testing.T) {
	const runs = 100
	detected := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 1))
		detected += runIgnoringLease(func(options []string) string { return options[random.IntN(len(options))] })
	}
	t.Logf("noticed on %d of %d days", detected, runs)
	if detected == 0 {
		t.Error("none was noticed")
	}
}

// runIgnoringLease plays a day of careless owners, and counts it if the checks notice.
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
