package controller

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// How long a node waits for a peer before it helps itself.
const (
	askWait   = 500 * micro.Millisecond
	relayWait = 900 * micro.Millisecond
	badPeer   = 2 * micro.Second
)

func specKey(id string) string { return "job/" + id + "/spec" }
func endKey(id string) string  { return "job/" + id + "/end" }

// compactMark begins the last part of the key of a record in the compact form.
const compactMark = "c"

func compactKey(id string, n int) string { return "run/" + id + "/" + compactMark + strconv.Itoa(n) }

func runKey(id string, n int) string { return "run/" + id + "/" + strconv.Itoa(n) }

// Submit accepts a job: 201 only after its description is in the store.
func (n *Node) Submit(body []byte) front.Reply { return n.submit(body, true) }

func (n *Node) submit(body []byte, relay bool) front.Reply {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return front.Fail(400, err.Error())
	}
	if r, ok := n.refusal(job, relay); ok {
		return r
	}
	job.SubmittedAt = int64(n.Wall())
	body = bytes.Clone(body) // a peer may be asked for longer than the request lasts
	stored := make(chan error, 1)
	go func() { stored <- n.keep(job) }()
	relayed := make(chan front.Reply, 1)
	tried := false
	if relay {
		after := time.Duration(0)
		if !n.Cut() {
			after = hedgeAfter.Std()
		}
		hedge := time.NewTimer(after)
		defer hedge.Stop()
		select {
		case err = <-stored:
			stored <- err
		case <-hedge.C:
			// The store may be out of this node's reach alone. Whichever way is
			// first creates the key; the other finds it.
			tried = true
			go func() {
				r, ok := n.relay(peer.Submit, body)
				if ok {
					relayed <- r
				}
			}()
		}
	}
	select {
	case err = <-stored:
	case r := <-relayed:
		return r
	}
	switch {
	case err == nil:
		n.accepted(job)
		return front.Reply{Status: 201, Body: wire.JobStatus{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, store.ErrConflict):
		// Known already: a repeat, or a write whose answer was lost.
		return n.Show(job.ID)
	case errors.Is(err, store.ErrBad):
		n.Log.Error("description not taken by the store", "job", job.ID, "bytes", wire.JSONSize(job))
		return front.Later(503, 2)
	}
	n.Log.Debug("submission not stored", "job", job.ID, "err", err)
	if tried {
		select {
		case r := <-relayed:
			return r
		case <-time.After(askWait.Std()):
		}
	} else if relay {
		// The store may refuse this node alone: another may reach it.
		if r, ok := n.relay(peer.Submit, body); ok {
			return r
		}
	}
	if errors.Is(err, store.ErrBudget) || errors.Is(err, store.ErrBusy) {
		return front.Later(429, 1)
	}
	return front.Later(503, 1)
}

// hedgeAfter is how long the store may take over a submission before a peer is
// asked as well.
const hedgeAfter = 100 * micro.Millisecond

// refusal is the answer to a submission that is not taken; false if it may be. A
// repeat of an accepted one is known whatever has changed since, so before
// anything is refused for good the store is asked for it.
func (n *Node) refusal(job *wire.Job, relay bool) (front.Reply, bool) {
	cat := n.catalog.Load()
	if cat == nil {
		return front.Later(503, 1), true
	}
	why, status := n.impossible(job, cat), 422
	if why == "" && wire.JSONSize(alone(job)) > n.valueBytes()-specMargin {
		why, status = "the description is too large to keep", 400
	}
	if why == "" && len(job.Needs) > 0 {
		if !n.Opened() {
			// A node of the earlier version may still lead, and would not wait.
			return n.known(job.ID, relay, front.Later(503, 2)), true
		}
		missing, err := n.missing(job.Needs, job.ID, relay)
		switch {
		case err != nil:
			return front.Later(503, 1), true
		case missing != "":
			why = "awaits " + missing + ", which was never accepted"
		}
	}
	if why != "" {
		return n.known(job.ID, relay, front.Fail(status, why)), true
	}
	if l := n.leading(); l != nil && int(l.pendingTasks.Load()) > n.Cfg.MaxPending {
		if _, ok := l.known.Load(job.ID); !ok {
			return front.Later(429, 5), true
		}
	}
	return front.Reply{}, false
}

// specMargin is kept in the description's value for what the service adds.
const specMargin = 64

// alone is a description without the list of what it awaits.
func alone(job *wire.Job) *wire.Job {
	x := *job
	x.Needs = nil
	return &x
}

// valueBytes is what a value may take.
func (n *Node) valueBytes() int {
	now, safe := n.Cfg.ValueBytes()
	if n.Opened() {
		return safe
	}
	return now
}

// known answers a repeat of an accepted submission, and gives the other reply if
// it is none.
func (n *Node) known(id string, relay bool, other front.Reply) front.Reply {
	var r front.Reply
	if relay {
		r = n.Show(id)
	} else if got, err := n.read(id); err == nil {
		r = got
	} else {
		r = front.Later(503, 1)
	}
	switch r.Status {
	case 404:
		return other
	case 200:
		return r
	}
	return front.Later(503, 1)
}

// missing finds a job among those awaited that was never accepted, "" if there is
// none. What was accepted once stays so, and may be remembered.
func (n *Node) missing(needs []string, self string, relay bool) (string, error) {
	var ask []string
	for _, id := range needs {
		if id == self {
			// Accepted before it was named, it would be known.
			return id, nil
		}
		if _, ok := n.seen.Load(id); !ok {
			ask = append(ask, id)
		}
	}
	most := guardsPerChange * n.Cfg.TxnOps()
	for len(ask) > 0 {
		part := ask[:min(len(ask), most)]
		ask = ask[len(part):]
		there, err := n.exist(part, relay)
		if err != nil {
			return "", err
		}
		for _, id := range part {
			if !there[id] {
				return id, nil
			}
			n.saw(id)
		}
	}
	return "", nil
}

// guardsPerChange is how many conditions the store takes for each change that a
// transaction may have.
const guardsPerChange = 4

// exist asks the store, or a peer that reaches it, which jobs were accepted.
func (n *Node) exist(ids []string, relay bool) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = specKey(id)
	}
	there, err := n.Store.Existing(ctx, store.Routine, keys)
	if err == nil {
		out := map[string]bool{}
		for i, id := range ids {
			out[id] = there[keys[i]]
		}
		return out, nil
	}
	if !relay {
		return nil, err
	}
	for _, p := range n.leaderFirst() {
		status, body, perr := n.ask(p, peer.Exist, wire.MustMarshal(ids), askWait)
		var got []string
		if perr == nil && status == 200 && wire.Unmarshal(body, &got) == nil {
			out := map[string]bool{}
			for _, id := range got {
				out[id] = true
			}
			return out, nil
		}
	}
	return nil, err
}

// saw remembers an accepted job.
func (n *Node) saw(id string) {
	if n.seenN.Add(1) > maxSeen {
		n.seen.Clear()
		n.seenN.Store(0)
	}
	n.seen.Store(id, true)
}

// maxSeen bounds the accepted jobs that are remembered.
const maxSeen = 20_000

// needsRecord is a part of a long list of awaited jobs, in a key of its own.
type needsRecord struct {
	Needs []string `msgpack:"n" json:"n"`
}

const needsRest = "needs/"

func needsKey(id string, n int) string { return "job/" + id + "/" + needsRest + strconv.Itoa(n) }

// split moves what does not fit the description's value into keys of its own.
func (n *Node) split(job *wire.Job) (*wire.Job, []wire.Change) {
	bytes := n.valueBytes() - specMargin
	if wire.JSONSize(job) <= bytes {
		return job, nil
	}
	x := alone(job)
	var parts []wire.Change
	size, part := 0, []string(nil)
	flush := func() {
		if len(part) > 0 {
			parts = append(parts, wire.Change{Put: needsKey(job.ID, len(parts)), Value: needsRecord{part}})
			size, part = 0, nil
		}
	}
	for _, id := range job.Needs {
		if size += len(id) + 3; size > bytes-16 {
			flush()
			size = len(id) + 3
		}
		part = append(part, id)
	}
	flush()
	x.NeedsIn = len(parts)
	return x, parts
}

// keep writes a job's description, once. What it awaits comes first: without
// that, no description may be found.
func (n *Node) keep(job *wire.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	class := store.Urgent
	if n.leading() != nil {
		class = store.Routine // a crowd of submissions must not hold up starts and rentals
	}
	spec, parts := n.split(job)
	for len(parts) > 0 {
		some := parts[:min(len(parts), n.Cfg.TxnOps())]
		parts = parts[len(some):]
		// A repeat carries the same list, and writes the same.
		if _, err := n.Store.Commit(ctx, class, wire.Txn{If: []wire.Guard{{Key: specKey(job.ID)}}, Then: some}); err != nil {
			return err
		}
	}
	_, err := n.Store.Commit(ctx, class, wire.Txn{
		If:   []wire.Guard{{Key: specKey(job.ID)}},
		Then: []wire.Change{{Put: specKey(job.ID), Value: spec}},
	})
	return err
}

// accepted tells the leader of a new job; its watch would find it as well.
func (n *Node) accepted(job *wire.Job) {
	n.saw(job.ID)
	if l := n.leading(); l != nil {
		l.post(func() { l.addJob(*job) })
		return
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return
	}
	go func() { _, _, _ = n.ask(leader, peer.Notify, wire.MustMarshal(job), relayWait) }()
}

// impossible says why a job can never run, "" if it can.
func (n *Node) impossible(job *wire.Job, cat *wire.Catalog) string {
	team := n.Cfg.Team(job.Team)
	if team == nil {
		return "unknown team"
	}
	fits := false
	for i := range cat.Types {
		t := &model.Type{MachineType: cat.Types[i]}
		for _, z := range t.Zones {
			fits = fits || sched.Allowed(job, t, z, false)
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	tasks := float64(job.Tasks)
	if job.Kind == wire.Array {
		tasks = 1
	}
	const eps = 1e-9
	if team.CPUsMax > 0 && tasks*job.CPUs > team.CPUsMax+eps || team.GPUsMax > 0 && tasks*job.GPUs > team.GPUsMax+eps {
		return "needs more than the team's limit"
	}
	return ""
}

// ask calls a peer, and leaves one alone for a while that did not answer.
func (n *Node) ask(node, call string, body []byte, wait micro.Time) (int, []byte, error) {
	if until, ok := n.badPeer.Load(node); ok && n.Now() < until.(micro.Time) {
		return 0, nil, peer.ErrUnreachable
	}
	status, out, err := n.Peers.Call(context.Background(), node, call, body, wait)
	if err != nil {
		n.badPeer.Store(node, n.Now()+badPeer)
	}
	return status, out, err
}

// leaderFirst lists the other nodes.
func (n *Node) leaderFirst() []string {
	leader := n.election.Leader()
	nodes := []string{}
	if leader != "" && leader != n.Cfg.Node {
		nodes = append(nodes, leader)
	}
	for _, p := range n.Cfg.Peers {
		if p.Node != leader {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}

// relay hands a request to another node, the leader first.
func (n *Node) relay(call string, body []byte) (front.Reply, bool) {
	for _, node := range n.leaderFirst() {
		status, out, err := n.ask(node, call, body, askWait)
		if err != nil || status >= 500 || status == 429 || status == 421 {
			continue
		}
		if r, ok := decodeReply(status, out); ok {
			return r, true
		}
	}
	return front.Reply{}, false
}

func decodeReply(status int, out []byte) (front.Reply, bool) {
	if status != 200 && status != 201 {
		return front.Fail(status, "refused"), status == 400 || status == 404 || status == 422
	}
	var s wire.JobStatus
	if wire.Unmarshal(out, &s) != nil {
		return front.Reply{}, false
	}
	return front.Reply{Status: status, Body: s}, true
}

// Show answers a poll: the leader from its memory, else the store's truth.
func (n *Node) Show(id string) front.Reply {
	if s, ok := n.finals.get(id); ok {
		return front.Reply{Status: 200, Body: s}
	}
	if l := n.leading(); l != nil {
		if s, ok := l.show(id); ok {
			n.finals.put(s)
			return front.Reply{Status: 200, Body: s}
		}
	} else if leader := n.election.Leader(); leader != "" && leader != n.Cfg.Node {
		if status, out, err := n.ask(leader, peer.Show, []byte(id), askWait); err == nil && status == 200 {
			if r, ok := decodeReply(status, out); ok {
				n.finals.put(r.Body.(wire.JobStatus))
				return r
			}
		}
	}
	cut := n.Cut()
	if cut { // the store is not worth waiting for before others were asked
		if r, ok := n.readElsewhere(id); ok {
			return r
		}
	}
	r, err := n.read(id)
	if err != nil {
		if !cut {
			if r, ok := n.readElsewhere(id); ok {
				return r
			}
		}
		return front.Later(503, 1)
	}
	return r
}

// readElsewhere asks the other nodes for what they read from the store.
func (n *Node) readElsewhere(id string) (front.Reply, bool) {
	r, ok := n.relay(peer.Read, []byte(id))
	if s, is := r.Body.(wire.JobStatus); ok && is {
		n.finals.put(s)
	}
	return r, ok
}

// freshRead is how long the store may take over whether a job is over, for an
// answer that it is not.
const freshRead = 400 * micro.Millisecond

// read answers from the store: the job's own keys tell whether it exists and
// how it ended, the records of its tasks how far it is. The end is read last, and
// a slow answer without one is none: while the store was slow, a user was told
// that a job was done, and then, by a read begun before, that it was pending.
func (n *Node) read(id string) (front.Reply, error) {
	s := wire.JobStatus{ID: id, State: wire.JobPending}
	var t model.Tally
	err := n.readAll("run/"+id+"/", func(rest string, value []byte) error { return t.Add(rest, compactMark, value) })
	if err != nil {
		return front.Reply{}, err
	}
	s.Done, s.Running = t.Count()
	k := kept{specs: map[string]wire.Job{}, ends: map[string]model.EndRecord{}, needs: map[string]map[int][]string{}}
	asked := n.Now()
	err = n.readAll("job/"+id+"/", func(rest string, value []byte) error {
		k.job(wire.Item{Key: "job/" + id + "/" + rest, Value: value})
		return nil
	})
	if err != nil {
		return front.Reply{}, err
	}
	spec, accepted := k.specs[id]
	end, over := k.ends[id]
	if !accepted && !over {
		return front.Fail(404, "no such job"), nil
	}
	if over {
		s.State = end.State
	} else if !k.whole(&spec) {
		return front.Reply{}, store.ErrUncertain
	} else if len(spec.Needs) > 0 && s.Done+s.Running == 0 {
		lacks, fallen, err := n.fallen(spec.Needs)
		if err != nil {
			return front.Reply{}, err
		}
		s.Needs = lacks
		if fallen {
			s.State, s.Needs = wire.JobAborted, nil
		}
	}
	if s.State.Final() {
		s.Done, s.Running = 0, 0
		if s.State == wire.JobDone && accepted {
			s.Done = spec.Tasks
		}
		n.finals.put(s)
		return front.Reply{Status: 200, Body: s}, nil
	}
	if n.Now()-asked > freshRead {
		return front.Reply{}, store.ErrUncertain
	}
	if s.Running > 0 {
		s.State = wire.JobRunning
	}
	return front.Reply{Status: 200, Body: s}, nil
}

// fallen reports whether a job that is needed, directly or through others, is
// stored as aborted: then so is what needs it, though its own end may still have
// to be written by a leader. Else it names those whose end is not stored.
func (n *Node) fallen(needs []string) (lacks []string, fallen bool, err error) {
	asked := map[string]bool{}
	for list := needs; len(list) > 0; {
		id := list[0]
		list = list[1:]
		if asked[id] {
			continue
		}
		if asked[id] = true; len(asked) > maxFallen {
			return nil, false, store.ErrBudget
		}
		if s, ok := n.finals.get(id); ok {
			if s.State == wire.JobAborted {
				return nil, true, nil
			}
			continue
		}
		k := kept{specs: map[string]wire.Job{}, ends: map[string]model.EndRecord{}, needs: map[string]map[int][]string{}}
		if err := n.readAll("job/"+id+"/", func(rest string, value []byte) error {
			k.job(wire.Item{Key: "job/" + id + "/" + rest, Value: value})
			return nil
		}); err != nil {
			return nil, false, err
		}
		if e, over := k.ends[id]; over {
			if e.State == wire.JobAborted {
				return nil, true, nil
			}
			continue
		}
		spec, ok := k.specs[id]
		if !ok || !k.whole(&spec) {
			return nil, false, store.ErrUncertain
		}
		if len(asked) <= len(needs) {
			lacks = append(lacks, id)
		}
		list = append(list[:len(list):len(list)], spec.Needs...)
	}
	return lacks, false, nil
}

// maxFallen is how many jobs are looked at for one answer: a poll that would need
// more is told to come back.
const maxFallen = 24

// readAll reads all keys with a prefix: one page, but for the largest jobs.
func (n *Node) readAll(prefix string, each func(rest string, value []byte) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	for after, more := "", true; more; {
		page, err := n.Store.Range(ctx, store.Routine, prefix, after, 1000)
		if err != nil {
			return err
		}
		for _, it := range page.Items {
			if err := each(strings.TrimPrefix(it.Key, prefix), it.Value); err != nil {
				return err
			}
			after = it.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return nil
}

// Withdraw cancels a job; only the leader can.
func (n *Node) Withdraw(id string) front.Reply {
	if s, ok := n.finals.get(id); ok {
		return front.Reply{Status: 200, Body: s}
	}
	if l := n.leading(); l != nil {
		return n.withdrawHere(l, id)
	}
	leader := n.election.Leader()
	if leader != "" && leader != n.Cfg.Node {
		if status, out, err := n.ask(leader, peer.Withdraw, []byte(id), relayWait); err == nil {
			if r, ok := decodeReply(status, out); ok {
				if s, ok := r.Body.(wire.JobStatus); ok {
					n.finals.put(s)
				}
				return r
			}
		}
	}
	return front.Later(503, 1)
}

func (n *Node) withdrawHere(l *Lead, id string) front.Reply {
	r := l.withdraw(id)
	if r.Status == 404 {
		// Not in memory yet, perhaps: the store decides.
		got, err := n.read(id)
		if err != nil {
			return front.Later(503, 1)
		}
		if s, ok := got.Body.(wire.JobStatus); ok && got.Status == 200 && s.State.Final() || got.Status == 404 {
			return got
		}
		return front.Later(503, 1)
	}
	if s, ok := r.Body.(wire.JobStatus); ok {
		n.finals.put(s)
	}
	return r
}

// peerCall answers another node.
func (n *Node) peerCall(ctx context.Context, call string, body []byte) (int, []byte) {
	var r front.Reply
	switch call {
	case peer.Ping:
		return 200, nil
	case peer.Announce:
		return n.answerAnnounce(ctx, body), nil
	case peer.Keep:
		return n.answerKeeper(body)
	case peer.Submit:
		r = n.submit(body, false)
	case peer.Exist:
		var ids []string
		if wire.Unmarshal(body, &ids) != nil {
			return 400, nil
		}
		there, err := n.exist(ids, false)
		if err != nil {
			return 503, nil
		}
		got := []string{}
		for id := range there {
			if there[id] {
				got = append(got, id)
			}
		}
		return 200, wire.MustMarshal(got)
	case peer.Read:
		got, err := n.read(string(body))
		if err != nil {
			return 503, nil
		}
		r = got
	case peer.Show, peer.Withdraw, peer.Notify:
		l := n.leading()
		if l == nil {
			return 421, nil
		}
		switch call {
		case peer.Show:
			s, ok := l.show(string(body))
			if !ok {
				return 503, nil // the asker reads the store
			}
			r = front.Reply{Status: 200, Body: s}
		case peer.Withdraw:
			if !wire.ValidJobID(string(body)) {
				return 400, nil
			}
			r = n.withdrawHere(l, string(body))
		case peer.Notify:
			var job wire.Job
			if wire.Unmarshal(body, &job) != nil || !wire.ValidJobID(job.ID) || job.Tasks < 1 {
				return 400, nil
			}
			l.post(func() { l.addJob(job) })
			return 200, nil
		}
	}
	out, err := wire.Marshal(r.Body)
	if err != nil {
		return 500, nil
	}
	return r.Status, out
}

// Beat answers a worker's report. Only the leader may; the others say who leads.
func (n *Node) Beat(body []byte) front.Reply {
	l := n.leading()
	if l == nil {
		if r, ok := n.keepLease(body); ok {
			return r
		}
		leader := n.election.Leader()
		if leader == "" || leader == n.Cfg.Node || n.lost(leader) {
			return front.Later(503, 1)
		}
		return front.Reply{Status: 421, Body: wire.Redirect{Leader: leader}}
	}
	if len(body) > wire.MaxBody {
		return front.Fail(400, "too large")
	}
	r, err := wire.DecodeReport(body)
	if err != nil {
		return front.Fail(400, err.Error())
	}
	return l.beat(r)
}
