package share

// Touch is what an owner tells the leader, every second and when something presses.
type Touch struct {
	Node    string       `msgpack:"node"`
	Session uint64       `msgpack:"session"`
	Term    uint64       `msgpack:"term"` // of the leader whose answer it had last
	Shares  []ShareTouch `msgpack:"shares"`
}

// ShareTouch is what an owner tells of one share. It was put together while the owner
// had the right to act.
type ShareTouch struct {
	Name       string     `msgpack:"name"`
	Seen       uint64     `msgpack:"seen"`     // revision up to which it has read assignments
	Room       []Room     `msgpack:"room"`     // what is free for jobs that it does not know yet
	Finished   []string   `msgpack:"finished"` // jobs all of whose tasks are done, as its records say
	Stopped    []Stopped  `msgpack:"stopped"`  // jobs that it starts no more, and tells to stop
	Demand     []Demand   `msgpack:"demand"`   // tasks that wait for room in the share
	Progress   []Progress `msgpack:"progress"`
	Up         []string   `msgpack:"up"`         // machines that report, told to each leader once
	Return     []string   `msgpack:"return"`     // machines to be returned
	Machines   int        `msgpack:"machines"`   // that are up
	Empty      int        `msgpack:"empty"`      // of those, without any task
	Unreached  bool       `msgpack:"unreached"`  // no worker reaches the owner
	Unassigned int        `msgpack:"unassigned"` // tasks that wait
}

// Room is a number of like machines with so much free each.
type Room struct {
	Type  string  `msgpack:"type"`
	Zone  string  `msgpack:"zone"`
	Spot  bool    `msgpack:"spot"`
	Count int     `msgpack:"count"`
	CPU   float64 `msgpack:"cpu"`
	GPU   float64 `msgpack:"gpu"`
	Mem   float64 `msgpack:"mem"`
}

// Demand is a number of a job's tasks that wait for room.
type Demand struct {
	Job   string   `msgpack:"job"`
	Tasks int      `msgpack:"tasks"`
	Zones []string `msgpack:"zones"` // where they may go, by the job's other tasks; empty: anywhere
}

// Stopped says how far a job that is being withdrawn is gone.
type Stopped struct {
	Job   string   `msgpack:"job"`
	Held  int      `msgpack:"held"`  // places not proven free
	Zones []string `msgpack:"zones"` // of those
}

// Progress is what users are told of a job.
type Progress struct {
	Job     string `msgpack:"job"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
	// Need is how many places its tasks may have at once from now on: one for each task
	// that is not done, and those that others have and that are not proven free. It is -1
	// where the records do not say so yet.
	Need int `msgpack:"need"`
}

// Reply is the leader's answer.
type Reply struct {
	Term uint64 `msgpack:"term"`
	// Kept is how long ago, in microseconds, a keeper may last have renewed the lease of
	// a worker, by zone; a zone without an entry has none.
	Kept map[string]int64 `msgpack:"kept"`
	// Away lists the zones that are out of touch.
	Away []string `msgpack:"away"`
	// Ends are the jobs that the owner named and whose end is stored: done or aborted.
	Ends map[string]string `msgpack:"ends"`
	// Gone are the machines that the owner wanted returned, and that are.
	Gone []string `msgpack:"gone"`
}

// Operation is what an operator asks.
type Operation string

// The operations.
const (
	List   Operation = "list"
	Show   Operation = "show"
	Move   Operation = "move"
	Cancel Operation = "cancel"
)

// Command is an operator's command. Each may be repeated.
type Command struct {
	Operation Operation `msgpack:"operation"`
	Share     string    `msgpack:"share"`
	Target    string    `msgpack:"target"` // of a move
}

// CommandReply answers it.
type CommandReply struct {
	Refused string   `msgpack:"refused"` // why it was not carried out; "": it was
	Shares  []Status `msgpack:"shares"`
}

// Status is what an operator is told of a share.
type Status struct {
	Name      string `msgpack:"name" json:"name"`
	Record    Record `msgpack:"record" json:"record"`
	Version   uint64 `msgpack:"version" json:"version"`
	Machines  int    `msgpack:"machines" json:"machines"`   // that report to its owner
	Empty     int    `msgpack:"empty" json:"empty"`         // of those, without any task
	Waiting   int    `msgpack:"waiting" json:"waiting"`     // tasks that wait for room in it
	Jobs      int    `msgpack:"jobs" json:"jobs"`           // that are assigned to it
	OwnerGone bool   `msgpack:"ownerGone" json:"ownerGone"` // the owner has lost its session
	HeardAgoS int    `msgpack:"heardAgoS" json:"heardAgoS"` // since its owner last told of its room; -1: not in this term
	Note      string `msgpack:"note" json:"note"`           // what holds a change up
}
