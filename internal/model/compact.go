package model

import (
	"sort"
	"strings"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// CompactRecord is a chunk of tasks as the store keeps it in the later form,
// which names each machine and zone once. Places are (machine, session, task,
// attempt), with the machine by its index.
type CompactRecord struct {
	Zones    []string        `msgpack:"z" json:"z"`
	Machines []string        `msgpack:"m" json:"m"`
	In       []int           `msgpack:"i" json:"i"` // the zone of each machine, by its index
	Places   [][4]wire.Count `msgpack:"p" json:"p"`
	Done     [][2]int        `msgpack:"d" json:"d"` // first and last of each range
	Tries    [][2]int        `msgpack:"t" json:"t"` // task and attempt, where no place is taken
}

// Compact puts a record into the later form.
func (r *ChunkRecord) Compact() CompactRecord {
	out := CompactRecord{Zones: []string{}, Machines: []string{}, In: []int{}, Places: [][4]wire.Count{}, Done: r.Done, Tries: r.Tries}
	zones, machines := map[string]int{}, map[string]int{}
	for _, p := range r.Places {
		k, ok := machines[p.Machine]
		if !ok {
			z, ok := zones[p.Zone]
			if !ok {
				z = len(out.Zones)
				zones[p.Zone] = z
				out.Zones = append(out.Zones, p.Zone)
			}
			k = len(out.Machines)
			machines[p.Machine] = k
			out.Machines = append(out.Machines, p.Machine)
			out.In = append(out.In, z)
		}
		out.Places = append(out.Places, [4]wire.Count{wire.Count(k), p.Session, wire.Count(p.Index), p.Attempt})
	}
	return out
}

// Expand puts a record back into the first form; false if it makes no sense.
func (r *CompactRecord) Expand() (ChunkRecord, bool) {
	out := ChunkRecord{Done: r.Done, Tries: r.Tries}
	if len(r.In) != len(r.Machines) {
		return out, false
	}
	for _, p := range r.Places {
		if p[0] >= wire.Count(len(r.Machines)) || p[2] >= wire.MaxTasks {
			return out, false
		}
		z := r.In[p[0]]
		if z < 0 || z >= len(r.Zones) {
			return out, false
		}
		out.Places = append(out.Places, PlaceRecord{Index: int(p[2]), Attempt: p[3], Machine: r.Machines[p[0]], Session: p[1], Zone: r.Zones[z]})
	}
	return out, true
}

// placeBytes is what a place takes in the later form, on a machine of its own:
// its name, its zone, and four numbers.
const placeBytes = 30

// compactHead is what a record takes besides its places.
const compactHead = 120

// CompactTasks is how many tasks a chunk of the later form may have for its
// record to fit a value of so many bytes.
func CompactTasks(bytes int) int {
	n := 8
	for n < ChunkTasks && (2*n)*placeBytes+compactHead <= bytes {
		n *= 2
	}
	return n
}

// Old is a record in the first form whose tasks have moved to chunks of the later
// one. It is deleted once each of these is in the store: until then a takeover
// reads from it what they do not cover.
type Old struct {
	Job   *Job
	N     int
	Stamp uint64
	Left  int // chunks that are not in the store yet
}

// Free reports whether nothing depends on the record any more.
func (o *Old) Free() bool { return o.Left <= 0 || o.Job.Over() && o.Job.HeldN == 0 }

// RestoreCompact reads a chunk's record of the later form. It comes before the
// records of the first form, which it stands for.
func (c *Cluster) RestoreCompact(j *Job, n int, rec *CompactRecord, stamp uint64, now micro.Time) {
	if n < 0 || n >= len(j.Chunks) {
		return
	}
	first, ok := rec.Expand()
	if !ok {
		c.Log("record not understood", "job", j.Spec.ID, "chunk", n)
		return
	}
	ch := j.Chunks[n]
	ch.Stamp = stamp
	c.restore(j, &first, func(i int) bool { return i >= 0 && i < len(j.Tasks) && i/j.per == n }, now)
	ch.Stored = true
}

// UseCompact turns to the later form, with so many tasks to a chunk. Records in
// the first form stay until what they hold is written anew.
func (c *Cluster) UseCompact(tasks int) {
	if c.Compact {
		return
	}
	c.Compact, c.PerChunk = true, tasks
	moved := map[*Chunk]*Old{}
	ids := make([]string, 0, len(c.Jobs))
	for id := range c.Jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		c.rechunk(c.Jobs[id], moved)
	}
	for _, m := range c.Machines {
		for key, x := range m.exits {
			if x.chunk == nil || moved[x.chunk] == nil {
				continue
			}
			_, index, _ := wire.SplitTask(key.Task)
			ch := x.chunk.Job.Chunk(index)
			if x.chunk.Saved >= x.ver {
				x.ver = 0
			} else {
				x.ver = ch.Ver
			}
			x.chunk = ch
		}
	}
}

func (c *Cluster) rechunk(j *Job, moved map[*Chunk]*Old) {
	was := j.Chunks
	j.per, j.Chunks = c.PerChunk, nil
	for n := 0; n*j.per < len(j.Tasks); n++ {
		j.Chunks = append(j.Chunks, &Chunk{Job: j, N: n})
	}
	for _, o := range was {
		old := &Old{Job: j, N: o.N, Stamp: o.Stamp}
		moved[o] = old
		dirty := o.Ver > o.Saved
		for i := o.N * ChunkTasks; i < min((o.N+1)*ChunkTasks, len(j.Tasks)); i += j.per {
			ch := j.Chunk(i)
			ch.Old = old
			old.Left++
			if dirty {
				ch.Ver = 1
			}
		}
		for _, p := range o.Places {
			ch := j.Chunk(p.Index)
			ch.Places = append(ch.Places, p)
			p.Ver = ch.Ver
		}
		c.Moved(o, old)
		for i := o.N * ChunkTasks; dirty && i < min((o.N+1)*ChunkTasks, len(j.Tasks)); i += j.per {
			ch := j.Chunk(i)
			c.Touch(ch)
			for _, p := range ch.Places {
				if p.State == Planned {
					c.Press(ch)
					break
				}
			}
		}
		o.Places = nil
	}
}

// Tally counts a job's tasks from its records, in either form.
type Tally struct {
	compact, first []ChunkRecord
}

// Add reads a record by the last part of its key, which a mark begins in the later
// form.
func (t *Tally) Add(rest, mark string, value []byte) error {
	if strings.HasPrefix(rest, mark) {
		var rec CompactRecord
		if err := wire.Unmarshal(value, &rec); err != nil {
			return err
		}
		if first, ok := rec.Expand(); ok {
			t.compact = append(t.compact, first)
		}
		return nil
	}
	var rec ChunkRecord
	if err := wire.Unmarshal(value, &rec); err != nil {
		return err
	}
	t.first = append(t.first, rec)
	return nil
}

// Count is how many tasks are done, and how many others hold a place. A record in
// the first form may lag behind one in the later form: a task counts as done if
// either says so.
func (t *Tally) Count() (done, held int) {
	if len(t.compact) == 0 || len(t.first) == 0 {
		for _, rec := range append(t.compact, t.first...) {
			for _, d := range rec.Done {
				done += d[1] - d[0] + 1
			}
			held += len(rec.Places)
		}
		return done, held
	}
	over, taken := map[int]bool{}, map[int]bool{}
	for _, rec := range append(t.compact, t.first...) {
		for _, d := range rec.Done {
			for i := max(d[0], 0); i <= min(d[1], wire.MaxTasks); i++ {
				over[i] = true
			}
		}
		for _, p := range rec.Places {
			taken[p.Index] = true
		}
	}
	for i := range taken {
		if !over[i] {
			held++
		}
	}
	return len(over), held
}
