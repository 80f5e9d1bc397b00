package model

import (
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// MachineState is the state of a machine.
type MachineState uint8

// The states of a machine.
const (
	Unheard   MachineState = iota // rented, listed or recorded; no report in this term
	Up                            // reports
	Silent                        // reported, and stopped doing so
	Lost                          // its worker's lease surely ran out
	Returning                     // asked to be returned
	Gone                          // the cloud said so
)

func (s MachineState) String() string {
	return [...]string{"unheard", "up", "silent", "lost", "returning", "gone"}[s]
}

// PlaceKey names an attempt on a machine.
type PlaceKey struct {
	Task    string
	Attempt uint64
}

// exit is an ended attempt that the worker still lists.
type exit struct {
	chunk  *Chunk // whose version must be saved before it is forgotten
	ver    uint64
	direct uint64 // a token above this one must have been seen
}

// Machine is a machine and its worker.
type Machine struct {
	Name       string
	Addr       string
	Type       *Type
	TypeName   string
	Zone       string
	Spot       bool
	State      MachineState
	Session    uint64
	Seq        uint64
	Token      uint64
	Heard      micro.Time // last new proof of life
	Answered   micro.Time // last report answered, new or not, or first sign of the session: the worker's lease may count from it
	Prove      uint64     // it counts as up once it has shown this token
	Misses     int        // reports in a row that had not seen the token they should have
	DeafFrom   micro.Time // since when it hears nothing
	FirstHeard micro.Time
	LostSess   uint64 // sessions up to this one surely ended
	Places     map[PlaceKey]*Place
	UsedCPU    float64
	UsedGPU    float64
	UsedMem    float64
	UsedScaled float64
	Ranks      [ranks]Room // what places hold by rank, those told to stop excepted
	Going      Room        // what places hold that were told to stop
	IdleSince  micro.Time
	Rented     micro.Time // when it was rented, as far as known
	Base       bool       // here before the service: never returned for being idle
	Listed     micro.Time // last list that showed it; 0: none
	ListState  wire.MachineState
	NoticeAt   micro.Time            // the cloud takes it then; 0: no notice
	Drained    bool                  // takes no new tasks, to go back once it is empty
	Deaf       bool                  // reports, but hears nothing: takes no new tasks
	Overruns   int                   // attempts in a row that ran far over what was expected
	Errors     map[string]micro.Time // jobs that failed here, and when they last did
	Avoid      micro.Time            // takes no tasks until then, except as a last resort
	Blamed     bool                  // avoided since several jobs failed on it
	FaultAt    micro.Time            // when a failure, or a refusal for want of room, last made it avoided
	Wanted     micro.Time            // last time that headroom counted on it
	Busy       bool                  // a direct order is under way
	Again      bool                  // more came up meanwhile
	RetryAt    micro.Time            // no direct order before
	Mute       bool                  // left the latest direct order unanswered, and was not heard since
	Reserve    *Job                  // being cleared for this job
	ReserveAt  micro.Time
	HeldFrom   micro.Time // since when it is reserved, for one job or another, and none of them used it
	HeldTo     micro.Time // when a reservation of it last ended unused
	Gathered   bool       // reserved for a job that has waited long
	RentalID   string
	Foreign    bool // another controller owns it: it is not this one's to answer or to place on
	Clearing   bool // it is to become another's: it takes no new tasks

	images map[string]image // images fetched
	told   uint64           // the token of the last answer, 0: not known
	pool   *Pool            // where placement finds it, nil: nowhere
	row    int
	at     int
	exits  map[PlaceKey]*exit
}

var machineMoves = map[MachineState][]MachineState{
	Unheard:   {Up, Lost, Returning, Gone, Silent},
	Up:        {Silent, Lost, Returning, Gone},
	Silent:    {Up, Lost, Returning, Gone},
	Lost:      {Up, Returning, Gone},
	Returning: {Gone},
}

// Become is the one place where a machine's state changes.
func (c *Cluster) Become(m *Machine, to MachineState, why string) bool {
	if m.State == to {
		return false
	}
	for _, s := range machineMoves[m.State] {
		if s == to {
			c.Log("machine", "machine", m.Name, "type", m.TypeName, "spot", m.Spot, "was", m.State.String(), "is", to.String(), "why", why)
			m.State = to
			c.shelve(m)
			c.Changed()
			return true
		}
	}
	return false
}

// Machine finds or makes a machine.
func (c *Cluster) Machine(name string, now micro.Time) *Machine {
	m := c.Machines[name]
	if m == nil {
		m = &Machine{
			Name: name, Places: map[PlaceKey]*Place{}, exits: map[PlaceKey]*exit{},
			images: c.takeHint(name), Errors: map[string]micro.Time{}, Rented: now, IdleSince: now, Prove: c.BaseTok,
		}
		c.Machines[name] = m
		c.list = nil
	}
	return m
}

// takeHint gives the images that a machine had by the records, for good.
func (c *Cluster) takeHint(name string) map[string]image {
	images, ok := c.imageHints[name]
	if !ok {
		return map[string]image{}
	}
	delete(c.imageHints, name)
	return images
}

// Describe fills in what a machine is. Places restored before its zone was
// known are counted anew: counted under no zone, they once let a spread service
// put two of its tasks into one.
func (c *Cluster) Describe(m *Machine, typ, zone string, spot bool) {
	if m.Zone != zone {
		for _, p := range m.Places {
			if p.known {
				p.Job.ZoneHeld[m.Zone]--
				p.Job.ZoneHeld[zone]++
			}
		}
	}
	m.TypeName, m.Zone, m.Spot = typ, zone, spot
	m.Type = c.Types[typ]
	if c.Partition != nil {
		m.Foreign, m.Clearing = c.Partition(m)
	}
	c.shelve(m)
}

// Repartition notes that the division of the machines among the controllers changed.
func (c *Cluster) Repartition() {
	for _, m := range c.List() {
		was := m.Foreign || m.Clearing
		m.Foreign, m.Clearing = c.Partition(m)
		if was != (m.Foreign || m.Clearing) {
			c.shelve(m)
		}
	}
	c.Changed()
}

// RaiseBase notes that this controller was given machines that another owned, under
// tokens below the given one. What is found on a machine from now on may have been
// started under one of those, also on machines that are not known yet.
func (c *Cluster) RaiseBase(first uint64) { c.BaseTok = max(c.BaseTok, first) }

// Receive notes that this controller was given a machine that another owned, which may
// have answered it until now.
func (c *Cluster) Receive(m *Machine, now micro.Time) {
	m.Prove = c.BaseTok
	m.Answered = now
	if m.State == Up {
		c.Become(m, Silent, "received from another controller")
	}
}

// Usable reports whether new tasks may be placed on the machine.
func (m *Machine) Usable(now micro.Time) bool {
	return m.State == Up && m.Type != nil && !m.Deaf && !m.Drained && !m.Foreign && !m.Clearing && m.NoticeAt == 0 && m.Avoid <= now
}

// Reachable reports whether orders are likely to arrive: not on a machine that
// left one unanswered, nor in a zone that fell silent as a whole, unless it was
// heard since. In the first seconds of a cut, gangs were placed beyond it until
// their machines' reports were overdue, and stayed there until it ended.
func (c *Cluster) Reachable(m *Machine) bool {
	if m.Mute {
		return false
	}
	since, away := c.Away[m.Zone]
	return !away || m.Heard > since
}

// ZoneReachable reports whether a machine that is rented in the zone is likely to be
// heard: its controllers are in touch, or one of its machines was heard since they
// are not.
func (c *Cluster) ZoneReachable(zone string) bool {
	since, away := c.Away[zone]
	if !away {
		return true
	}
	for _, m := range c.List() {
		if m.Zone == zone && m.Heard > since {
			return true
		}
	}
	return false
}

// lastSign is the latest time from which the worker's lease may count: the last
// answer to any of its reports, a late copy included, or the takeover, before
// which another leader may have answered it; or the last time at which a keeper
// of its zone may have.
func (c *Cluster) lastSign(m *Machine) micro.Time {
	return max(m.Answered, c.Began, c.Kept[m.Zone])
}

// SetDrained lets a machine take new tasks no more, or again.
func (c *Cluster) SetDrained(m *Machine, drained bool) {
	if m.Drained == drained {
		return
	}
	m.Drained = drained
	c.shelve(m)
	if !drained {
		c.Changed()
	}
}

// Told notes the token of an answer that went out in good time; 0: it may have
// come too late for the worker to take it.
func (c *Cluster) Told(m *Machine, token uint64) { m.told = token }

// Unproven reports whether a machine was heard, but has yet to show a token that
// proves it alive, and the given one would.
func (m *Machine) Unproven(token uint64) bool {
	return m.State != Up && m.State != Returning && m.State != Gone && m.Heard > 0 && m.Token < m.Prove && m.Prove <= token
}

// deafAfter is how many reports in a row show that answers do not arrive.
const deafAfter = 3

// listens looks whether a report's worker has taken the answer before. Its next
// report is sent only after that answer, or after the worker gave it up.
func (c *Cluster) listens(m *Machine, token uint64) {
	if m.told == 0 || token < m.told {
		if m.told > 0 {
			m.Misses++
		}
		return
	}
	m.Misses = 0
	c.SetDeaf(m, false, 0)
}

// MayBeDeaf reports whether a machine's reports come, but nothing reaches it.
func (m *Machine) MayBeDeaf() bool { return m.Misses >= deafAfter }

// SetDeaf marks a machine that hears nothing: it takes no new tasks, and what it
// has is placed elsewhere only once proven free. It is used again as soon as it
// shows that it hears.
func (c *Cluster) SetDeaf(m *Machine, deaf bool, now micro.Time) {
	if m.Deaf == deaf {
		return
	}
	m.Deaf, m.DeafFrom = deaf, now
	c.Log("machine hears", "machine", m.Name, "hears", !deaf)
	c.shelve(m)
	c.Changed()
}

// LeaseOut reports whether the worker's lease surely ran out.
func (c *Cluster) LeaseOut(m *Machine, now micro.Time) bool {
	return now > c.lastSign(m)+c.Lease
}

// Lose frees everything on a machine whose worker's lease surely ran out.
func (c *Cluster) Lose(m *Machine, now micro.Time) {
	c.Become(m, Lost, "its lease ran out")
	m.LostSess = max(m.LostSess, m.Session)
	for _, p := range m.sorted() {
		m.LostSess = max(m.LostSess, p.Session)
		c.free(p, now)
	}
	clear(m.exits)
}

// Depart frees everything on a machine that the cloud says is gone.
func (c *Cluster) Depart(m *Machine, now micro.Time) {
	if m.State != Returning {
		c.Become(m, Returning, "returned")
	}
	c.Become(m, Gone, "the cloud said so")
	for _, p := range m.sorted() {
		c.free(p, now)
	}
	delete(c.Machines, m.Name)
	delete(c.accused, m)
	c.list = nil
	c.Gone[m.Name] = now
}

// Departed reports whether a machine was returned in this term, as far back as that
// is remembered.
func (c *Cluster) Departed(name string) bool {
	_, gone := c.Gone[name]
	return gone
}

// sorted lists the places in a fixed order, so that runs repeat.
func (m *Machine) sorted() []*Place {
	out := make([]*Place, 0, len(m.Places))
	for _, p := range m.Places {
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].Name != out[b].Name {
			return out[a].Name < out[b].Name
		}
		return out[a].Attempt < out[b].Attempt
	})
	return out
}

// Sorted lists the machine's places in a fixed order.
func (m *Machine) Sorted() []*Place { return m.sorted() }

// List gives the machines in the order of their names.
func (c *Cluster) List() []*Machine {
	if c.list == nil {
		c.list = make([]*Machine, 0, len(c.Machines))
		for _, m := range c.Machines {
			c.list = append(c.list, m)
		}
		sort.Slice(c.list, func(a, b int) bool { return c.list[a].Name < c.list[b].Name })
	}
	return c.list
}

// overrun is how far over its expected run time an attempt is when it counts
// against its machine, and overruns how many in a row make a machine slow.
const (
	overrun   = 2.2
	overruns  = 2
	slowPause = 90 * micro.Second
)

// Overran looks at a running attempt that was expected to take so long. A
// machine with several that overran is slow: it takes no tasks for a while, and
// those that overran move. This is the exception to the design's assumption
// that a type's speed is its machines' speed.
func (c *Cluster) Overran(p *Place, expected, now micro.Time) {
	if p.State != Running || p.RunFrom == 0 || p.Stopping || expected < 5*micro.Second || p.Job.Spec.Kind == wire.Service {
		return
	}
	if now-p.RunFrom < micro.Time(overrun*float64(expected))+5*micro.Second {
		return
	}
	m := p.Machine
	if !p.over {
		p.over = true
		m.Overruns++
	}
	if m.Overruns < overruns {
		return
	}
	if m.Avoid <= now {
		m.Avoid = now + slowPause
		c.Log("machine avoided", "machine", m.Name, "why", "much slower than its type")
	}
	// A task that found no other machine would be stopped over and over.
	if len(p.Job.FailedOn) == 0 && p.Job.Spec.Kind == wire.Array && !p.Last {
		c.Stop(p, "slow machine", p.Job.Spec.SaveS, now)
	}
}

// InTime notes a completed attempt that took about what was expected.
func (m *Machine) InTime(took, expected micro.Time) {
	if float64(took) < 1.5*float64(expected) {
		m.Overruns = 0
	}
}
