// Package recovery restores the cluster state from the state store. A Failover restores all of it
// when a controller becomes the leader. After that, an Intake adds the jobs that other nodes accept,
// and the jobs that other jobs depend on. Stored job keys are collected in a Snapshot first.
//
// A Failover and an Intake belong to one event loop. Failover runs on that loop's goroutine before
// the loop handles events. The methods of Intake must be called on that goroutine, except those
// documented as safe for concurrent use. The goroutines that read from the store post their results
// to the loop as events.
package recovery
