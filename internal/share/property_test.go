package share_test

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
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// A site of controllers, a leader, one share with its machines, and the store, played
// step by step with transactions that are refused, unanswered or carried out late. What
// is checked is read on the store's and the machines' side.

const (
	sessionLife = 4 * micro.Second
	clockMargin = 20 * micro.Millisecond // by which a right ends before its lease
	shareName   = "s"
)

var (
	leaderKey   = wire.Guard{Key: election.Key}
	controllers = []string{"n-0", "n-1", "n-2"}
)

// standIn is a controller as an owner.
type standIn struct {
	self  share.Controller
	lease uint64
	right *election.Term
	until micro.Time
	owner *share.Owner
	token uint64
	taken map[string]string // machine of each task that the records name
	holds []string          // tasks whose record has no answer

	frozen bool // it stands still, or reaches nothing: its session is not renewed
}

// answered is an answer that a machine was given.
type answered struct {
	first uint64 // of the ownership under which it was given
	at    micro.Time
}

type world struct {
	fail     func(format string, args ...any)
	draw     func(options []string) string
	now      micro.Time
	store    *fake.Store
	nodes    map[string]*standIn
	machines map[string]*fake.Worker
	delayed  []wire.Txn // that the network holds back
	orders   []heldOrder
	answers  []answered
	runs     map[string]map[string]bool // task: machines that it is on
	tasks    int
	careless bool // owners answer without looking at their right: the checks must notice
	moves    int
}

// heldOrder is a direct order that arrives late.
type heldOrder struct {
	machine string
	order   wire.Orders
}

func newWorld(fail func(string, ...any), draw func([]string) string) *world {
	w := &world{fail: fail, draw: draw, now: micro.Minute, store: fake.NewStore(), nodes: map[string]*standIn{}, machines: map[string]*fake.Worker{}, runs: map[string]map[string]bool{}}
	w.store.Now = func() micro.Time { return w.now }
	for _, m := range []string{"i-1", "i-2"} {
		w.machines[m] = fake.NewWorker(m, "small", "a", 30*micro.Second)
	}
	for _, node := range controllers {
		w.register(node)
	}
	rec := share.Form(share.Selector{Zone: "a"}, nil, 0)
	rec, err := rec.Grant(w.nodes["n-0"].self, 0)
	if err != nil {
		w.fail("%v", err)
	}
	w.commit(wire.Txn{Then: []wire.Change{{Put: share.RecordKey(shareName), Value: rec}}})
	return w
}

func (w *world) commit(txn wire.Txn) (uint64, error) {
	return w.store.Commit(context.Background(), store.Urgent, txn)
}

// register begins a new incarnation, which ends the session of the one before.
func (w *world) register(node string) {
	if old := w.nodes[node]; old != nil {
		_ = w.store.Revoke(context.Background(), old.lease)
	}
	sent := w.now
	lease, err := w.store.Grant(context.Background(), sessionLife)
	if err != nil {
		w.fail("%v", err)
	}
	version, err := w.commit(wire.Txn{If: []wire.Guard{{Key: share.SessionKey(node)}},
		Then: []wire.Change{{Put: share.SessionKey(node), Value: node, Lease: wire.Count(lease)}}})
	if err != nil {
		w.fail("%v", err)
	}
	until := sent + sessionLife - clockMargin
	w.nodes[node] = &standIn{self: share.Controller{Node: node, Session: wire.Count(version)}, lease: lease, until: until,
		right: election.NewTermOf(share.SessionKey(node), version, until)}
}

// renew renews a session if it is still there.
func (w *world) renew(n *standIn) {
	if w.store.Renew(context.Background(), n.lease) != nil {
		w.register(n.self.Node)
		return
	}
	// A term's end cannot be put off from outside: the right goes on as a new one of the
	// same session, which the owner holds from here on.
	n.until = w.now + sessionLife - clockMargin
	n.right.Extend(n.until)
}

// entry reads the share's record.
func (w *world) entry() share.Entry {
	all, err := readShares(context.Background(), w.store)
	if err != nil || len(all) != 1 {
		w.fail("%d records, %v", len(all), err)
	}
	return all[0]
}

// refresh lets a controller read the record.
func (w *world) refresh(n *standIn) {
	e := w.entry()
	if n.owner != nil {
		n.owner.Observe(e)
		if n.owner.State() == share.Over {
			n.owner = nil
		}
	}
	if n.owner == nil && e.Away() && e.Record.Owner == n.self {
		n.owner = share.NewOwner(e, n.right, n.self, func(string, ...any) {})
		n.token, n.holds = n.owner.FirstToken(), nil
		n.taken = w.allocations()
	}
}

// allocations reads which machine each task was placed on.
func (w *world) allocations() map[string]string {
	page, err := w.store.Range(context.Background(), store.Routine, share.AllocationsOf(shareName), "", 1000)
	if err != nil {
		w.fail("%v", err)
	}
	out := map[string]string{}
	for _, it := range page.Items {
		var machine string
		if err := wire.Unmarshal(it.Value, &machine); err != nil {
			w.fail("%v", err)
		}
		out[it.Key] = machine
	}
	return out
}

var fates = []string{"answered", "answered", "unanswered", "late", "refused"}

// send sends a transaction, with one of the fates that the protocol knows.
func (w *world) send(txn wire.Txn, fate string) (uint64, error) {
	switch fate {
	case "answered":
		return w.commit(txn)
	case "unanswered":
		_, _ = w.commit(txn)
	case "late":
		w.delayed = append(w.delayed, txn)
	case "refused":
		return 0, store.ErrRefused
	}
	return 0, store.ErrUncertain
}

// acts reports whether a controller may answer now, as its owner sees it.
func (w *world) acts(n *standIn) bool {
	if n.owner == nil {
		return false
	}
	return w.careless || n.owner.Valid(w.now)
}

// answer lets a controller answer a machine's report.
func (w *world) answer(n *standIn, m *fake.Worker) {
	if !w.acts(n) {
		return
	}
	first := n.owner.FirstToken()
	w.answers = append(w.answers, answered{first, w.now})
	for _, other := range w.answers {
		if other.first > first && other.at < w.now {
			w.fail("%s answered under token %d after another owner did under %d", n.self.Node, first, other.first)
		}
	}
	m.Answer(wire.Orders{Token: wire.Count(n.token)}, w.now)
}

// place lets a controller place a task: the record first, then the start.
func (w *world) place(n *standIn, m string, fate string, direct string) {
	if !w.acts(n) || !n.owner.Places() {
		return
	}
	task := fmt.Sprintf("j-%d/0", w.tasks%4+1)
	w.tasks++
	key := share.AllocationKey(shareName, task[:3], 0)
	if n.taken[key] != "" || slices.Contains(n.holds, key) {
		return
	}
	txn := wire.Txn{If: append(n.owner.Guards(), wire.Guard{Key: key}), Then: []wire.Change{{Put: key, Value: m}}}
	_, err := w.send(txn, fate)
	if err != nil {
		if errors.Is(err, store.ErrUncertain) {
			n.holds = append(n.holds, key)
		}
		return
	}
	n.taken[key] = m
	order := wire.Orders{Token: wire.Count(n.token), Session: wire.Count(w.machines[m].Session),
		Orders: []wire.Order{{Op: wire.OpStart, Task: task, Attempt: 1}}}
	if direct == "late" {
		w.orders = append(w.orders, heldOrder{m, order})
		return
	}
	w.deliverOrder(heldOrder{m, order})
}

// deliverOrder brings a direct order to its machine, and looks at what runs there.
func (w *world) deliverOrder(h heldOrder) {
	m := w.machines[h.machine]
	m.Direct(h.order)
	for key := range m.Tasks {
		if w.runs[key.Task] == nil {
			w.runs[key.Task] = map[string]bool{}
		}
		w.runs[key.Task][h.machine] = true
		if len(w.runs[key.Task]) > 1 {
			w.fail("%s runs on two machines", key.Task)
		}
	}
}

// handOver lets an owner that is to move hand over.
func (w *world) handOver(n *standIn, fate string) {
	if n.owner == nil || len(n.holds) > 0 || !w.acts(n) {
		return
	}
	txn, ok := n.owner.HandOver(0)
	if !ok {
		return
	}
	_, err := w.send(txn, fate)
	n.owner.HandedOver(err)
	if err == nil {
		w.moves++
	}
}

// resolve lets an owner in doubt resolve it.
func (w *world) resolve(n *standIn, fate string) {
	w.refresh(n)
	if n.owner == nil {
		return
	}
	if txn, ok := n.owner.Renew(0); ok {
		n.owner.Renewed(w.send(txn, fate))
	}
}

// settle lets a controller read what came of its uncertain placements. One that is not
// there is written off only under a record that has changed since.
func (w *world) settle(n *standIn) {
	if n.owner == nil {
		return
	}
	there := w.allocations()
	var open []string
	for _, key := range n.holds {
		if machine, ok := there[key]; ok {
			n.taken[key] = machine
			continue
		}
		open = append(open, key)
	}
	n.holds = open
	if len(open) > 0 && n.owner.State() == share.Settling {
		// The move has changed the record: what was sent before fails for good.
		n.holds = nil
	}
}

// sessions reads who has a session.
func (w *world) sessions() share.Sessions {
	out, err := readSessions(context.Background(), w.store)
	if err != nil {
		w.fail("%v", err)
	}
	return out
}

// lead lets the leader begin or cancel a move, or take a share from an owner that is gone.
func (w *world) lead(what, target, fate string) {
	e, sessions := w.entry(), w.sessions()
	if e.OwnerGone(sessions) {
		if to, ok := e.Successor(sessions, share.Snapshot{}); ok {
			if txn, err := e.Take(to, sessions, 0, leaderKey); err == nil {
				_, _ = w.send(txn, fate)
			}
		}
		return
	}
	later, err := e.Record.Cancel(0)
	if what == "move" {
		to, ok := sessions.Controller(target)
		if !ok {
			return
		}
		later, err = e.Record.Move(to, 0)
	}
	if err == nil {
		_, _ = w.send(e.Put(later, leaderKey), fate)
	}
}

// check looks at what must hold at each moment.
func (w *world) check() {
	e := w.entry()
	if e.Record.Owner.Node == "" {
		w.fail("revision %d names no owner", e.Version)
	}
	valid := []string{}
	for _, node := range controllers {
		if n := w.nodes[node]; n.owner != nil && n.owner.Valid(w.now) {
			valid = append(valid, node)
		}
	}
	if len(valid) > 1 {
		w.fail("%v may all act", valid)
	}
}

// step draws what happens next.
func (w *world) step() {
	n := w.someController()
	m := w.draw([]string{"i-1", "i-2"})
	fate := w.draw(fates)
	switch w.draw([]string{"refresh", "refresh", "answer", "answer", "place", "place", "hand over", "hand over", "resolve",
		"settle", "move", "move", "cancel", "freeze", "restart", "late txn", "late order", "time", "long time"}) {
	case "refresh":
		w.refresh(n)
	case "answer":
		w.answer(n, w.machines[m])
	case "place":
		w.place(n, m, fate, w.draw([]string{"now", "late"}))
	case "hand over":
		w.handOver(n, fate)
	case "resolve":
		w.resolve(n, fate)
	case "settle":
		w.settle(n)
	case "move":
		w.lead("move", w.draw(controllers), fate)
	case "cancel":
		w.lead("cancel", "", fate)
	case "restart":
		w.register(n.self.Node)
	case "late txn":
		if len(w.delayed) > 0 {
			_, _ = w.commit(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case "late order":
		if len(w.orders) > 0 {
			w.deliverOrder(w.orders[0])
			w.orders = w.orders[1:]
		}
	case "freeze":
		n.frozen = !n.frozen
	case "time":
		w.pass(300 * micro.Millisecond)
	case "long time":
		w.pass(sessionLife / 2)
	}
	w.check()
}

// someController draws a controller, the owner more often than others.
func (w *world) someController() *standIn {
	if n := w.nodes[w.entry().Record.Owner.Node]; n != nil && w.draw([]string{"owner", "any"}) == "owner" {
		return n
	}
	return w.nodes[w.draw(controllers)]
}

// pass lets time go on: who is not frozen renews its session.
func (w *world) pass(d micro.Time) {
	w.now += d
	for _, node := range controllers {
		if n := w.nodes[node]; !n.frozen {
			w.renew(n)
		}
	}
}

// play plays so many steps, and tells how often the share was handed over.
func (w *world) play(steps int) int {
	for range steps {
		w.step()
	}
	return w.moves
}

// Whatever is late, lost or repeated, and whoever ends: at most one controller may act
// for a share, exactly one is named, and no task runs twice.
func TestNoShareHasTwoOwnersWhateverIsLateOrLost(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		draw := func(options []string) string { return rapid.SampledFrom(options).Draw(t, "choice") }
		moves += newWorld(t.Fatalf, draw).play(rapid.IntRange(50, 250).Draw(t, "steps"))
	})
	t.Logf("%d moves", moves)
	if moves == 0 {
		t.Error("no share ever moved")
	}
}

// A hand-over had no answer and was carried out, and the share came back before its
// first owner read the record again.
func TestShareThatCameBackIsANewOwnership(t *testing.T) {
	draw := func(options []string) string { return options[0] }
	w := newWorld(t.Fatalf, draw)
	first, second := w.nodes["n-0"], w.nodes["n-1"]
	w.refresh(first)
	w.lead("move", "n-1", "answered")
	w.refresh(first)
	w.handOver(first, "unanswered")
	w.refresh(second)
	w.answer(second, w.machines["i-1"])
	w.lead("move", "n-0", "answered")
	w.refresh(second)
	w.handOver(second, "answered")
	w.pass(micro.Second)
	w.refresh(first)
	if first.owner == nil || first.owner.FirstToken() <= second.owner.FirstToken() {
		t.Fatal("no new ownership with higher tokens")
	}
	w.answer(first, w.machines["i-1"])
}

// The checks notice owners that answer without looking at their right.
func TestCarelessOwnersAreNoticed(t *testing.T) {
	const days = 100
	noticed := 0
	for seed := range uint64(days) {
		random := rand.New(rand.NewPCG(seed, 1))
		noticed += carelessDay(func(options []string) string { return options[random.IntN(len(options))] })
	}
	t.Logf("noticed on %d of %d days", noticed, days)
	if noticed == 0 {
		t.Error("none was noticed")
	}
}

// carelessDay plays a day of careless owners, and counts it if the checks notice.
func carelessDay(draw func([]string) string) (noticed int) {
	defer func() {
		if recover() != nil {
			noticed = 1
		}
	}()
	w := newWorld(func(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }, draw)
	w.careless = true
	w.play(400)
	return 0
}
