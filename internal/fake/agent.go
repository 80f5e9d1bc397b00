package fake

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Agent is a fake agent that follows the protocol: agent epochs, fencing tokens, its lease, and commands that
// may arrive late or twice. Tasks run until the test ends them.
type Agent struct {
	Name, Zone, Type string
	Spot             bool
	Epoch, Sequence  uint64
	FencingToken     uint64
	LeaseDuration    micro.Time
	LeaseStart       micro.Time // when the last heartbeat with an accepted response was sent
	Tasks            map[AttemptKey]*wire.TaskStatus
	StartedTasks     []string                         // tasks of all executed start commands, in order
	InitialState     wire.TaskState                   // state of a started task; "": running
	RefuseStart      func(task string) wire.ExitCause // cause for which a start is refused, "" to accept; nil: accept all
}

// AttemptKey identifies an attempt of a task.
type AttemptKey struct {
	Task    string
	Attempt uint64
}

// NewAgent returns an agent in epoch 1.
func NewAgent(name, machineType, zone string, lease micro.Time) *Agent {
	return &Agent{
		Name: name, Type: machineType, Zone: zone, Epoch: 1, LeaseDuration: lease, Tasks: map[AttemptKey]*wire.TaskStatus{},
	}
}

// Heartbeat returns the next heartbeat.
func (a *Agent) Heartbeat() *wire.Heartbeat {
	a.Sequence++
	heartbeat := &wire.Heartbeat{
		Machine: a.Name, Addr: a.Name + ":9000", Type: a.Type, Zone: a.Zone, Spot: a.Spot,
		AgentEpoch: wire.Count(a.Epoch), Sequence: wire.Count(a.Sequence), FencingToken: wire.Count(a.FencingToken),
	}
	for _, task := range a.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, *task)
	}
	sort.Slice(heartbeat.Tasks, func(i, j int) bool { return heartbeat.Tasks[i].Task < heartbeat.Tasks[j].Task })
	return heartbeat
}

// HandleResponse handles the response to the heartbeat that was sent at the given time. It returns false and does
// nothing if the fencing token is zero or older than the agent's.
func (a *Agent) HandleResponse(response wire.Commands, sent micro.Time) bool {
	if uint64(response.FencingToken) < a.FencingToken || response.FencingToken == 0 {
		return false
	}
	a.FencingToken = uint64(response.FencingToken)
	a.LeaseStart = sent
	a.execute(response.Items)
	return true
}

// HandleDispatch handles commands that were sent directly. It returns false, which stands for status 409, if the
// fencing token is older than the agent's or the epoch is another one.
func (a *Agent) HandleDispatch(commands wire.Commands) (*wire.Heartbeat, bool) {
	if uint64(commands.FencingToken) < a.FencingToken || uint64(commands.AgentEpoch) != a.Epoch {
		return a.Heartbeat(), false
	}
	a.FencingToken = uint64(commands.FencingToken)
	a.execute(commands.Items)
	return a.Heartbeat(), true
}

func (a *Agent) execute(commands []wire.Command) {
	for _, command := range commands {
		key := AttemptKey{command.Task, uint64(command.Attempt)}
		task := a.Tasks[key]
		switch {
		case command.Kind == wire.CommandStart && task == nil:
			task = &wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskRunning}
			if a.InitialState != "" {
				task.State = a.InitialState
			}
			if a.RefuseStart != nil {
				task.Cause = a.RefuseStart(command.Task)
			}
			a.Tasks[key] = task
			if task.Cause != "" {
				task.State = wire.TaskExited
				break
			}
			a.StartedTasks = append(a.StartedTasks, command.Task)
		case command.Kind == wire.CommandStop && task != nil && task.State != wire.TaskExited:
			task.State, task.Cause = wire.TaskExited, wire.CauseStopped
		case command.Kind == wire.CommandForget && task != nil && task.State == wire.TaskExited:
			delete(a.Tasks, key)
		}
	}
}

// ExitTask ends the attempt of the task with the cause, if the agent has it.
func (a *Agent) ExitTask(task string, attempt uint64, cause wire.ExitCause) {
	if t := a.Tasks[AttemptKey{task, attempt}]; t != nil {
		t.State, t.Cause = wire.TaskExited, cause
	}
}

// ExpireLease ends all tasks and starts the next epoch if the lease has expired. It reports whether it has.
func (a *Agent) ExpireLease(now micro.Time) bool {
	if now-a.LeaseStart <= a.LeaseDuration {
		return false
	}
	a.Epoch++
	a.LeaseStart = now
	clear(a.Tasks)
	return true
}
