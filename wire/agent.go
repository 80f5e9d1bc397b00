package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is a task's state as its agent reports it.
type TaskState string

// The states an agent reports.
const (
	TaskFetching       TaskState = "pulling"
	TaskWaitingForGang TaskState = "gathering"
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "flushing"
	TaskExited         TaskState = "ended"
)

// ExitCause says why a task exited, or why its start was refused.
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

// TaskStatus is one task in an agent's heartbeat.
type TaskStatus struct {
	Task         string    `msgpack:"piece"`
	Attempt      Count     `msgpack:"try"`
	State        TaskState `msgpack:"status"`
	Cause        ExitCause `msgpack:"cause,omitempty"`
	Checkpointed bool      `msgpack:"saved,omitempty"`
}

// Heartbeat is what an agent tells the controllers.
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

// DecodeHeartbeat decodes and checks an agent's heartbeat.
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

// TaskName is the name of a job's task on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName takes a task's name apart.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) {
		return "", 0, false
	}
	index, err := strconv.Atoi(num)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return job, index, true
}

// CommandKind is what a command asks of an agent.
type CommandKind string

// The orders.
const (
	CommandStart  CommandKind = "start"
	CommandStop   CommandKind = "halt"
	CommandForget CommandKind = "forget"
)

// Command is one command to an agent.
type Command struct {
	Kind         CommandKind `msgpack:"verb"`
	Task         string      `msgpack:"piece"`
	Attempt      Count       `msgpack:"try"`
	GracePeriodS *float64    `msgpack:"leewayS,omitempty"`
}

// Commands answers a heartbeat, or goes to an agent directly with its session.
type Commands struct {
	FencingToken Count     `msgpack:"baton"`
	AgentEpoch   Count     `msgpack:"shift,omitempty"`
	Items        []Command `msgpack:"orders"`
}

// NotLeader tells an agent which node leads.
type NotLeader struct {
	LeaderHint string `msgpack:"foreman,omitempty"`
}
