package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is the state of a task in an agent's heartbeat.
type TaskState string

// The states of a task.
const (
	TaskFetching       TaskState = "pulling"
	TaskWaitingForGang TaskState = "gathering"
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "flushing"
	TaskExited         TaskState = "ended"
)

// ExitCause is the reason why a task exited, or why the agent refused to start it.
type ExitCause string

// The causes of an exit.
const (
	CauseDone           ExitCause = "done"
	CauseStopped        ExitCause = "stopped"
	CauseGangPeerLost   ExitCause = "peers"
	CauseGangTimeout    ExitCause = "alone"
	CauseError          ExitCause = "error"
	CauseNoResources    ExitCause = "full"
	CauseAlreadyRunning ExitCause = "in_use"
	CauseJobUnknown     ExitCause = "no_such"
)

// TaskStatus is the status of one task in an agent's heartbeat.
type TaskStatus struct {
	Task         string    `msgpack:"piece"`
	Attempt      Count     `msgpack:"try"`
	State        TaskState `msgpack:"status"`
	Cause        ExitCause `msgpack:"cause,omitempty"`
	Checkpointed bool      `msgpack:"saved,omitempty"`
}

// Heartbeat is the status that an agent sends to the controllers at regular intervals.
type Heartbeat struct {
	Machine           string       `msgpack:"host"`
	Addr              string       `msgpack:"address"`
	Type              string       `msgpack:"rig"`
	Zone              string       `msgpack:"yard"`
	Spot              bool         `msgpack:"loaners"`
	AgentEpoch        Count        `msgpack:"shift"`
	Sequence          Count        `msgpack:"tally"`
	FencingToken      Count        `msgpack:"baton"`
	PreemptionNoticeS *float64     `msgpack:"recallS"`
	Tasks             []TaskStatus `msgpack:"pieces"`
}

// DecodeHeartbeat decodes and validates an agent's heartbeat. Every error wraps ErrMalformed.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := Unmarshal(body, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" || heartbeat.Addr == "" || heartbeat.AgentEpoch == 0 {
		return nil, fmt.Errorf("%w: report names no machine, address or session", ErrMalformed)
	}
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if _, _, ok := ParseTaskName(task.Task); !ok {
			return nil, fmt.Errorf("%w: bad task name", ErrMalformed)
		}
		switch task.State {
		case TaskFetching, TaskWaitingForGang, TaskRunning, TaskCheckpointing, TaskExited:
		default:
			return nil, fmt.Errorf("%w: bad task state", ErrMalformed)
		}
	}
	return &heartbeat, nil
}

// TaskName returns the name of a job's task on the wire: the job's ID, a slash and the task's index.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits the name of a task into its job's ID and its index. It returns false if the name is
// invalid.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, number, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return job, index, true
}

// CommandKind is the action that a command requests from an agent.
type CommandKind string

// The kinds of command.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "forget"
)

// Command requests that an agent starts, stops or forgets one attempt of a task.
type Command struct {
	Kind         CommandKind `msgpack:"verb"`
	Task         string      `msgpack:"piece"`
	Attempt      Count       `msgpack:"try"`
	GracePeriodS *float64    `msgpack:"leewayS,omitempty"`
}

// Commands is the response to a heartbeat. When commands are sent to an agent directly, it carries the agent's
// epoch too.
type Commands struct {
	FencingToken Count     `msgpack:"baton"`
	AgentEpoch   Count     `msgpack:"shift,omitempty"`
	Items        []Command `msgpack:"orders"`
}

// NotLeader is the response to a heartbeat from a node that does not serve the machine. It names the node that
// does, the leader or a shard owner, if it is known.
type NotLeader struct {
	LeaderHint string `msgpack:"foreman,omitempty"`
}
