package controller

import (
	"context"
	"notchmux.dev/notchmux/internal/writer"
	"strconv"
	"time"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

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

// known answers a repeat of an accepted submission, and gives the other reply if
// it is none.
func (n *Node) known(id string, relay bool, other front.Reply) front.Reply {
	var r front.Reply
	if relay {
		r = n.showSubmitted(id)
	} else if got, err := n.read(id, store.Routine); err == nil {
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
		_, ok := n.seen.Load(id)
		if l := n.leading(); !ok && l != nil {
			_, ok = l.known.Load(id) // read from the store, or stored by a node that told
		}
		if !ok {
			ask = append(ask, id)
		}
	}
	most := writer.GuardsPerChange * n.Cfg.TxnOps()
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

// exist asks the store, or a peer that reaches it, which jobs were accepted.
func (n *Node) exist(ids []string, relay bool) (map[string]bool, error) {
	there, err := n.existing(ids, store.Routine)
	if err == nil || !relay {
		return there, err
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
	if _, again := n.seen.LoadOrStore(id, true); again {
		return
	}
	if n.seenN.Add(1) > maxSeen {
		n.seen.Clear()
		n.seenN.Store(0)
	}
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
