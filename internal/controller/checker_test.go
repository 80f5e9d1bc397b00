package controller

import (
	"fmt"
	"sort"
	"sync"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// checker verifies the events of a simulation against the rules of the protocol. It is
// notified of the tasks on each machine, of every completed task, and of every reply to
// a user, together with what the user knew when sending the request.
type checker struct {
	mu             sync.Mutex
	now            func() micro.Time
	cancelLimit    micro.Time         // for which tasks may stay on machines after a confirmed cancellation
	cpuLimits      map[string]float64 // by team
	machineTypes   map[string]wire.MachineType
	jobs           map[string]*jobRecord
	machinesByTask map[string]map[string]string // by task: the zones of its machines, by machine
	tasksByMachine map[string]map[string]bool   // by machine: the tasks on it
	cpusInUse      map[string]float64           // by team
	violations     []string
	reported       map[string]bool // violations that were reported, so that each is listed once
	startCount     int             // task starts
	lateStartCount int             // task starts after a reply told the user that the job is cancelled
	answerCount    int
}

// jobRecord holds the description of a job, what replies have told its user, and its completed tasks.
type jobRecord struct {
	spec            wire.Job
	runTime         micro.Time
	runTimeStep     micro.Time // increase of the run time from one task index to the next
	alwaysFails     bool       // its tasks fail on every machine
	accepted        bool       // a reply reported the job as accepted
	cancelRequested bool       // the user requested its cancellation
	done            bool       // a reply reported the job as done
	aborted         bool       // a reply reported the job as cancelled
	abortReportedAt micro.Time // when the first such reply arrived
	abortReportedBy string     // name of the controller that sent it
	tasksAtAbort    int        // number of its tasks on machines at that time
	completedTasks  map[int]bool
}

// userKnowledge holds what earlier replies had told the user about a job when a request was sent.
type userKnowledge struct{ accepted, done, aborted bool }

// newChecker returns a checker. Tasks of a job may stay on machines for cancelLimit after its cancellation is
// confirmed to the user.
func newChecker(now func() micro.Time, cancelLimit micro.Time) *checker {
	return &checker{
		now: now, cancelLimit: cancelLimit, cpuLimits: map[string]float64{},
		machineTypes: map[string]wire.MachineType{},
		jobs:         map[string]*jobRecord{}, machinesByTask: map[string]map[string]string{},
		tasksByMachine: map[string]map[string]bool{}, cpusInUse: map[string]float64{}, reported: map[string]bool{},
	}
}

// reportViolation records a violation of a rule, once for each distinct message; the caller holds the lock.
func (c *checker) reportViolation(rule, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if key := rule + " " + what; !c.reported[key] {
		c.reported[key] = true
		c.violations = append(c.violations, fmt.Sprintf("%.1f s: %s: %s", c.now().Seconds(), rule, what))
	}
}

func (c *checker) jobNamed(id string) *jobRecord { c.mu.Lock(); defer c.mu.Unlock(); return c.jobs[id] }

func (c *checker) spec(id string) (wire.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		return record.spec, true
	}
	return wire.Job{}, false
}

// recordSubmission records a job before its user submits it; alwaysFails makes its tasks fail on every machine.
func (c *checker) recordSubmission(spec wire.Job, runTime micro.Time, alwaysFails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.ID] == nil {
		c.jobs[spec.ID] = &jobRecord{
			spec: spec, runTime: runTime, alwaysFails: alwaysFails, completedTasks: map[int]bool{},
		}
	}
}

// recordCompletion records that a task completed.
func (c *checker) recordCompletion(id string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		record.completedTasks[index] = true
	}
}

// observeMachine records the active tasks of a machine; the caller holds the lock of the machine.
func (c *checker) observeMachine(machine *fakeMachine) {
	tasks := map[string]bool{}
	for key, t := range machine.agent.Tasks {
		if t.State == wire.TaskWaitingForGang || t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing {
			tasks[key.Task] = true
		}
	}
	c.observeTasks(machine.agent.Name, machine.agent.Type, machine.agent.Zone, machine.agent.Spot, tasks)
}

// observeTasks records the set of tasks that are on a machine now, and checks the rules for each one that is new.
func (c *checker) observeTasks(name, typ, zone string, spot bool, tasks map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.tasksByMachine[name]
	for task := range previous {
		if !tasks[task] {
			id, _, _ := wire.ParseTaskName(task)
			delete(c.machinesByTask[task], name)
			if record := c.jobs[id]; record != nil {
				c.cpusInUse[record.spec.Team] -= record.spec.CPUs
			}
		}
	}
	names := make([]string, 0, len(tasks))
	for task := range tasks {
		if !previous[task] {
			names = append(names, task)
		}
	}
	sort.Strings(names)
	for _, task := range names {
		c.taskStarted(task, name, typ, zone, spot)
	}
	c.tasksByMachine[name] = tasks
}

// taskStarted checks the rules that hold when a task starts on a machine; the caller holds the lock.
func (c *checker) taskStarted(task, machine, typ, zone string, spot bool) {
	c.startCount++
	id, _, ok := wire.ParseTaskName(task)
	record := c.jobs[id]
	if !ok || record == nil {
		c.reportViolation("invented", "task %s started, but its job was not submitted", task)
		return
	}
	for other := range c.machinesByTask[task] {
		c.reportViolation("ran_twice", "task %s started on %s while it is on %s", task, machine, other)
	}
	spec := &record.spec
	c.cpusInUse[spec.Team] += spec.CPUs
	if limit := c.cpuLimits[spec.Team]; limit > 0 && c.cpusInUse[spec.Team] > limit+1e-9 {
		c.reportViolation(
			"quota", "team %s uses %v CPUs after the start of %s, limit %v", spec.Team, c.cpusInUse[spec.Team], task, limit,
		)
	}
	for _, dependency := range spec.Dependencies {
		if d := c.jobs[dependency]; d == nil || len(d.completedTasks) < d.spec.Tasks {
			c.reportViolation("too_early", "task %s started before its dependency %s was done", task, dependency)
		}
	}
	allowed := spec.Types == nil
	for _, t := range spec.Types {
		allowed = allowed || t == typ
	}
	if !allowed || spec.Zone != nil && *spec.Zone != zone || spot && !spec.Spot {
		c.reportViolation(
			"wrong_place", "task %s started on %s of type %s, zone %s, spot %v", task, machine, typ, zone, spot,
		)
	}
	here, elsewhere := 1, ""
	for t, machines := range c.machinesByTask {
		if other, _, _ := wire.ParseTaskName(t); other == id && t != task {
			for _, z := range machines {
				if z == zone {
					here++
				} else {
					elsewhere = z
				}
			}
		}
	}
	if spec.OneZone && elsewhere != "" {
		c.reportViolation(
			"wrong_place", "task %s of a single-zone job started in zone %s, another task is in %s", task, zone, elsewhere,
		)
	}
	if spec.Spread && here > (spec.Tasks+1)/2 {
		c.reportViolation("wrong_place", "task %s is one of %d tasks of a spread job in zone %s", task, here, zone)
	}
	if c.machinesByTask[task] == nil {
		c.machinesByTask[task] = map[string]string{}
	}
	c.machinesByTask[task][machine] = zone
	if record.aborted {
		c.lateStartCount++
		if c.now() > record.abortReportedAt+c.cancelLimit {
			c.reportViolation("ran_cancelled", "task %s of a cancelled job started on %s", task, machine)
		}
	}
}

// checkCancelled reports tasks of cancelled jobs that are still on a machine after cancelLimit.
func (c *checker) checkCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for task, machines := range c.machinesByTask {
		id, _, _ := wire.ParseTaskName(task)
		if record := c.jobs[id]; record != nil && record.aborted && now > record.abortReportedAt+c.cancelLimit {
			for machine := range machines {
				c.reportViolation(
					"ran_cancelled", "task %s is on %s, the cancellation was confirmed at %.1f s", task, machine,
					record.abortReportedAt.Seconds(),
				)
			}
		}
	}
}

// knowledgeOf returns what earlier replies told the user about a job.
func (c *checker) knowledgeOf(id string) userKnowledge {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		return userKnowledge{record.accepted, record.done, record.aborted}
	}
	return userKnowledge{}
}

// requestCancel records that the user requests the cancellation of a job.
func (c *checker) requestCancel(id string) {
	c.mu.Lock()
	c.jobs[id].cancelRequested = true
	c.mu.Unlock()
}

// cancellationRequested reports whether a user requested the cancellation of a job or of one of its
// direct or indirect dependencies; the caller holds the lock.
func (c *checker) cancellationRequested(record *jobRecord) bool {
	if record.cancelRequested {
		return true
	}
	for _, id := range record.spec.Dependencies {
		if n := c.jobs[id]; n != nil && c.cancellationRequested(n) {
			return true
		}
	}
	return false
}

// checkAnswer checks the reply of a controller about a job against the user's knowledge at the time of the request.
func (c *checker) checkAnswer(id, by string, knowledge userKnowledge, reply httpapi.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerCount++
	record := c.jobs[id]
	switch {
	case reply.Status == 404 && knowledge.accepted:
		c.reportViolation("forgotten", "accepted job %s is unknown to %s", id, by)
		return
	case (reply.Status == 400 || reply.Status == 422) && knowledge.accepted:
		c.reportViolation("forgotten", "the repeated submission of %s got status %d from %s", id, reply.Status, by)
		return
	case (reply.Status == 503 || reply.Status == 429) && reply.RetryAfter == 0:
		c.reportViolation("retry_after", "status %d without a retry time from %s", reply.Status, by)
		return
	case reply.Status != 200 && reply.Status != 201:
		return
	}
	if record == nil {
		c.reportViolation("invented", "job %s was never submitted, but %s returned its status", id, by)
		return
	}
	status, ok := reply.Body.(wire.JobStatus)
	if !ok {
		c.reportViolation("no status", "%s replied %+v for job %s", by, reply, id)
		return
	}
	record.accepted = true
	if knowledge.done && status.State != wire.JobDone || knowledge.aborted && status.State != wire.JobAborted ||
		reply.Status == 201 && (knowledge.done || knowledge.aborted) {
		c.reportViolation(
			"went_back", "job %s had ended (%+v), %s replied status %d, state %s", id, knowledge, by, reply.Status,
			status.State,
		)
	}
	switch status.State {
	case wire.JobDone:
		if len(record.completedTasks) < record.spec.Tasks {
			c.reportViolation(
				"not_done", "job %s reported as done by %s after %d of %d tasks", id, by, len(record.completedTasks),
				record.spec.Tasks,
			)
		}
		record.done = true
	case wire.JobAborted:
		if !c.cancellationRequested(record) {
			c.reportViolation("went_back", "job %s reported as cancelled by %s without a request", id, by)
		}
		if !record.aborted {
			record.aborted, record.abortReportedAt, record.abortReportedBy = true, c.now(), by
			for task, machines := range c.machinesByTask {
				if of, _, _ := wire.ParseTaskName(task); of == id {
					record.tasksAtAbort += len(machines)
				}
			}
		}
	}
	if record.done && record.aborted {
		c.reportViolation("went_back", "job %s reported as done and as cancelled", id)
	}
}
