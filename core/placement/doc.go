// Package placement is the scheduler of the cell. It consumes the events of
// core/state, keeps queues and an index of workers, and returns plans of
// placements and preemptions for state.CommitPlan.
//
// A decision has three phases. The filter phase narrows the workers to those
// whose pool, region and free resources admit a task (filter.go, index.go).
// The score phase orders what is left by spread or by fit (score.go). The
// reserve phase books the chosen worker, so that later decisions see it
// occupied before the plan is committed (reserve.go).
//
// The owner calls Step for every event of a committed command first and
// PlanApplied for the plan after that. A plan that was not carried out at all
// is answered with an empty PlanResult. CommitPlan.Basis is left for the owner,
// which knows the log index.
package placement
