package shard

import "notchmux.dev/notchmux/wire"

// Encode encodes the update so that a call between nodes holds it: items are left out of its
// longest lists until it fits. They come with a later update.
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

// halveLongestLists leaves out half of each list that is more than half as long as the longest.
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

// halved is the first half of a list that is more than half as long as the longest, else all of it.
func halved[T any](list []T, longest int) []T {
	if 2*len(list) <= longest {
		return list
	}
	return list[:len(list)/2]
}
