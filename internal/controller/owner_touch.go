package controller

import (
	"context"
	"maps"
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// What an owner tells the leader in one touch, at the most: a call between nodes holds
// wire.MaxBody. What is left out comes with the next.
const (
	touchEvery  = micro.Second
	touchWait   = 900 * micro.Millisecond
	maxTold     = 300 // machines, and jobs of each kind
	maxRoom     = 64  // kinds of room
	pressPause  = 50 * micro.Millisecond
	roomRounded = 1 // machines with so many free CPUs more or less are told together
)

// finishedInShare notes a job all of whose tasks are done. The leader writes its end,
// once its records say so.
func (l *Lead) finishedInShare(j *model.Job) {
	l.owner.finished[j] = true
	l.owner.press = true
	now := l.n.Now()
	for _, ch := range j.Chunks {
		if ch.Ver > ch.Saved {
			l.records.chunk(ch).Touch(now, writer.Soon)
		}
	}
}

// recorded reports whether all that is known of a job's tasks is in the store.
func recordedWhole(j *model.Job) bool {
	for _, ch := range j.Chunks {
		if ch.Ver > ch.Saved {
			return false
		}
	}
	return true
}

// touchLeader tells the leader how the share fares, and asks what concerns it.
func (l *Lead) touchLeader(now micro.Time) {
	if l.owner.telling || now-l.owner.toldAt < pressPause {
		return
	}
	l.owner.telling, l.owner.press, l.owner.toldAt = true, false, now
	t := share.Touch{Node: l.n.Cfg.Node, Session: l.term.Stamp, Term: l.owner.term, Shares: []share.ShareTouch{l.tell(now)}}
	body := wire.MustMarshal(t)
	go func() {
		reply, ok := l.n.sendTouch(body)
		l.post(func() {
			l.owner.telling = false
			if ok && l.valid() {
				l.told(&t.Shares[0], &reply, now)
			}
		})
	}()
}

// sendTouch brings a touch to the leader.
func (n *Node) sendTouch(body []byte) (reply share.Reply, ok bool) {
	if l := n.leading(); l != nil {
		return l.touched(body)
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return reply, false
	}
	status, out, err := n.Peers.Call(context.Background(), leader, peer.Share, body, touchWait)
	return reply, err == nil && status == 200 && wire.Unmarshal(out, &reply) == nil
}

// tell puts together what the leader is told. The caller has the right to act.
func (l *Lead) tell(now micro.Time) share.ShareTouch {
	s := share.ShareTouch{Name: l.owner.name, Seen: l.owner.seen, Room: l.freeRoom(now), Unreached: l.owner.unreached}
	l.owner.unreached = false // unless the next look finds it so again
	for j := range l.owner.finished {
		if len(s.Finished) < maxTold && recordedWhole(j) {
			s.Finished = append(s.Finished, j.Spec.ID)
		}
	}
	for j := range l.owner.stopped {
		if len(s.Stopped) < maxTold {
			s.Stopped = append(s.Stopped, stoppedSoFar(j))
		}
	}
	for m := range l.owner.wanted {
		if len(s.Return) < maxTold {
			s.Return = append(s.Return, m.Name)
		}
	}
	l.tellMachines(&s)
	l.tellProgress(&s)
	return s
}

func stoppedSoFar(j *model.Job) share.Stopped {
	out := share.Stopped{Job: j.Spec.ID, Held: j.HeldN}
	zones := map[string]bool{}
	for _, p := range j.AllPlaces() {
		zones[p.Machine.Zone] = true
	}
	out.Zones = slices.Sorted(maps.Keys(zones))
	return out
}

// tellMachines counts the machines that are up, and names those that the leader has not
// been told of.
func (l *Lead) tellMachines(s *share.ShareTouch) {
	for _, m := range l.c.List() {
		if m.State != model.Up {
			continue
		}
		s.Machines++
		if len(m.Places) == 0 {
			s.Empty++
		}
		if !l.owner.told[m.Name] && len(s.Up) < maxTold {
			s.Up = append(s.Up, m.Name)
		}
	}
}

func (l *Lead) tellProgress(s *share.ShareTouch) {
	now := l.n.Now()
	for j := range l.c.Live {
		s.Unassigned += j.Waiting()
		if n := min(j.Demand(now), j.Openings(now)); n > 0 && len(s.Demand) < maxTold {
			s.Demand = append(s.Demand, share.Demand{Job: j.Spec.ID, Tasks: n, Zones: l.openZones(j)})
		}
		if len(s.Progress) < maxTold && j.DoneN+j.RunningN > 0 {
			s.Progress = append(s.Progress, share.Progress{Job: j.Spec.ID, Done: j.DoneN, Running: j.RunningN, Need: placesNeeded(j)})
		}
	}
}

// placesNeeded is how many places a job's tasks may have at once from now on, by what
// the records say: whoever owns the share next knows no more.
func placesNeeded(j *model.Job) int {
	if !recordedWhole(j) {
		return -1
	}
	need := len(j.Tasks) - j.DoneN
	for _, place := range j.AllPlaces() {
		// Beside one for each task that is not done. A gang that is wound up holds less
		// for a while, and then all of its places again: counted by what was held and
		// waited, two jobs once had the same part of a limit.
		if task := &j.Tasks[place.Index]; task.Done || task.Held > 1 {
			need++
		}
	}
	return need
}

// openZones lists the zones where more of a job's tasks may go, by its rules on zones.
func (l *Lead) openZones(j *model.Job) []string {
	if !j.Spec.Spread && (!j.Spec.OneZone || j.HeldN == 0) {
		return nil
	}
	var open []string
	for _, zone := range l.n.Cfg.Facts.Zones {
		if sched.ZoneOK(j, zone, nil) {
			open = append(open, zone)
		}
	}
	return open
}

// roomKey is what makes machines' room alike.
type roomKey struct {
	pool *model.Pool
	cpu  int
	gpu  int
	mem  int
}

// freeRoom lists what is free, by like machines, the largest first. What waits for room
// in the share comes before jobs that are yet to be assigned: while any does, none is.
func (l *Lead) freeRoom(now micro.Time) []share.Room {
	for j := range l.c.Pending {
		if j.Waiting() > 0 && !j.Paused(now) {
			return nil
		}
	}
	counts := map[roomKey]int{}
	for _, pool := range l.c.Pools {
		for row := range pool.Rows() {
			for _, m := range pool.Row(row) {
				if !m.Usable(now) || m.Reserve != nil {
					continue
				}
				cpu := min(m.Type.CPUs-m.UsedScaled, m.Type.CPUs-m.UsedCPU)
				counts[roomKey{pool, int(cpu) / roomRounded, int(m.Type.GPUs - m.UsedGPU), int(m.Type.MemoryGB - m.UsedMem)}]++
			}
		}
	}
	out := make([]share.Room, 0, len(counts))
	for k, n := range counts {
		if k.cpu > 0 {
			out = append(out, share.Room{Type: k.pool.Type.Name, Zone: k.pool.Zone, Spot: k.pool.Spot, Count: n,
				CPU: float64(k.cpu), GPU: float64(k.gpu), Mem: float64(k.mem)})
		}
	}
	sort.Slice(out, func(a, b int) bool { return largerRoom(out[a], out[b]) })
	return out[:min(len(out), maxRoom)]
}

// largerRoom orders kinds of room; the order of equal ones is fixed, so that runs repeat.
func largerRoom(a, b share.Room) bool {
	switch {
	case a.GPU != b.GPU:
		return a.GPU > b.GPU
	case a.CPU != b.CPU:
		return a.CPU > b.CPU
	case a.Mem != b.Mem:
		return a.Mem > b.Mem
	case a.Type != b.Type:
		return a.Type < b.Type
	case a.Zone != b.Zone:
		return a.Zone < b.Zone
	}
	return !a.Spot && b.Spot
}

// told takes in the leader's answer to a touch that was sent at a time.
func (l *Lead) told(s *share.ShareTouch, reply *share.Reply, sent micro.Time) {
	if reply.Term != l.owner.term {
		l.owner.term = reply.Term
		clear(l.owner.told) // a new leader knows of no machine here
	} else {
		for _, name := range s.Up {
			l.owner.told[name] = true
		}
	}
	now := l.n.Now()
	for id, state := range reply.Ends {
		if j := l.c.Jobs[id]; j != nil && !j.Over() {
			l.endInShare(j, wire.JobState(state), now)
		}
	}
	for _, name := range reply.Gone {
		if m := l.c.Machines[name]; m != nil {
			delete(l.owner.wanted, m)
			delete(l.owner.told, name)
			l.c.Depart(m, now)
		}
	}
	l.readKept(reply, sent, now)
	l.scan(now)
	l.owner.kept = nil
}

// endInShare settles a job whose end is in the store.
func (l *Lead) endInShare(j *model.Job, state wire.JobState, now micro.Time) {
	l.c.End(j, state == wire.JobAborted, now)
	delete(l.owner.finished, j)
	delete(l.owner.stopped, j)
	l.log.Info("job over in share", "job", j.Spec.ID, "state", string(state))
	for _, ch := range j.Chunks {
		l.Touch(ch)
	}
}

// readKept notes until when keepers may have renewed leases, by this node's clock, as of
// the leader's answer: that was given after the touch was sent.
func (l *Lead) readKept(reply *share.Reply, sent, now micro.Time) {
	l.owner.kept = map[string]micro.Time{}
	for zone, ago := range reply.Kept {
		l.owner.kept[zone] = now - max(micro.Time(ago)-(now-sent), 0)
	}
	away := map[string]bool{}
	for _, zone := range reply.Away {
		away[zone] = true
		if _, known := l.c.Away[zone]; !known {
			l.c.Away[zone] = now
		}
	}
	for zone := range l.c.Away {
		if !away[zone] {
			delete(l.c.Away, zone)
			l.c.Changed()
		}
	}
}

// boundByLeader brings the model up to date on what keepers may have renewed. Only the
// leader is in touch with them: without its answer nothing is proven by a lease.
func (l *Lead) boundByLeader(now micro.Time) {
	for _, zone := range append([]string{""}, l.n.Cfg.Facts.Zones...) {
		l.c.Kept[zone] = l.owner.kept[zone]
		if l.owner.kept == nil {
			l.c.Kept[zone] = now
		}
	}
}
