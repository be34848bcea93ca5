// Package placement is the scheduler of the cell. It consumes the events of core/state, keeps job
// queues and an index of workers, and returns plans of placements and preemptions for
// state.CommitPlan.
//
// A scheduling decision has three phases. The filter phase finds the workers whose pool, region and
// free resources admit a task (filter.go, index.go). The score phase ranks these workers for
// spreading or for bin packing (score.go). The reserve phase books the task on the chosen worker,
// so that later decisions count it before the plan is committed (reserve.go).
//
// After a command is committed, the owner of the scheduler first calls Step for each of its events
// and then PlanApplied for the plan. For a plan that was not committed at all, it calls PlanApplied
// with an empty PlanResult. The scheduler leaves CommitPlan.Basis unset; the owner, which knows the
// log index, fills it in.
package placement
