package controller

import (
	"context"
	"strings"
	"time"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

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
// Polls have taken what it usually costs from their budget before.
func (n *Node) read(id string, class store.Class) (front.Reply, error) {
	s := wire.JobStatus{ID: id, State: wire.JobPending}
	var t model.Tally
	err := n.readAll(class, "run/"+id+"/", func(rest string, value []byte) error { return t.Add(rest, compactMark, value) })
	if err != nil {
		return front.Reply{}, err
	}
	s.Done, s.Running = t.Count()
	k := newKept()
	asked := n.Now()
	if err = n.readJob(class, id, &k); err != nil {
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
		lacks, fallen, err := n.fallen(spec.Needs, class)
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
func (n *Node) fallen(needs []string, class store.Class) (lacks []string, fallen bool, err error) {
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
		if class == store.Poll {
			n.pollBudget.charge()
		}
		k := newKept()
		if err := n.readJob(store.Routine, id, &k); err != nil {
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
func (n *Node) readAll(class store.Class, prefix string, each func(rest string, value []byte) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	for after, more := "", true; more; {
		page, err := n.Store.Range(ctx, class, prefix, after, 1000)
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
