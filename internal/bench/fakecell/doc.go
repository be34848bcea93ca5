// Package fakecell is a stand-in for the replicated state, for the tests and
// benchmarks of the scheduler. It applies plans, emits the events of
// core/state and checks what must hold of every placement. It is small and in
// memory; it keeps no history and answers no queries.
package fakecell
