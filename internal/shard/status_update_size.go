package shard

import "notchmux.dev/notchmux/wire"

// Encode encodes the update within the limit of a call between nodes, wire.MaxBody. It removes items from the
// longest lists of u until the update fits. The removed items are sent with a later update.
func (u *StatusUpdate) Encode() []byte {
	body := wire.MustMarshal(u)
	for len(body) > wire.MaxBody {
		for i := range u.Shards {
			u.Shards[i].halveLongestLists()
		}
		body = wire.MustMarshal(u)
	}
	return body
}

// halveLongestLists removes half of each list that is more than half as long as the longest one.
func (u *ShardUpdate) halveLongestLists() {
	longest := max(
		len(u.FreeCapacity), len(u.FinishedJobs), len(u.StoppingJobs), len(u.Demand), len(u.Progress),
		len(u.ReadyMachines), len(u.MachinesToTerminate), len(u.WaitingJobs), len(u.ReleasedJobs),
		len(u.CopiedJobs),
	)
	u.FreeCapacity = halved(u.FreeCapacity, longest)
	u.FinishedJobs = halved(u.FinishedJobs, longest)
	u.StoppingJobs = halved(u.StoppingJobs, longest)
	u.Demand = halved(u.Demand, longest)
	u.Progress = halved(u.Progress, longest)
	u.ReadyMachines = halved(u.ReadyMachines, longest)
	u.MachinesToTerminate = halved(u.MachinesToTerminate, longest)
	u.WaitingJobs = halved(u.WaitingJobs, longest)
	u.ReleasedJobs = halved(u.ReleasedJobs, longest)
	u.CopiedJobs = halved(u.CopiedJobs, longest)
}

// halved returns the first half of a list that is more than half as long as the longest one, and any other list
// unchanged.
func halved[T any](list []T, longest int) []T {
	if 2*len(list) <= longest {
		return list
	}
	return list[:len(list)/2]
}
