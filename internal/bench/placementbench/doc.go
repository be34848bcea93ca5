// Package placementbench measures the cost of decisions of core/placement: one
// scheduler on one processor, driven by a fake cell.
//
// A decision is one task that gets a placement. Its time is everything that the
// scheduler spends on it: the events of the submission, of the end that made
// room and of the commit, the plan, and PlanApplied. The time of the fake cell
// is not counted.
package placementbench
