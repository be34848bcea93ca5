package controlgroup_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
)

type replicas = []replog.ReplicaID

func repairView(voters, learners, responsive replicas) controlgroup.RepairView {
	return controlgroup.RepairView{Target: 5, View: controlgroup.View{
		Self: 1, Membership: replog.Membership{Voters: voters, Learners: learners}, Responsive: responsive,
	}}
}

// Guards against a group that does not grow to its target, and against the promotion of a learner
// that has not caught up.
func TestRepairAdmitsAndPromotes(t *testing.T) {
	v := repairView(replicas{1, 2, 3}, nil, replicas{2, 3})
	v.Announced = replicas{2, 3, 4}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepAdd || got.Replica != 4 {
		t.Errorf("%+v, want 4 added", got)
	}
	v = repairView(replicas{1, 2, 3}, replicas{4}, replicas{2, 3, 4})
	v.Announced = replicas{2, 3, 4}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepNone {
		t.Errorf("%+v before learner 4 has caught up, want no step", got)
	}
	v.CaughtUp = replicas{4}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepPromote || got.Replica != 4 {
		t.Errorf("%+v, want 4 promoted", got)
	}
}

// Guards against waiting for a voter that has lost its disk. Two of five disks may be lost at the
// same time, and the quorum must shrink with the number of voters.
func TestRepairRemovesReplacedVoterFirst(t *testing.T) {
	v := repairView(replicas{1, 2, 3, 4, 5}, nil, replicas{2, 3})
	v.Replaced, v.Announced, v.Unresponsive = replicas{4}, replicas{6}, replicas{4, 5}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepRemove || got.Replica != 4 {
		t.Errorf("%+v, want 4 removed", got)
	}
}

// Guards against removing a voter that is only restarting. Without a successor it must stay,
// because its disk still has the log.
func TestRepairKeepsUnresponsiveVoterWithoutSuccessor(t *testing.T) {
	v := repairView(replicas{1, 2, 3, 4, 5}, nil, replicas{2, 3, 4})
	v.Unresponsive = replicas{5}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepNone {
		t.Errorf("%+v, want no step", got)
	}
	v = repairView(replicas{1, 2, 3, 4, 5}, replicas{6}, replicas{2, 3, 4, 6})
	v.Unresponsive, v.CaughtUp, v.Announced = replicas{5}, replicas{6}, replicas{6}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepRemove || got.Replica != 5 {
		t.Errorf("%+v, want 5 removed", got)
	}
}

// Guards against a step after which fewer voters respond than form a quorum.
func TestRepairKeepsAQuorum(t *testing.T) {
	v := repairView(replicas{1, 2, 3, 4, 5}, nil, replicas{2})
	v.Replaced = replicas{4}
	if got := controlgroup.NextRepairStep(v); got.Kind != controlgroup.StepNone {
		t.Errorf("%+v with 2 of 5 voters responding, want no step", got)
	}
}
