package controller

import (
	"fmt"
	"time"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// jobRequest holds the properties of a job that a user submits.
type jobRequest struct {
	kind         wire.JobKind
	tasks        int
	runTime      micro.Time
	runTimeStep  micro.Time // increase of the run time from one task index of an array to the next
	cpus         float64
	team         string
	priority     wire.Priority
	spread       bool
	oneZone      bool
	spot         bool
	zone         string
	alwaysFails  bool
	dependencies []string // IDs of jobs that must be done before it starts
}

// body returns the body of the submission.
func (r jobRequest) body(id string) []byte {
	fields := map[string]any{
		"nameId": id, "jobclass": "c", "outfit": r.team, "shape": string(r.kind), "rank": string(r.priority),
		"pieces": r.tasks, "vcpus": r.cpus, "gpus": 0, "ramGb": 1, "bundle": "i", "pullGb": 1,
		"oneZone": r.oneZone, "scatter": r.spread, "loaners": r.spot,
		"guessS": (r.runTime + micro.Time(r.tasks-1)*r.runTimeStep).Seconds(), "bookmarkS": 0, "stashS": 0,
	}
	if r.kind == wire.Service {
		fields["guessS"] = 0
	}
	if r.zone != "" {
		fields["yard"] = r.zone
	}
	if r.dependencies != nil {
		fields["awaits"] = r.dependencies
	}
	return wire.MustMarshal(fields)
}

// userJob is a job with its user, who follows the protocol: requests are repeated until they are answered.
type userJob struct {
	sim  *simCluster
	id   string
	body []byte
}

// newJob returns a job that is not submitted yet. By default it has one CPU per task, team "team" and normal priority.
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

// randomUserNode draws a running controller that users can reach, or returns nil if eight draws find none.
func (w *simCluster) randomUserNode() *controllerProcess {
	for range 8 {
		if controller := w.controllers[w.randomInt(len(w.controllers))]; controller.isAlive() &&
			!controller.partitionedFrom("users") {
			return controller
		}
	}
	return nil
}

// request sends one request to one controller and passes the reply to the checker. It returns an empty reply
// if none arrives within the timeout.
func (j *userJob) request(
	controller *controllerProcess, timeout time.Duration, call func(*Node) httpapi.Reply,
) httpapi.Reply {
	if controller == nil {
		return httpapi.Reply{}
	}
	knowledge := j.sim.checker.knowledgeOf(j.id)
	r, ok := j.sim.callNode(controller, "users", timeout, call)
	if !ok {
		return httpapi.Reply{}
	}
	j.sim.checker.checkAnswer(j.id, controller.name, knowledge, r)
	return r
}

// submitOnce sends one submission, without a retry.
func (j *userJob) submitOnce(controller *controllerProcess) httpapi.Reply {
	return j.request(controller, 5*time.Second, func(n *Node) httpapi.Reply { return n.Submit(j.body) })
}

func (j *userJob) queryStatus(controller *controllerProcess) httpapi.Reply {
	return j.request(controller, 2*time.Second, func(n *Node) httpapi.Reply { return n.Status(j.id) })
}

// cancelOnce sends one cancellation request, without a retry.
func (j *userJob) cancelOnce(controller *controllerProcess) httpapi.Reply {
	j.sim.checker.requestCancel(j.id)
	return j.request(controller, 5*time.Second, func(n *Node) httpapi.Reply { return n.Cancel(j.id) })
}

// replyState returns the job state in a successful reply, or "" for any other reply.
func replyState(r httpapi.Reply) wire.JobState {
	if s, ok := r.Body.(wire.JobStatus); ok && (r.Status == 200 || r.Status == 201) {
		return s.State
	}
	return ""
}

// submit repeats the submission every second until the job is accepted.
func (j *userJob) submit() *userJob {
	for j.sim.ctx.Err() == nil {
		if r := j.submitOnce(j.sim.randomUserNode()); r.Status == 200 || r.Status == 201 {
			break
		}
		time.Sleep(time.Second)
	}
	return j
}

// cancel repeats the cancellation every second until a reply reports a final state, and returns the state.
func (j *userJob) cancel() wire.JobState {
	for j.sim.ctx.Err() == nil {
		if s := replyState(j.cancelOnce(j.sim.randomUserNode())); s.Final() {
			return s
		}
		time.Sleep(time.Second)
	}
	return ""
}

// watchUntilFinal queries the status every 3 to 6 s until a reply reports a final state.
func (j *userJob) watchUntilFinal() {
	for j.sim.ctx.Err() == nil {
		if replyState(j.queryStatus(j.sim.randomUserNode())).Final() {
			return
		}
		time.Sleep(j.sim.randomDuration(3*micro.Second, 6*micro.Second))
	}
}

// queryRapidly sends status queries and repeated submissions to all controllers, three times within
// milliseconds.
func (j *userJob) queryRapidly() {
	for range 3 {
		for _, controller := range j.sim.controllers {
			go j.queryStatus(controller)
			go j.submitOnce(controller)
		}
		time.Sleep(j.sim.randomDuration(micro.Millisecond, 20*micro.Millisecond))
	}
}

// runningTasks returns the number of tasks of the job on machines.
func (j *userJob) runningTasks() int {
	checker := j.sim.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	n := 0
	for task, machines := range checker.machinesByTask {
		if id, _, _ := wire.ParseTaskName(task); id == j.id {
			n += len(machines)
		}
	}
	return n
}

// machines returns the live machines that tasks of the job are on.
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

// tasksRunningFor returns the names of the tasks of a job that have been running for at least d.
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

// startCount returns the number of starts of its tasks that took effect so far.
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

// abortReport returns when the first reply told the user that the job is cancelled, which controller sent it,
// and the number of its tasks on machines at that time; ok is false before such a reply.
func (j *userJob) abortReport() (at micro.Time, by string, tasks int, ok bool) {
	checker := j.sim.checker
	checker.mu.Lock()
	defer checker.mu.Unlock()
	record := checker.jobs[j.id]
	return record.abortReportedAt, record.abortReportedBy, record.tasksAtAbort, record.aborted
}

// knowledge returns what replies have told the user so far.
func (j *userJob) knowledge() userKnowledge { return j.sim.checker.knowledgeOf(j.id) }

// satisfied reports whether nothing remains to be done for the job: it has ended, or is a service
// whose tasks all run, or its tasks fail on every machine.
func (j *userJob) satisfied() bool {
	known, record := j.knowledge(), j.sim.checker.jobNamed(j.id)
	return known.done || known.aborted || record.alwaysFails ||
		record.spec.Kind == wire.Service && j.runningTasks() == record.spec.Tasks
}
