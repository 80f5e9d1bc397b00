package controller

import (
	"fmt"
	"sort"
	"sync"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A checker holds what happened against the protocol's rules. It is told of
// every task that is on a machine, of every completion, and of every answer to a
// user with what the user knew when asking.
type checker struct {
	mu             sync.Mutex
	now            func() micro.Time
	cancelLimit    micro.Time
	cpuLimits      map[string]float64 // CPUs of a team
	machineTypes   map[string]wire.MachineType
	jobs           map[string]*jobRecord
	machinesByTask map[string]map[string]string // task: the machines that it is on, with their zones
	tasksByMachine map[string]map[string]bool   // machine: tasks on it
	cpusInUse      map[string]float64
	violations     []string
	reported       map[string]bool
	startCount     int // tasks that began
	lateStartCount int // those that began after their user was told that the job is cancelled
	answerCount    int
}

// jobRecord is what is known of a job.
type jobRecord struct {
	spec            wire.Job
	runTime         micro.Time
	runTimeStep     micro.Time // how much longer each task runs than the one before
	alwaysFails     bool       // fails wherever it runs
	accepted        bool
	cancelRequested bool // its user asked to cancel it
	done            bool
	aborted         bool
	abortReportedAt micro.Time // when the user was told that it is cancelled
	abortReportedBy string     // by which node
	tasksAtAbort    int        // its tasks that were on machines then
	completedTasks  map[int]bool
}

// userKnowledge is what a user knew when asking.
type userKnowledge struct{ accepted, done, aborted bool }

func newChecker(now func() micro.Time, cancel micro.Time) *checker {
	return &checker{
		now: now, cancelLimit: cancel, cpuLimits: map[string]float64{}, machineTypes: map[string]wire.MachineType{},
		jobs: map[string]*jobRecord{}, machinesByTask: map[string]map[string]string{},
		tasksByMachine: map[string]map[string]bool{}, cpusInUse: map[string]float64{}, reported: map[string]bool{},
	}
}

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

// recordSubmission notes a job that a user is about to submit.
func (c *checker) recordSubmission(spec wire.Job, run micro.Time, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.ID] == nil {
		c.jobs[spec.ID] = &jobRecord{spec: spec, runTime: run, alwaysFails: broken, completedTasks: map[int]bool{}}
	}
}

// recordCompletion notes that a task ran to its end.
func (c *checker) recordCompletion(id string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		record.completedTasks[index] = true
	}
}

// observeMachine looks at what is on a machine; its lock is held.
func (c *checker) observeMachine(machine *fakeMachine) {
	tasks := map[string]bool{}
	for key, t := range machine.agent.Tasks {
		if t.State == wire.TaskWaitingForGang || t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing {
			tasks[key.Task] = true
		}
	}
	c.observeTasks(machine.agent.Name, machine.agent.Type, machine.agent.Zone, machine.agent.Spot, tasks)
}

// observeTasks notes the tasks that are on a machine now.
func (c *checker) observeTasks(name, typ, zone string, spot bool, tasks map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.tasksByMachine[name]
	for task := range was {
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
		if !was[task] {
			names = append(names, task)
		}
	}
	sort.Strings(names)
	for _, task := range names {
		c.taskStarted(task, name, typ, zone, spot)
	}
	c.tasksByMachine[name] = tasks
}

func (c *checker) taskStarted(task, machine, typ, zone string, spot bool) {
	c.startCount++
	id, _, ok := wire.ParseTaskName(task)
	record := c.jobs[id]
	if !ok || record == nil {
		c.reportViolation("invented", "%s runs, and nobody submitted it", task)
		return
	}
	for other := range c.machinesByTask[task] {
		c.reportViolation("ran_twice", "%s begins on %s and is on %s", task, machine, other)
	}
	spec := &record.spec
	c.cpusInUse[spec.Team] += spec.CPUs
	if most := c.cpuLimits[spec.Team]; most > 0 && c.cpusInUse[spec.Team] > most+1e-9 {
		c.reportViolation("quota", "%s has %v CPUs with %s, limit %v", spec.Team, c.cpusInUse[spec.Team], task, most)
	}
	for _, need := range spec.Dependencies {
		if n := c.jobs[need]; n == nil || len(n.completedTasks) < n.spec.Tasks {
			c.reportViolation("too_early", "%s begins, %s is not done", task, need)
		}
	}
	allowed := spec.Types == nil
	for _, t := range spec.Types {
		allowed = allowed || t == typ
	}
	if !allowed || spec.Zone != nil && *spec.Zone != zone || spot && !spec.Spot {
		c.reportViolation("wrong_place", "%s on %s, type %s, zone %s, spot %v", task, machine, typ, zone, spot)
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
		c.reportViolation("wrong_place", "%s in zone %s beside tasks in %s", task, zone, elsewhere)
	}
	if spec.Spread && here > (spec.Tasks+1)/2 {
		c.reportViolation("wrong_place", "%s is one of %d in zone %s", task, here, zone)
	}
	if c.machinesByTask[task] == nil {
		c.machinesByTask[task] = map[string]string{}
	}
	c.machinesByTask[task][machine] = zone
	if record.aborted {
		c.lateStartCount++
		if c.now() > record.abortReportedAt+c.cancelLimit {
			c.reportViolation("ran_cancelled", "%s begins on %s", task, machine)
		}
	}
}

// checkCancelled finds tasks of cancelled jobs that are still there.
func (c *checker) checkCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for task, ms := range c.machinesByTask {
		id, _, _ := wire.ParseTaskName(task)
		if record := c.jobs[id]; record != nil && record.aborted && now > record.abortReportedAt+c.cancelLimit {
			for m := range ms {
				c.reportViolation("ran_cancelled", "%s is on %s, its user was told at %.1f s", task, m, record.abortReportedAt.Seconds())
			}
		}
	}
}

// knowledgeOf is what a user knows of a job when asking.
func (c *checker) knowledgeOf(id string) userKnowledge {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[id]; record != nil {
		return userKnowledge{record.accepted, record.done, record.aborted}
	}
	return userKnowledge{}
}

// requestCancel notes that the user asks to cancel a job.
func (c *checker) requestCancel(id string) {
	c.mu.Lock()
	c.jobs[id].cancelRequested = true
	c.mu.Unlock()
}

// cancellationRequested reports whether a user asked to cancel a job, or one that it awaits.
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

// checkAnswer holds an answer of a node against what the user knew.
func (c *checker) checkAnswer(id, by string, knowledge userKnowledge, reply httpapi.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answerCount++
	record := c.jobs[id]
	switch {
	case reply.Status == 404 && knowledge.accepted:
		c.reportViolation("forgotten", "%s is unknown to %s", id, by)
		return
	case (reply.Status == 400 || reply.Status == 422) && knowledge.accepted:
		c.reportViolation("forgotten", "a repeat of %s got %d from %s", id, reply.Status, by)
		return
	case (reply.Status == 503 || reply.Status == 429) && reply.RetryAfter == 0:
		c.reportViolation("retry_after", "%d without a time from %s", reply.Status, by)
		return
	case reply.Status != 200 && reply.Status != 201:
		return
	}
	if record == nil {
		c.reportViolation("invented", "%s was never submitted, %s knows it", id, by)
		return
	}
	status, ok := reply.Body.(wire.JobStatus)
	if !ok {
		c.reportViolation("no status", "%s answers %+v for %s", by, reply, id)
		return
	}
	record.accepted = true
	if knowledge.done && status.State != wire.JobDone || knowledge.aborted && status.State != wire.JobAborted ||
		reply.Status == 201 && (knowledge.done || knowledge.aborted) {
		c.reportViolation("went_back", "%s was over (%+v), %s says %d %s", id, knowledge, by, reply.Status, status.State)
	}
	switch status.State {
	case wire.JobDone:
		if len(record.completedTasks) < record.spec.Tasks {
			c.reportViolation(
				"not_done", "%s is called done by %s with %d of %d tasks", id, by, len(record.completedTasks), record.spec.Tasks,
			)
		}
		record.done = true
	case wire.JobAborted:
		if !c.cancellationRequested(record) {
			c.reportViolation("went_back", "%s is called cancelled by %s, and nobody asked for it", id, by)
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
		c.reportViolation("went_back", "%s was called done and cancelled", id)
	}
}
