package controlgroup

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/replog"
)

// RepairView is the leader's knowledge of a group without a configured list of members: replicas
// announce themselves, and the group maintains Target voters.
type RepairView struct {
	View
	Target int
	// Replaced lists members whose address is now used by another replica. They have lost their
	// disk and will not return.
	Replaced []replog.ReplicaID
	// Unresponsive lists members that have not responded for so long that they may be replaced if
	// another replica is ready.
	Unresponsive []replog.ReplicaID
}

// NextRepairStep returns the next step. A voter that has lost its disk is removed first, so that
// the quorum shrinks before its successor becomes a voter. An unresponsive voter stays until its
// successor has caught up, because it may return with its disk.
func NextRepairStep(v RepairView) Step {
	for _, choose := range []func(RepairView) Step{
		removeLostLearner, removeReplacedVoter, promoteCaughtUp, removeUnresponsiveVoter, addAnnounced, recordRepaired,
	} {
		step := choose(v)
		if step.Kind != StepNone && v.keepsQuorum(step.Next) {
			return v.withAddresses(step)
		}
	}
	return Step{}
}

func removalOf(v RepairView, id replog.ReplicaID) Step {
	return Step{Kind: StepRemove, Replica: id, Next: without(v.Membership, id)}
}

func removeLostLearner(v RepairView) Step {
	for _, id := range v.Membership.Learners {
		if slices.Contains(v.Replaced, id) || slices.Contains(v.Unresponsive, id) && !slices.Contains(v.Announced, id) {
			return removalOf(v, id)
		}
	}
	return Step{}
}

func removeReplacedVoter(v RepairView) Step {
	for _, id := range v.Membership.Voters {
		if id != v.Self && slices.Contains(v.Replaced, id) {
			return removalOf(v, id)
		}
	}
	return Step{}
}

func promoteCaughtUp(v RepairView) Step {
	if len(v.Membership.Voters) >= v.Target {
		return Step{}
	}
	for _, id := range v.Membership.Learners {
		if slices.Contains(v.CaughtUp, id) {
			next := without(v.Membership, id)
			next.Voters = append(next.Voters, id)
			return Step{Kind: StepPromote, Replica: id, Next: next}
		}
	}
	return Step{}
}

func removeUnresponsiveVoter(v RepairView) Step {
	successor := slices.ContainsFunc(v.Membership.Learners, func(id replog.ReplicaID) bool {
		return slices.Contains(v.CaughtUp, id)
	})
	if !successor || len(v.Membership.Voters) < v.Target {
		return Step{}
	}
	for _, id := range v.Membership.Voters {
		if id != v.Self && slices.Contains(v.Unresponsive, id) {
			return removalOf(v, id)
		}
	}
	return Step{}
}

func addAnnounced(v RepairView) Step {
	for _, id := range v.Announced {
		if !v.Membership.Contains(id) && !slices.Contains(v.Replaced, id) {
			next := without(v.Membership, id)
			next.Learners = append(next.Learners, id)
			return Step{Kind: StepAdd, Replica: id, Next: next}
		}
	}
	return Step{}
}

func recordRepaired(v RepairView) Step { return recordAddresses(v.View) }
