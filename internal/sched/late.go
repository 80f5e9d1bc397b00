package sched

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
)

// The ordinary rules leave room unused for good reasons: machines that are
// avoided, room beside idle GPUs, dear room, room gathered for others. None of
// them knows how long a job has waited. So work that nothing was found for in
// lateAfter takes what fits, the ordinary choice first and the avoided machines
// last.

// lateAfter is how long a job's tasks wait, without a place for any of them,
// until the ordinary rules give way.
const lateAfter = micro.Minute

// overdue reports whether the ordinary rules give way for a job.
func overdue(j *model.Job, now micro.Time) bool { return now-j.WaitsFrom >= lateAfter }

// leeway says which of the ordinary rules give way.
type leeway uint8

// The leeways; each includes those before it.
const (
	ordinary leeway = iota
	keptRoom        // room kept for GPU work or held in vain, and dear room
	avoided         // machines that are avoided
)

// pickLate chooses a machine for a late job's task once nothing was found by the
// ordinary rules. It looks at all machines: samples may miss the only one with
// room.
func (p *Placer) pickLate(j *model.Job, extra map[*model.Machine]*room, zoneN map[string]int, zone string, now micro.Time) *model.Machine {
	sampling := p.sampling
	defer func() { p.leeway, p.sampling = ordinary, sampling }()
	p.sampling = false
	for _, l := range []leeway{keptRoom, avoided} {
		p.leeway = l
		if m := p.pick(j, extra, zoneN, zone, true, false, now); m != nil {
			return m
		}
	}
	return nil
}
