package main

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"
)

// send sends a user's request to a node, "" for any that accepts a connection.
func (s *site) send(to, method, path string, body []byte, within time.Duration) (string, int, object, bool) {
	order := rand.Perm(len(s.nodes))
	for _, i := range order[:min(3, len(order))] {
		n := s.nodes[i]
		if to != "" {
			n = s.nodes[s.nodeIndex(to)]
		}
		status, answer, ok := request(context.Background(), method, n.public, path, body, within)
		if ok || to != "" || n.alive() {
			return n.name, status, answer, ok
		}
	}
	return "", 0, nil, false
}

// submit submits a job until it is answered for good, for 60 s at most. It reports whether it was accepted.
func (s *site) submit(j *job, to string) bool {
	until := time.Now().Add(60 * time.Second)
	for time.Now().Before(until) && !s.over() {
		if status := s.submitOnce(j, to); status == 200 || status == 201 {
			return true
		} else if status == 400 || status == 422 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

func (s *site) submitOnce(j *job, to string) int {
	s.addJob(j)
	asked := time.Now()
	node, status, answer, ok := s.send(to, "POST", "/work", encode(j.spec), 5*time.Second)
	if !ok {
		s.log("user", "submit", j.id, "at", node, "-> no answer")
		return 0
	}
	s.log("user", "submit", j.id, "at", node, "->", status, answer)
	j.mu.Lock()
	was := j.accepted
	if status == 200 || status == 201 {
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	}
	j.mu.Unlock()
	if !was.IsZero() && asked.After(was) && (status == 400 || status == 422 || status == 404) {
		s.judge.breaks("forgotten", "repeated submission of", j.id, "at", node, "->", status)
	}
	if status == 200 || status == 201 {
		s.told(j, node, asked, text(answer["status"]), "submit")
	}
	return status
}

// poll asks for a job's status.
func (s *site) poll(j *job, to string) (string, bool) {
	asked := time.Now()
	node, status, answer, ok := s.send(to, "GET", "/work/"+j.id, nil, 2*time.Second)
	state := text(answer["status"])
	s.log("user", "show", j.id, "at", node, "->", status, state, answer["done"], answer["running"])
	j.mu.Lock()
	accepted := j.accepted
	if ok && (status == 200 || status == 404) {
		j.failing = time.Time{}
	} else if j.failing.IsZero() {
		j.failing = asked
	}
	j.mu.Unlock()
	if !ok || status != 200 && status != 404 {
		return "", false
	}
	if status == 404 {
		if !accepted.IsZero() && asked.After(accepted) {
			s.judge.breaks("forgotten", j.id, "gets 404 at", node)
		}
		return "404", true
	}
	s.told(j, node, asked, state, "show")
	return state, true
}

// cancelOnce asks once to cancel a job.
func (s *site) cancelOnce(j *job, to string) (string, bool) {
	j.mu.Lock()
	if j.cancelAsked.IsZero() {
		j.cancelAsked = time.Now()
	}
	j.mu.Unlock()
	asked := time.Now()
	node, status, answer, ok := s.send(to, "POST", "/work/"+j.id+"/withdraw", nil, 5*time.Second)
	s.log("user", "withdraw", j.id, "at", node, "->", status, text(answer["status"]))
	j.mu.Lock()
	accepted := j.accepted
	j.mu.Unlock()
	if ok && status == 404 && !accepted.IsZero() && asked.After(accepted) {
		s.judge.breaks("forgotten", "withdraw of", j.id, "gets 404 at", node)
	}
	if !ok || status != 200 {
		return "", false
	}
	s.told(j, node, asked, text(answer["status"]), "withdraw")
	return text(answer["status"]), true
}

// withdraw cancels a job, for 60 s at most.
func (s *site) withdraw(j *job, to string) string {
	until := time.Now().Add(60 * time.Second)
	for time.Now().Before(until) && !s.over() {
		if state, ok := s.cancelOnce(j, to); ok {
			return state
		}
		time.Sleep(time.Second)
	}
	return ""
}

// told checks an answer against what users were told before it was asked for.
func (s *site) told(j *job, node string, asked time.Time, state, by string) {
	now := time.Now()
	j.mu.Lock()
	done, aborted, cancelled := j.toldDone, j.toldAborted, j.cancelAsked
	if state == "done" && j.toldDone.IsZero() {
		j.toldDone = now
	}
	if state == "aborted" && j.toldAborted.IsZero() {
		j.toldAborted = now
	}
	j.mu.Unlock()
	if !done.IsZero() && asked.After(done) && state != "done" {
		s.judge.breaks("went_back", j.id, "told done", now.Sub(done), "ago, now", state, "by", by, "at", node)
	}
	if !aborted.IsZero() && asked.After(aborted) && state != "aborted" {
		s.judge.breaks("went_back", j.id, "told aborted", now.Sub(aborted), "ago, now", state, "by", by, "at", node)
	}
	if state == "done" && !j.allDone() {
		s.judge.breaks("not_done", j.id, "called done at", node)
	}
	if state == "aborted" && cancelled.IsZero() && !s.needsCancelled(j) {
		s.judge.breaks("went_back", j.id, "called aborted though its user did not cancel it, at", node)
	}
}

// needsCancelled reports whether a job that this one needs was asked to be cancelled.
func (s *site) needsCancelled(j *job) bool {
	for _, id := range j.awaits {
		if a := s.job(id); a != nil {
			a.mu.Lock()
			cancelled := !a.cancelAsked.IsZero()
			a.mu.Unlock()
			if cancelled || s.needsCancelled(a) {
				return true
			}
		}
	}
	return false
}

// newJob returns a job that can be submitted.
func (s *site) newJob(id, outfit, shape string, pieces int, cpus, gpus, ram float64, run time.Duration) *job {
	rank := map[string]string{"daemon": "prod", "ensemble": "urgent"}[shape]
	if rank == "" {
		rank = "standard"
	}
	j := &job{
		id: id, outfit: outfit, shape: shape, bundle: "img-" + shape, pieces: pieces, vcpus: cpus, gpus: gpus, ramGb: ram,
		pullGb: 0.1, run: run, done: map[int]bool{}, remain: map[int]time.Duration{}, loaners: shape == "batch",
	}
	guess := run.Seconds()
	if shape == "daemon" {
		guess = 0
	}
	j.spec = object{
		"nameId": id, "jobclass": "class-" + shape, "outfit": outfit, "shape": shape, "rank": rank, "pieces": pieces,
		"vcpus": cpus, "gpus": gpus, "ramGb": ram, "bundle": j.bundle, "pullGb": j.pullGb, "rigs": nil, "yard": nil,
		"oneZone": shape == "ensemble", "scatter": false, "loaners": j.loaners, "guessS": guess,
		"bookmarkS": 0.0, "stashS": 0.0, "dueS": nil,
	}
	j.oneZone = shape == "ensemble"
	return j
}

func (j *job) needs(ids ...string) *job {
	j.awaits, j.spec["awaits"] = ids, ids
	return j
}

func pieceJob(piece string) string { id, _, _ := strings.Cut(piece, "/"); return id }
