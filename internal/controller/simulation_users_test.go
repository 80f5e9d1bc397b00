package controller

import (
	"fmt"
	"time"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// jobRequest is a job as a user wants it.
type jobRequest struct {
	kind         wire.JobKind
	tasks        int
	runTime      micro.Time
	runTimeStep  micro.Time // each task of an array runs so much longer than the one before
	cpus         float64
	team         string
	priority     wire.Priority
	spread       bool
	oneZone      bool
	spot         bool
	zone         string
	alwaysFails  bool
	dependencies []string // ids of jobs that must be done before
}

func (o jobRequest) body(id string) []byte {
	m := map[string]any{
		"nameId": id, "jobclass": "c", "outfit": o.team, "shape": string(o.kind), "rank": string(o.priority),
		"pieces": o.tasks, "vcpus": o.cpus, "gpus": 0, "ramGb": 1, "bundle": "i", "pullGb": 1,
		"oneZone": o.oneZone, "scatter": o.spread, "loaners": o.spot,
		"guessS": (o.runTime + micro.Time(o.tasks-1)*o.runTimeStep).Seconds(), "bookmarkS": 0, "stashS": 0,
	}
	if o.kind == wire.Service {
		m["guessS"] = 0
	}
	if o.zone != "" {
		m["yard"] = o.zone
	}
	if o.dependencies != nil {
		m["awaits"] = o.dependencies
	}
	return wire.MustMarshal(m)
}

// userJob is a submission by its user, who keeps to the protocol.
type userJob struct {
	sim  *simCluster
	id   string
	body []byte
}

// newJob makes a job that nobody has submitted yet.
func (w *simCluster) newJob(request jobRequest) *userJob {
	if request.cpus == 0 {
		request.cpus = 1
	}
	if request.team == "" {
		request.team = "team"
	}
	if request.priority == "" {
		request.priority = wire.Normal
	}
	w.mu.Lock()
	w.jobCount++
	id := fmt.Sprintf("j-%04d", w.jobCount)
	w.mu.Unlock()
	body := request.body(id)
	spec, err := wire.DecodeJob(body)
	if err != nil {
		w.t.Fatal(err)
	}
	w.checker.recordSubmission(*spec, request.runTime, request.alwaysFails)
	w.checker.jobNamed(id).runTimeStep = request.runTimeStep
	return &userJob{w, id, body}
}

// randomUserNode draws a node that takes users, nil if there is none.
func (w *simCluster) randomUserNode() *controllerProcess {
	for range 8 {
		if controller := w.controllers[w.randomInt(len(w.controllers))]; controller.isAlive() &&
			!controller.partitionedFrom("users") {
			return controller
		}
	}
	return nil
}

// request sends one request to one node.
func (j *userJob) request(
	controller *controllerProcess, wait time.Duration, ask func(*Node) httpapi.Reply,
) httpapi.Reply {
	if controller == nil {
		return httpapi.Reply{}
	}
	knowledge := j.sim.checker.knowledgeOf(j.id)
	r, ok := j.sim.callNode(controller, "users", wait, ask)
	if !ok {
		return httpapi.Reply{}
	}
	j.sim.checker.checkAnswer(j.id, controller.name, knowledge, r)
	return r
}

func (j *userJob) submitOnce(controller *controllerProcess) httpapi.Reply {
	return j.request(controller, 5*time.Second, func(n *Node) httpapi.Reply { return n.Submit(j.body) })
}

func (j *userJob) queryStatus(controller *controllerProcess) httpapi.Reply {
	return j.request(controller, 2*time.Second, func(n *Node) httpapi.Reply { return n.Status(j.id) })
}

func (j *userJob) cancelOnce(controller *controllerProcess) httpapi.Reply {
	j.sim.checker.requestCancel(j.id)
	return j.request(controller, 5*time.Second, func(n *Node) httpapi.Reply { return n.Cancel(j.id) })
}

// state is what the answer says, "" if it says nothing.
func replyState(r httpapi.Reply) wire.JobState {
	if s, ok := r.Body.(wire.JobStatus); ok && (r.Status == 200 || r.Status == 201) {
		return s.State
	}
	return ""
}

// submit goes on until the job is accepted.
func (j *userJob) submit() *userJob {
	for j.sim.ctx.Err() == nil {
		if r := j.submitOnce(j.sim.randomUserNode()); r.Status == 200 || r.Status == 201 {
			break
		}
		time.Sleep(time.Second)
	}
	return j
}

// cancel goes on until the user is told.
func (j *userJob) cancel() wire.JobState {
	for j.sim.ctx.Err() == nil {
		if s := replyState(j.cancelOnce(j.sim.randomUserNode())); s.Final() {
			return s
		}
		time.Sleep(time.Second)
	}
	return ""
}

// watchUntilFinal polls until the job is over.
func (j *userJob) watchUntilFinal() {
	for j.sim.ctx.Err() == nil {
		if replyState(j.queryStatus(j.sim.randomUserNode())).Final() {
			return
		}
		time.Sleep(j.sim.randomDuration(3*micro.Second, 6*micro.Second))
	}
}

// queryRapidly asks all nodes, again and again within milliseconds, and repeats the
// submission.
func (j *userJob) queryRapidly() {
	for range 3 {
		for _, controller := range j.sim.controllers {
			go j.queryStatus(controller)
			go j.submitOnce(controller)
		}
		time.Sleep(j.sim.randomDuration(micro.Millisecond, 20*micro.Millisecond))
	}
}

// runningTasks is how many tasks of the job are on machines.
func (j *userJob) runningTasks() int {
	checker := j.sim.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	n := 0
	for task, ms := range checker.machinesByTask {
		if id, _, _ := wire.ParseTaskName(task); id == j.id {
			n += len(ms)
		}
	}
	return n
}

// machines lists the machines that tasks of the job are on.
func (j *userJob) machines() []*fakeMachine {
	checker := j.sim.checker
	checker.mu.Lock()
	names := map[string]bool{}
	for task, machines := range checker.machinesByTask {
		if id, _, _ := wire.ParseTaskName(task); id == j.id {
			for m := range machines {
				names[m] = true
			}
		}
	}
	checker.mu.Unlock()
	var out []*fakeMachine
	for _, machine := range j.sim.liveMachines() {
		if names[machine.agent.Name] {
			out = append(out, machine)
		}
	}
	return out
}

// tasksRunningFor lists the tasks of a job that have run for so long.
func (w *simCluster) tasksRunningFor(job *userJob, d micro.Time) []string {
	var out []string
	for _, machine := range w.liveMachines() {
		machine.mu.Lock()
		for key, t := range machine.agent.Tasks {
			if id, _, _ := wire.ParseTaskName(key.Task); id == job.id && t.State == wire.TaskRunning &&
				w.now()-machine.stateSince[key] >= d {
				out = append(out, key.Task)
			}
		}
		machine.mu.Unlock()
	}
	return out
}

// startCount is how many starts of its tasks took effect so far.
func (j *userJob) startCount() int {
	j.sim.mu.Lock()
	var all []*fakeMachine
	for _, machine := range j.sim.machines {
		all = append(all, machine)
	}
	j.sim.mu.Unlock()
	n := 0
	for _, machine := range all {
		machine.mu.Lock()
		for _, task := range machine.agent.StartedTasks {
			if id, _, _ := wire.ParseTaskName(task); id == j.id {
				n++
			}
		}
		machine.mu.Unlock()
	}
	return n
}

// abortReport is when the user was told that the job is cancelled, by which node, and
// how many of its tasks were on machines then; false: not yet.
func (j *userJob) abortReport() (at micro.Time, by string, left int, ok bool) {
	checker := j.sim.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	x := checker.jobs[j.id]
	return x.abortReportedAt, x.abortReportedBy, x.tasksAtAbort, x.aborted
}

// knowledge what the user was told so far.
func (j *userJob) knowledge() userKnowledge { return j.sim.checker.knowledgeOf(j.id) }

// satisfied reports whether a job has got what it is owed: it is over, or a service
// that runs in full, or fails wherever it runs.
func (j *userJob) satisfied() bool {
	s, jd := j.knowledge(), j.sim.checker.jobNamed(j.id)
	return s.done || s.aborted || jd.alwaysFails || jd.spec.Kind == wire.Service && j.runningTasks() == jd.spec.Tasks
}
