package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is a task's state as its worker reports it.
type TaskState string

// The states a worker reports.
const (
	TaskFetching TaskState = "pulling"
	TaskWaiting  TaskState = "gathering"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "flushing"
	TaskExited   TaskState = "ended"
)

// Cause says why a task exited, or why its start was refused.
type Cause string

// The causes of an exit.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CausePeers   Cause = "peers"
	CauseAlone   Cause = "alone"
	CauseError   Cause = "error"
	CauseNoRoom  Cause = "full"
	CauseBusy    Cause = "in_use"
	CauseUnknown Cause = "no_such"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string    `msgpack:"piece"`
	Attempt Count     `msgpack:"try"`
	State   TaskState `msgpack:"status"`
	Cause   Cause     `msgpack:"cause,omitempty"`
	Saved   bool      `msgpack:"saved,omitempty"`
}

// Report is what a worker tells the controllers.
type Report struct {
	Machine string       `msgpack:"host"`
	Addr    string       `msgpack:"address"`
	Type    string       `msgpack:"rig"`
	Zone    string       `msgpack:"yard"`
	Spot    bool         `msgpack:"loaners"`
	Session Count        `msgpack:"shift"`
	Seq     Count        `msgpack:"tally"`
	Token   Count        `msgpack:"baton"`
	NoticeS *float64     `msgpack:"recallS"`
	Tasks   []TaskReport `msgpack:"pieces"`
}

// DecodeReport decodes and checks a worker's report.
func DecodeReport(body []byte) (*Report, error) {
	var r Report
	if err := Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Machine == "" || r.Addr == "" || r.Session == 0 {
		return nil, fmt.Errorf("%w: report names no machine, address or session", ErrMalformed)
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if _, _, ok := SplitTask(t.Task); !ok {
			return nil, fmt.Errorf("%w: bad task name", ErrMalformed)
		}
		switch t.State {
		case TaskFetching, TaskWaiting, TaskRunning, TaskSaving, TaskExited:
		default:
			return nil, fmt.Errorf("%w: bad task state", ErrMalformed)
		}
	}
	return &r, nil
}

// TaskName is the name of a job's task on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask takes a task's name apart.
func SplitTask(name string) (job string, index int, ok bool) {
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

// Op is what an order asks of a worker.
type Op string

// The orders.
const (
	OpStart  Op = "start"
	OpStop   Op = "halt"
	OpForget Op = "forget"
)

// Order is one command to a worker.
type Order struct {
	Op      Op       `msgpack:"verb"`
	Task    string   `msgpack:"piece"`
	Attempt Count    `msgpack:"try"`
	GraceS  *float64 `msgpack:"leewayS,omitempty"`
}

// Orders answers a report, or goes to a worker directly with its session.
type Orders struct {
	Token   Count   `msgpack:"baton"`
	Session Count   `msgpack:"shift,omitempty"`
	Orders  []Order `msgpack:"orders"`
}

// Redirect tells a worker which node leads.
type Redirect struct {
	Leader string `msgpack:"foreman,omitempty"`
}
