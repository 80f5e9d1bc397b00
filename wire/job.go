package wire

import (
	"fmt"
	"strings"
)

// JobKind is the kind of a job.
type JobKind string

// The kinds of job.
const (
	JobArray JobKind = "batch"
	Gang     JobKind = "ensemble"
	Service  JobKind = "daemon"
)

// Priority is the priority of a job for scheduling and preemption.
type Priority string

// The priorities, highest first.
const (
	Production Priority = "prod"
	High       Priority = "urgent"
	Normal     Priority = "standard"
	Low        Priority = "idle"
)

// Level returns the position of the priority in descending order, from 0 for the highest to 3 for the lowest.
func (p Priority) Level() int {
	switch p {
	case Production:
		return 0
	case High:
		return 1
	case Normal:
		return 2
	}
	return 3
}

// JobState is the state of a job that users see.
type JobState string

// The states of a job.
const (
	JobPending JobState = "pending"
	JobRunning JobState = "running"
	JobDone    JobState = "done"
	JobAborted JobState = "aborted"
)

// Final reports whether the state can no longer change.
func (s JobState) Final() bool { return s == JobDone || s == JobAborted }

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Job is a job as submitted by a user, and as stored.
type Job struct {
	ID                  string   `msgpack:"nameId" json:"nameId"`
	Class               string   `msgpack:"jobclass" json:"jobclass"`
	Team                string   `msgpack:"outfit" json:"outfit"`
	Kind                JobKind  `msgpack:"shape" json:"shape"`
	Priority            Priority `msgpack:"rank" json:"rank"`
	Tasks               int      `msgpack:"pieces" json:"pieces"`
	CPUs                float64  `msgpack:"vcpus" json:"vcpus"`
	GPUs                float64  `msgpack:"gpus" json:"gpus"`
	MemoryGB            float64  `msgpack:"ramGb" json:"ramGb"`
	Image               string   `msgpack:"bundle" json:"bundle"`
	ImageGB             float64  `msgpack:"pullGb" json:"pullGb"`
	Types               []string `msgpack:"rigs" json:"rigs"`
	Zone                *string  `msgpack:"yard" json:"yard"`
	OneZone             bool     `msgpack:"oneZone" json:"oneZone"`
	Spread              bool     `msgpack:"scatter" json:"scatter"`
	Spot                bool     `msgpack:"loaners" json:"loaners"`
	EstimateS           float64  `msgpack:"guessS" json:"guessS"`
	CheckpointIntervalS float64  `msgpack:"bookmarkS" json:"bookmarkS"`
	CheckpointDurationS float64  `msgpack:"stashS" json:"stashS"`
	DeadlineS           *float64 `msgpack:"dueS" json:"dueS"`
	// Dependencies holds the IDs of the jobs that must be done before any task starts.
	Dependencies []string `msgpack:"awaits,omitempty" json:"awaits,omitempty"`
	// DependencyChunks is the number of further keys that hold more dependencies. It is only used in the store.
	DependencyChunks int `msgpack:"awaitsIn,omitempty" json:"awaitsIn,omitempty"`
	// SubmittedAt is the wall-clock time of the submission in microseconds since the Unix epoch. It is only used in
	// the store.
	SubmittedAt int64 `msgpack:"at,omitempty" json:"at,omitempty"`
}

// JobStatus is the response to a submission, a status query or a cancellation.
type JobStatus struct {
	ID           string   `msgpack:"nameId" json:"nameId"`
	State        JobState `msgpack:"status" json:"status"`
	Done         int      `msgpack:"done" json:"done"`
	Running      int      `msgpack:"running" json:"running"`
	Dependencies []string `msgpack:"awaits,omitempty" json:"awaits,omitempty"` // some of those not done yet
}

// ValidJobID reports whether id is a valid job ID: "j-" followed by 1 to 40 digits.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "j-")
	if !ok || len(digits) == 0 || len(digits) > 40 {
		return false
	}
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return true
}

// DecodeJob decodes and validates a submission. Every error wraps ErrMalformed and results in HTTP status 400.
func DecodeJob(body []byte) (*Job, error) {
	if len(body) > MaxBody {
		return nil, fmt.Errorf("%w: over %d bytes", ErrMalformed, MaxBody)
	}
	var values map[string]any
	if err := Unmarshal(body, &values); err != nil {
		return nil, err
	}
	if values == nil {
		return nil, ErrMalformed
	}
	reader := &fieldReader{values: values}
	job := &Job{
		ID:                  reader.text("nameId"),
		Class:               reader.text("jobclass"),
		Team:                reader.text("outfit"),
		Kind:                JobKind(reader.text("shape")),
		Priority:            Priority(reader.text("rank")),
		CPUs:                reader.amount("vcpus"),
		GPUs:                reader.amount("gpus"),
		MemoryGB:            reader.amount("ramGb"),
		Image:               reader.text("bundle"),
		ImageGB:             reader.amount("pullGb"),
		OneZone:             reader.flag("oneZone"),
		Spread:              reader.flag("scatter"),
		Spot:                reader.flag("loaners"),
		EstimateS:           reader.amount("guessS"),
		CheckpointIntervalS: reader.amount("bookmarkS"),
		CheckpointDurationS: reader.amount("stashS"),
		Tasks:               reader.taskCount("pieces"),
		Types:               reader.optionalTexts("rigs"),
		Zone:                reader.optionalText("yard"),
		DeadlineS:           reader.optionalAmount("dueS"),
		Dependencies:        reader.optionalJobIDs("awaits"),
	}
	reader.checkIdentifiers(job)
	if reader.firstInvalid != "" {
		return nil, fmt.Errorf("%w: field %q is missing or invalid", ErrMalformed, reader.firstInvalid)
	}
	return job, nil
}

// checkIdentifiers marks the job's ID, kind and priority as invalid if they are.
func (f *fieldReader) checkIdentifiers(job *Job) {
	if !ValidJobID(job.ID) {
		f.fail("nameId")
	}
	switch job.Kind {
	case JobArray, Gang, Service:
	default:
		f.fail("shape")
	}
	switch job.Priority {
	case Production, High, Normal, Low:
	default:
		f.fail("rank")
	}
}

// fieldReader reads typed fields of a submission and records the first one that is missing or invalid.
type fieldReader struct {
	values       map[string]any
	firstInvalid string // name of the first missing or invalid field; "": none
}

// fail records a field as missing or invalid.
func (f *fieldReader) fail(name string) {
	if f.firstInvalid == "" {
		f.firstInvalid = name
	}
}

func (f *fieldReader) text(name string) string {
	value, ok := f.values[name].(string)
	if !ok {
		f.fail(name)
	}
	return value
}

func (f *fieldReader) amount(name string) float64 {
	value, ok := asAmount(f.values[name])
	if !ok {
		f.fail(name)
	}
	return value
}

func (f *fieldReader) flag(name string) bool {
	value, ok := f.values[name].(bool)
	if !ok {
		f.fail(name)
	}
	return value
}

func (f *fieldReader) taskCount(name string) int {
	count, ok := asCount(f.values[name])
	if !ok || count < 1 || count > MaxTasks {
		f.fail(name)
	}
	return int(count)
}

func (f *fieldReader) optionalText(name string) *string {
	if f.values[name] == nil {
		return nil
	}
	value := f.text(name)
	return &value
}

func (f *fieldReader) optionalAmount(name string) *float64 {
	if f.values[name] == nil {
		return nil
	}
	value := f.amount(name)
	return &value
}

// optionalList returns nil if the field is missing or is not a list; the latter is recorded as invalid.
func (f *fieldReader) optionalList(name string) []any {
	value := f.values[name]
	if value == nil {
		return nil
	}
	list, ok := value.([]any)
	if !ok {
		f.fail(name)
	}
	return list
}

func (f *fieldReader) optionalTexts(name string) []string {
	if f.values[name] == nil {
		return nil
	}
	list := f.optionalList(name)
	texts := make([]string, 0, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok {
			f.fail(name)
		}
		texts = append(texts, text)
	}
	return texts
}

// optionalJobIDs returns the job IDs in a list without duplicates.
func (f *fieldReader) optionalJobIDs(name string) []string {
	var ids []string
	list := f.optionalList(name)
	seen := make(map[string]bool, len(list))
	for _, item := range list {
		id, ok := item.(string)
		if !ok || !ValidJobID(id) {
			f.fail(name)
			break
		}
		if !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}
