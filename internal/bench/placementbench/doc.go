// Package placementbench measures the decision time of core/placement with one scheduler on one
// processor, driven by a fake cell.
//
// A decision is the placement of one task. Its time includes all work of the scheduler for it: the
// events of the submission, of the ended allocation that freed capacity and of the commit, the
// plan, and PlanApplied. The time of the fake cell is excluded.
package placementbench
