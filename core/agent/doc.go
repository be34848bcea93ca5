// Package agent implements the worker's side of the protocol between a worker and the cell:
// registration, lease renewal, task reports and assignments. The package makes the decisions; its
// owner performs input and output and runs the tasks:
//
//	agent.Tick(now)                     // no later than Effects.Wake
//	agent.HandleResponse(now, response) // response of the cell to a sync
//	agent.TaskEnded(allocation, ...)    // a task ended
//	effects := agent.Effects(now)       // what to start, stop and send
//
// Invariants: a task is started only under a valid lease of the epoch that assigned it; a task that
// must not outlive the lease is stopped before the lease ends; an allocation is never started
// twice.
package agent
