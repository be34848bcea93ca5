// Package agent is the worker's side of the protocol between a worker and the
// cell: registration, lease renewal, task reports and assignments. It decides;
// its owner moves bytes and runs tasks:
//
//	agent.Tick(now)                 // at Effects.Wake at the latest
//	agent.Synced(now, answer)       // answer of the cell to a sync
//	agent.Ended(allocation, ...)    // a task ended by itself
//	effects := agent.Effects(now)   // what to start, stop and send
//
// Invariants: a task is started only under a valid lease of the epoch that
// assigned it; a task that does not outlive the lease is stopped before the
// lease ends; an allocation is never started twice.
package agent
