package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["1"] = pipelinesCalledOff }

// inkwellTeams are the teams of the site file.
func inkwellTeams() map[string]team {
	return map[string]team{
		"platform-crew": {0, 0, 8, 16}, "client-api": {0, 0, 8, 32}, "ml-lab": {0, 0, 8, 40},
		"batch-desk": {0, 0, 8, 12}, "search-squad": {0, 0, 8, 16},
	}
}

// waitFor waits until a condition holds, and reports whether it did in time.
func waitFor(within time.Duration, holds func() bool) bool {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		if holds() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// pipelinesCalledOff: while connections between controllers are refused, a user calls off waiting pipelines of two
// jobs, first all first jobs and then all second ones, and looks at the second jobs at several nodes.
func pipelinesCalledOff(folder string) int {
	const pipelines = 30
	s := newSite(folder, inkwellTeams(), []rig{{
		label: "werk-node", vcpus: 8, ramGb: 16, price: 0.33, spotPrice: 0.1, startupS: 30, bootS: 30,
		yards: []string{"cape-rack", "gauteng-rack"}, room: 1,
	}})
	defer s.finish()
	s.addNodes("cape-rack", "gauteng-rack", "cape-rack")
	for _, n := range s.nodes {
		n.start()
	}
	for _, yard := range []string{"cape-rack", "gauteng-rack"} {
		for _, spot := range []bool{false, true} {
			s.cloud.add("werk-node", yard, spot, 0)
		}
	}
	long := s.newJob("j-000001", "client-api", "batch", 32, 1, 0, 1, 10*time.Minute)
	if !s.submit(long, "") {
		return 2
	}
	if !waitFor(25*time.Second, func() bool { return s.judge.startCount() >= 32 }) {
		s.log("test", "the machines are not full")
		return 2
	}
	first, second := make([]*job, pipelines), make([]*job, pipelines)
	var group sync.WaitGroup
	for i := range pipelines {
		first[i] = s.newJob(fmt.Sprintf("j-%06d", 100+2*i), "batch-desk", "batch", 2, 1, 0, 1, 20*time.Second)
		second[i] = s.newJob(fmt.Sprintf("j-%06d", 101+2*i), "batch-desk", "batch", 2, 1, 0, 1, 20*time.Second).needs(first[i].id)
		group.Go(func() {
			if s.submit(first[i], "") {
				s.submit(second[i], "")
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	group.Wait()
	for i := range pipelines {
		if second[i].accepted.IsZero() {
			return 2
		}
	}
	time.Sleep(2 * time.Second)
	leader := s.leader()
	var others []*node
	for _, n := range s.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	if s.trouble {
		s.log("trouble", "connections between controllers are refused")
		s.refusePeers(true)
	}
	time.Sleep(3 * time.Second)
	for i := range pipelines {
		group.Go(func() {
			if s.withdraw(first[i], leader.name) != "aborted" {
				return
			}
			for range 3 {
				state, _ := s.poll(second[i], others[i%len(others)].name)
				s.poll(second[i], leader.name)
				if state == "aborted" {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	for i := range pipelines {
		group.Go(func() { s.withdraw(second[i], leader.name) })
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	if s.trouble {
		s.refusePeers(false)
		s.log("trouble", "connections between controllers pass again")
	}
	time.Sleep(2 * time.Second)
	for i := range pipelines {
		s.poll(second[i], "")
	}
	return s.verdict("went_back")
}

// refusePeers lets connections between controllers be refused, or pass.
func (s *site) refusePeers(on bool) {
	for _, n := range s.nodes {
		for _, p := range n.links {
			p.setMode(map[bool]string{true: "refuse", false: ""}[on])
		}
	}
}

// verdict returns the exit status of a case: 1 if the rule was broken.
func (s *site) verdict(rule string) int {
	broken := s.judge.count(rule)
	s.log("test", "rule", rule, "broken", broken, "times; all:", s.judge.broken)
	fmt.Println("rule", rule, "broken", broken, "times")
	if broken > 0 {
		return 1
	}
	return 0
}
