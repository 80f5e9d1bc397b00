package shard

// WaitingJob describes a job that waits at the leader, for operators.
type WaitingJob struct {
	ID             string   `msgpack:"job" json:"job"`
	Team           string   `msgpack:"team" json:"team"`
	Tasks          int      `msgpack:"tasks" json:"tasks"`                            // number of waiting tasks
	WaitingS       int      `msgpack:"waitingS" json:"waitingS"`                      // how long it has waited, in seconds
	ServedBy       []string `msgpack:"by,omitempty" json:"servedBy,omitempty"`        // eligible owners
	UnservedReason string   `msgpack:"why,omitempty" json:"unservedReason,omitempty"` // why no owner can serve it
}

// DetailedReply is a CommandReply with further details. Without them it is encoded like a CommandReply, and each can
// be decoded as the other.
type DetailedReply struct {
	CommandReply `msgpack:",inline"`

	// WaitingJobs lists a few of the waiting jobs that may use machines of the shard shown.
	WaitingJobs []WaitingJob `msgpack:"waitingJobs,omitempty"`
}
