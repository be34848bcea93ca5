package controlgroup_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
)

type replicas = []replog.ReplicaID

func repairView(voters, learners, answering replicas) controlgroup.RepairView {
	return controlgroup.RepairView{Target: 5, View: controlgroup.View{
		Self: 1, Membership: replog.Membership{Voters: voters, Learners: learners}, Answering: answering,
	}}
}

// Guards against a group that does not grow to its target, or admits a replica
// that has not caught up as a voter.
func TestRepairAdmitsAndPromotes(t *testing.T) {
	v := repairView(replicas{1, 2, 3}, nil, replicas{2, 3})
	v.Announced = replicas{2, 3, 4}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepAdd || got.Replica != 4 {
		t.Errorf("%+v, want 4 added", got)
	}
	v = repairView(replicas{1, 2, 3}, replicas{4}, replicas{2, 3, 4})
	v.Announced = replicas{2, 3, 4}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepNone {
		t.Errorf("%+v before it has caught up", got)
	}
	v.CaughtUp = replicas{4}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepPromote || got.Replica != 4 {
		t.Errorf("%+v, want 4 promoted", got)
	}
}

// Guards against waiting for a voter whose disk is known to be lost: two of
// five may be lost at once, and the quorum must shrink with them.
func TestRepairDropsAReplacedVoterFirst(t *testing.T) {
	v := repairView(replicas{1, 2, 3, 4, 5}, nil, replicas{2, 3})
	v.Replaced, v.Announced, v.Silent = replicas{4}, replicas{6}, replicas{4, 5}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepRemove || got.Replica != 4 {
		t.Errorf("%+v, want 4 removed", got)
	}
}

// Guards against removing a voter that is only restarting: without a successor
// it stays, and its disk with it.
func TestRepairKeepsASilentVoterWithoutSuccessor(t *testing.T) {
	v := repairView(replicas{1, 2, 3, 4, 5}, nil, replicas{2, 3, 4})
	v.Silent = replicas{5}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepNone {
		t.Errorf("%+v", got)
	}
	v = repairView(replicas{1, 2, 3, 4, 5}, replicas{6}, replicas{2, 3, 4, 6})
	v.Silent, v.CaughtUp, v.Announced = replicas{5}, replicas{6}, replicas{6}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepRemove || got.Replica != 5 {
		t.Errorf("%+v, want 5 removed", got)
	}
}

// Guards against a step that leaves fewer answering voters than a quorum.
func TestRepairKeepsAQuorum(t *testing.T) {
	v := repairView(replicas{1, 2, 3, 4, 5}, nil, replicas{2})
	v.Replaced = replicas{4}
	if got := controlgroup.Repair(v); got.Kind != controlgroup.StepNone {
		t.Errorf("%+v with 2 of 5 voters", got)
	}
}
