package shard

// WaitingJob is what an operator is told of a job that waits at the leader.
type WaitingJob struct {
	ID             string   `msgpack:"job" json:"job"`
	Team           string   `msgpack:"team" json:"team"`
	Tasks          int      `msgpack:"tasks" json:"tasks"`                            // that wait
	WaitingS       int      `msgpack:"waitingS" json:"waitingS"`                      // for how long
	ServedBy       []string `msgpack:"by,omitempty" json:"servedBy,omitempty"`        // sides that may serve it
	UnservedReason string   `msgpack:"why,omitempty" json:"unservedReason,omitempty"` // why none may
}

// DetailedReply answers a command with more than shards. Without the rest it has the form of a
// CommandReply, and either is read as the other.
type DetailedReply struct {
	CommandReply `msgpack:",inline"`

	WaitingJobs []WaitingJob `msgpack:"waitingJobs,omitempty"` // that may use machines of the shard shown; a few
}
