package fake

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Worker is a stand-in for a worker, written from the protocol: sessions,
// tokens, its lease, and orders that may come late or twice. Tasks run until
// the test says otherwise.
type Worker struct {
	Name, Zone, Type string
	Spot             bool
	Session, Seq     uint64
	Token            uint64
	Lease            micro.Time
	Sent             micro.Time // when its last answered report was sent
	Tasks            map[Key]*wire.TaskReport
	Started          []string                     // every start that took effect, in order
	First            wire.TaskState               // what a task does first; "": it runs at once
	Refuse           func(task string) wire.Cause // why a start is refused, "" if it is not; nil: never
}

// Key names an attempt.
type Key struct {
	Task    string
	Attempt uint64
}

// NewWorker makes a worker in its first session.
func NewWorker(name, typ, zone string, lease micro.Time) *Worker {
	return &Worker{Name: name, Type: typ, Zone: zone, Session: 1, Lease: lease, Tasks: map[Key]*wire.TaskReport{}}
}

// Report builds the next report.
func (w *Worker) Report() *wire.Report {
	w.Seq++
	r := &wire.Report{Machine: w.Name, Addr: w.Name + ":9000", Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: wire.Count(w.Session), Seq: wire.Count(w.Seq), Token: wire.Count(w.Token)}
	for _, t := range w.Tasks {
		r.Tasks = append(r.Tasks, *t)
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Task < r.Tasks[b].Task })
	return r
}

// Answer takes the answer to a report that was sent at a time.
func (w *Worker) Answer(o wire.Orders, sent micro.Time) bool {
	if uint64(o.Token) < w.Token || o.Token == 0 {
		return false
	}
	w.Token = uint64(o.Token)
	w.Sent = sent
	w.execute(o.Orders)
	return true
}

// Direct takes orders that came by themselves; false is status 409.
func (w *Worker) Direct(o wire.Orders) (*wire.Report, bool) {
	if uint64(o.Token) < w.Token || uint64(o.Session) != w.Session {
		return w.Report(), false
	}
	w.Token = uint64(o.Token)
	w.execute(o.Orders)
	return w.Report(), true
}

func (w *Worker) execute(orders []wire.Order) {
	for _, o := range orders {
		key := Key{o.Task, uint64(o.Attempt)}
		t := w.Tasks[key]
		switch {
		case o.Op == wire.OpStart && t == nil:
			t = &wire.TaskReport{Task: o.Task, Attempt: o.Attempt, State: wire.TaskRunning}
			if w.First != "" {
				t.State = w.First
			}
			if w.Refuse != nil {
				t.Cause = w.Refuse(o.Task)
			}
			w.Tasks[key] = t
			if t.Cause != "" {
				t.State = wire.TaskExited
				break
			}
			w.Started = append(w.Started, o.Task)
		case o.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			t.State, t.Cause = wire.TaskExited, wire.CauseStopped
		case o.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(w.Tasks, key)
		}
	}
}

// Exit ends a task.
func (w *Worker) Exit(task string, attempt uint64, cause wire.Cause) {
	if t := w.Tasks[Key{task, attempt}]; t != nil {
		t.State, t.Cause = wire.TaskExited, cause
	}
}

// Expire moves on to the next session if the lease ran out.
func (w *Worker) Expire(now micro.Time) bool {
	if now-w.Sent <= w.Lease {
		return false
	}
	w.Session++
	w.Sent = now
	clear(w.Tasks)
	return true
}
