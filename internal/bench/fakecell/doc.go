// Package fakecell is a fake of the replicated state for the tests and benchmarks of the scheduler.
// It applies plans, emits the events of core/state and checks that each placement respects worker
// capacities, team quotas and gangs. It is in memory, keeps no history and answers no queries.
package fakecell
