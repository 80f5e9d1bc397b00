// Package provision creates and terminates the machines of the cluster through the cloud.
//
// A Provisioner belongs to one term of leadership. It owns the instance requests (their
// states, their records in the store, the queue of unsent requests and the number in
// flight), the terminations that are still to be sent, the time of the last inventory, and
// the autoscaler's planner and its schedule.
//
// Only the goroutine of the term's event loop may call its methods, except PollInventory,
// which needs a goroutine of its own. Calls to the cloud run on goroutines that end when the
// call completes or the loop stops, and change the state through events.
//
// State is persisted before it is acted on. An instance request is sent once its record,
// which holds the request ID, is in the store, so that a request whose response was lost is
// repeated under the same ID. A machine of a recorded request is terminated once the record
// marks it as terminating; Terminate documents the exceptions.
package provision
