package shard

// MachineInactivity is what an owner leaves to the next one, in the transaction that names that: how
// long, at least, its machines were silent or idle by then. After its transfer began an owner
// answers nobody, so the next one goes on counting where this one ended. The record holds for
// the ownership that begins at its own revision, and for no other.
type MachineInactivity struct {
	// SinceRenewal is how long ago, in microseconds, an owner may last have renewed the lease of
	// a machine's agent, by machine. It does not say what lease proxies renewed.
	SinceRenewal map[string]int64 `msgpack:"renewed"`
	// IdleFor is since how long, in microseconds, a machine has been idle, by machine.
	IdleFor map[string]int64 `msgpack:"idle"`
}

// MaxInactiveMachines bounds the machines of each kind that the record names: a value of the store
// holds a few KiB. For those left out the next owner counts from its own beginning.
const MaxInactiveMachines = 100
