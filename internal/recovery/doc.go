// Package recovery brings what the state store holds into the cluster's state: all of it when
// a controller takes over the lead (Failover), then the jobs that other nodes accept and the
// jobs that others depend on (Intake). What was read of jobs is a Snapshot first.
//
// A Failover and an Intake belong to one event loop. Failover runs on that loop's goroutine
// before it serves events; the methods of Intake run on it, except those that say that any
// goroutine may call them. The goroutines that read from the store hand what they read to the
// loop as events.
package recovery
