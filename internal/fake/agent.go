package fake

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Agent is a stand-in for an agent, written from the protocol: sessions,
// tokens, its lease, and commands that may come late or twice. Tasks run until
// the test says otherwise.
type Agent struct {
	Name, Zone, Type string
	Spot             bool
	Epoch, Sequence  uint64
	FencingToken     uint64
	LeaseDuration    micro.Time
	LeaseStart       micro.Time // when its last answered report was sent
	Tasks            map[AttemptKey]*wire.TaskStatus
	StartedTasks     []string                         // every start that took effect, in order
	InitialState     wire.TaskState                   // what a task does first; "": it runs at once
	RefuseStart      func(task string) wire.ExitCause // why a start is refused, "" if it is not; nil: never
}

// AttemptKey names an attempt.
type AttemptKey struct {
	Task    string
	Attempt uint64
}

// NewAgent makes an agent in its first session.
func NewAgent(name, machineType, zone string, lease micro.Time) *Agent {
	return &Agent{
		Name: name, Type: machineType, Zone: zone, Epoch: 1, LeaseDuration: lease, Tasks: map[AttemptKey]*wire.TaskStatus{},
	}
}

// Heartbeat builds the next heartbeat.
func (w *Agent) Heartbeat() *wire.Heartbeat {
	w.Sequence++
	heartbeat := &wire.Heartbeat{
		Machine: w.Name, Addr: w.Name + ":9000", Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		AgentEpoch: wire.Count(w.Epoch), Sequence: wire.Count(w.Sequence), FencingToken: wire.Count(w.FencingToken),
	}
	for _, task := range w.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, *task)
	}
	sort.Slice(heartbeat.Tasks, func(a, b int) bool { return heartbeat.Tasks[a].Task < heartbeat.Tasks[b].Task })
	return heartbeat
}

// HandleResponse takes the answer to a heartbeat that was sent at a time.
func (w *Agent) HandleResponse(response wire.Commands, sent micro.Time) bool {
	if uint64(response.FencingToken) < w.FencingToken || response.FencingToken == 0 {
		return false
	}
	w.FencingToken = uint64(response.FencingToken)
	w.LeaseStart = sent
	w.execute(response.Items)
	return true
}

// HandleDispatch takes orders that came by themselves; false is status 409.
func (w *Agent) HandleDispatch(commands wire.Commands) (*wire.Heartbeat, bool) {
	if uint64(commands.FencingToken) < w.FencingToken || uint64(commands.AgentEpoch) != w.Epoch {
		return w.Heartbeat(), false
	}
	w.FencingToken = uint64(commands.FencingToken)
	w.execute(commands.Items)
	return w.Heartbeat(), true
}

func (w *Agent) execute(commands []wire.Command) {
	for _, command := range commands {
		key := AttemptKey{command.Task, uint64(command.Attempt)}
		task := w.Tasks[key]
		switch {
		case command.Kind == wire.CommandStart && task == nil:
			task = &wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning}
			if w.InitialState != "" {
				task.State = w.InitialState
			}
			if w.RefuseStart != nil {
				task.Cause = w.RefuseStart(command.Task)
			}
			w.Tasks[key] = task
			if task.Cause != "" {
				task.State = wire.TaskExited
				break
			}
			w.StartedTasks = append(w.StartedTasks, command.Task)
		case command.Kind == wire.CommandStop && task != nil && task.State != wire.TaskExited:
			task.State, task.Cause = wire.TaskExited, wire.CauseStopped
		case command.Kind == wire.CommandForget && task != nil && task.State == wire.TaskExited:
			delete(w.Tasks, key)
		}
	}
}

// ExitTask ends a task.
func (w *Agent) ExitTask(task string, attempt uint64, cause wire.ExitCause) {
	if t := w.Tasks[AttemptKey{task, attempt}]; t != nil {
		t.State, t.Cause = wire.TaskExited, cause
	}
}

// ExpireLease moves on to the next session if the lease ran out.
func (w *Agent) ExpireLease(now micro.Time) bool {
	if now-w.LeaseStart <= w.LeaseDuration {
		return false
	}
	w.Epoch++
	w.LeaseStart = now
	clear(w.Tasks)
	return true
}
