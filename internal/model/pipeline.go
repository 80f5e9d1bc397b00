package model

import "notchmux.dev/notchmux/internal/micro"

// End is the end of a job as it is in the store.
type End struct {
	Aborted bool
	At      micro.Time // on the steady clock
}

// await counts what a job awaits and is not over. That a job is done is known
// from its stored end alone: one that has left the lists of those alive may have
// been withdrawn.
func (c *Cluster) await(j *Job, now micro.Time) {
	var last micro.Time
	doomed := false
	for _, id := range j.Spec.Needs {
		end, over := c.Ends[id]
		switch {
		case over && end.Aborted:
			doomed = true
		case over:
			last = max(last, end.At)
		default:
			j.Unmet++
			c.after[id] = append(c.after[id], j)
			n := c.Jobs[id]
			if n == nil {
				c.Unknown(id)
			} else if n.Doomed {
				doomed = true
			}
		}
	}
	switch {
	case doomed:
		c.doom(j, now)
	case j.Unmet == 0:
		j.Since = max(j.Submitted, last)
		c.become(j, Active)
	}
}

// Settle takes in an end that is in the store: it lets those that await it go
// on, or aborts all that need it, through any depth. What is aborted here follows
// from that one end, so that any other leader, or node, comes to the same.
func (c *Cluster) Settle(id string, end End, now micro.Time) {
	if _, known := c.Ends[id]; known {
		return
	}
	c.Ends[id] = end
	waiting := c.after[id]
	delete(c.after, id)
	for _, j := range waiting {
		j.Unmet--
		switch {
		case j.State != Awaiting:
		case end.Aborted:
			c.doom(j, now)
		case j.Unmet == 0:
			j.Since = max(j.Submitted, end.At)
			c.become(j, Active)
			c.Log("job may start", "job", j.Spec.ID)
		}
	}
	if j := c.Jobs[id]; j != nil && end.Aborted {
		c.passBack(j) // they are needed by one less
	}
}

// doom aborts a job and all that need it. None of them has ever started.
func (c *Cluster) doom(j *Job, now micro.Time) {
	for list := []*Job{j}; len(list) > 0; {
		x := list[len(list)-1]
		list = list[:len(list)-1]
		if x.Doomed || x.Over() || x.State != Awaiting && x.State != Aborting {
			continue
		}
		x.Doomed = true
		c.become(x, Aborting)
		c.Doomed(x)
		list = append(list, c.after[x.Spec.ID]...)
	}
}

// startCost is what passes between the end of one job of a pipeline and the first
// run of the next, beside its image: a report, two writes and a start.
const startCost = 3 * micro.Second

// span is how long a job of a pipeline is expected to take: of many tasks, some
// run longer than the owner's estimate for one.
func (j *Job) span() micro.Time {
	run := float64(micro.Of(j.Spec.EstimateS)) * j.Class.Bias
	if len(j.Tasks) > 1 {
		run *= manyTasks
	}
	return micro.Time(run) + micro.Of(j.Spec.ImageGB) + startCost
}

// manyTasks is the longest run of a job's tasks over the estimate.
const manyTasks = 1.4

// due is when the heir's deadline asks a job itself to be done.
func (j *Job) due() micro.Time {
	return j.Heir.Submitted + micro.Of(*j.Heir.Spec.DeadlineS) - j.Tail
}

// inherit passes rank and deadline back from those that need a job: it counts as
// the highest of their ranks and its own, and has to be done as early as the
// tightest of their deadlines asks, less what comes after it. Users set both on
// the last job of a pipeline only, and allow this.
func (c *Cluster) inherit(j *Job) {
	level, heir, tail := j.Spec.Priority.Level(), (*Job)(nil), micro.Time(0)
	if j.Spec.DeadlineS != nil {
		heir = j
	}
	best := micro.Time(0)
	if heir != nil {
		best = j.Submitted + micro.Of(*j.Spec.DeadlineS)
	}
	for _, d := range c.after[j.Spec.ID] {
		if d.Over() || d.Doomed || d.State == Aborting {
			continue
		}
		level = min(level, d.Level)
		if d.Heir != nil {
			if at := d.due() - d.span(); heir == nil || at < best {
				heir, tail, best = d.Heir, d.Tail+d.span(), at
			}
		}
	}
	if level == j.Level && heir == j.Heir && tail == j.Tail {
		return
	}
	if level != j.Level {
		places := j.AllPlaces()
		for _, p := range places { // a machine counts what it holds by rank
			p.Machine.account(p, -1)
		}
		j.Level = level
		for _, p := range places {
			p.Machine.account(p, 1)
		}
	}
	j.Heir, j.Tail = heir, tail
	c.passBack(j)
	c.Changed()
}

// passBack lets those that a job needs inherit from it anew.
func (c *Cluster) passBack(j *Job) {
	for _, id := range j.Spec.Needs {
		if n := c.Jobs[id]; n != nil && !n.Over() {
			c.inherit(n)
		}
	}
}
