package shard

// MachineInactivity is the record that an owner leaves to the next owner, in the transaction that names the next
// owner: for how long, at least, the shard's machines had been silent or idle by then. An owner sends no responses
// once its transfer has begun, so the next owner continues these durations. The record is valid only for the ownership
// that begins at the record's own revision.
type MachineInactivity struct {
	// SinceRenewal is, by machine, how long ago an owner may last have renewed the lease of the machine's agent, in
	// microseconds. It does not cover renewals by lease proxies.
	SinceRenewal map[string]int64 `msgpack:"renewed"`
	// IdleFor is, by machine, how long the machine has been idle, in microseconds.
	IdleFor map[string]int64 `msgpack:"idle"`
}

// MaxInactiveMachines limits the machines in each map of a MachineInactivity: a value in the store holds only a few
// KiB. For machines that are left out, the next owner counts from its own start.
const MaxInactiveMachines = 100
