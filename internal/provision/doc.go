// Package provision has the cloud create and terminate the machines of the cluster.
//
// A Provisioner belongs to one term of leadership. It owns the instance requests (their
// states, their records in the store, the queue of those to be sent, and how many are in
// flight), the terminations that are still to be sent, what the cloud's inventory said
// last, and the autoscaler's planner and when it plans.
//
// Only the goroutine of the term's event loop may call its methods, but for PollInventory,
// which runs on a goroutine of its own. Calls to the cloud run on goroutines that end with
// their answer or with the loop, and reach the state as events.
//
// Persist, then act: a request is sent once its record is in the store, under a name that
// the record holds, so that a lost answer is asked for again under the same name; a machine
// with a record is terminated once the record says so.
package provision
