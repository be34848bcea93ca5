package controlgroup_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
)

type ids = []replog.ReplicaID

func ExampleNextStep() {
	step := controlgroup.NextStep(controlgroup.View{
		Self: 1, Membership: replog.Membership{Voters: ids{1, 2, 3}},
		Listed: ids{1, 2, 4}, Announced: ids{1, 2, 4}, Responsive: ids{2},
	})
	fmt.Println(step.Kind, step.Replica, step.Next)
	// Output: add-learner 4 {[1 2 3] [4] []}
}

// Guards against steps in the wrong order, against a group with fewer voters than its file lists,
// and against a step after which no quorum responds.
func TestNextStep(t *testing.T) {
	for _, test := range []struct {
		name                                            string
		self                                            replog.ReplicaID
		voters, learners, listed, announced, responsive ids
		caughtUp                                        ids
		want                                            string
	}{
		{"nothing to do", 1, ids{1, 2, 3}, nil, ids{1, 2, 3}, ids{1, 2, 3}, ids{2, 3}, nil, " 0"},
		{"more listed than started", 1, ids{1, 2, 3}, nil, ids{1, 2, 3, 4, 5}, ids{1, 2, 3}, ids{2, 3}, nil, " 0"},
		{"listed but never announced", 1, ids{1, 2, 3}, nil, ids{1, 2, 4}, ids{1, 2, 3}, ids{2, 3}, nil, " 0"},
		{"no listed replica exists", 1, ids{1, 2, 3}, nil, ids{7, 8, 9}, ids{1, 2, 3}, ids{2, 3}, nil, " 0"},
		{"announced but not listed", 1, ids{1, 2, 3}, nil, ids{1, 2, 3}, ids{2, 3, 4}, ids{2, 3}, nil, " 0"},
		{"learner not caught up", 1, ids{1, 2, 3}, ids{4}, ids{1, 2, 4}, ids{4}, ids{2, 4}, nil, " 0"},
		{"learner caught up", 1, ids{1, 2, 3}, ids{4}, ids{1, 2, 4}, ids{4}, ids{2, 4}, ids{4}, "promote 4"},
		{"promotion without a quorum", 1, ids{1, 2, 3}, ids{4}, ids{1, 2, 4}, ids{4}, ids{4}, ids{4}, " 0"},
		{"replaced", 1, ids{1, 2, 3, 4}, nil, ids{1, 2, 4}, ids{4}, ids{2, 4}, nil, "remove 3"},
		{"unresponsive voter removed first", 1, ids{1, 2, 3, 4, 5, 6}, nil, ids{1, 2, 5, 6}, ids{5, 6}, ids{2, 4, 5, 6}, nil, "remove 3"},
		{"removal without a quorum", 1, ids{1, 2, 3, 4}, nil, ids{1, 2, 4}, ids{4}, ids{3}, nil, " 0"},
		{"learner not listed", 1, ids{1, 2, 3}, ids{4}, ids{1, 2, 3}, ids{4}, ids{2, 3}, ids{4}, "remove 4"},
		{"leader not listed", 3, ids{1, 2, 3, 4}, nil, ids{1, 2, 4}, ids{4}, ids{1, 2, 4}, nil, "transfer 1"},
		{"leader not listed, first listed voter unresponsive", 3, ids{1, 2, 3, 4}, nil, ids{1, 2, 4}, ids{4}, ids{2, 4}, nil, "transfer 2"},
	} {
		step := controlgroup.NextStep(controlgroup.View{
			Self: test.self, Membership: replog.Membership{Voters: test.voters, Learners: test.learners},
			Listed: test.listed, Announced: test.announced, Responsive: test.responsive, CaughtUp: test.caughtUp,
		})
		if got := fmt.Sprintf("%s %d", step.Kind, step.Replica); got != test.want {
			t.Errorf("%s: step %q, want %q", test.name, got, test.want)
		}
	}
}

func addressesOf(byID map[replog.ReplicaID]string, ids ...replog.ReplicaID) []replog.MemberAddress {
	var addresses []replog.MemberAddress
	for _, id := range ids {
		addresses = append(addresses, replog.MemberAddress{ID: id, Address: byID[id]})
	}
	return addresses
}

// Guards against members that find each other only as long as one of them runs, because the log does
// not have their addresses.
func TestStepsRecordAddresses(t *testing.T) {
	known := map[replog.ReplicaID]string{1: "a:1", 2: "b:1", 3: "c:1", 4: "d:1", 9: "not a member"}
	v := controlgroup.View{
		Self: 1, Membership: replog.Membership{Voters: ids{1, 2, 3}}, Listed: ids{1, 2, 3},
		Responsive: ids{2, 3}, Addresses: known, RecordAddresses: true,
	}
	step := controlgroup.NextStep(v)
	if want := addressesOf(known, 1, 2, 3); step.Kind != controlgroup.StepRecord || !slices.Equal(step.Next.Addresses, want) || !slices.Equal(step.Next.Voters, v.Membership.Voters) {
		t.Errorf("nothing is recorded: %+v, want addresses %v", step, want)
	}
	repair := controlgroup.NextRepairStep(controlgroup.RepairView{Target: 3, View: v})
	if !repair.Next.Equal(step.Next) || repair.Kind != step.Kind {
		t.Errorf("repair step %+v, want %+v", repair, step)
	}

	v.Membership = step.Next
	if step := controlgroup.NextStep(v); step.Kind != controlgroup.StepNone {
		t.Errorf("all addresses are recorded: %+v", step)
	}
	v.Listed, v.Announced = ids{1, 2, 3, 4}, ids{4}
	step = controlgroup.NextStep(v)
	if want := addressesOf(known, 1, 2, 3, 4); step.Kind != controlgroup.StepAdd || !slices.Equal(step.Next.Addresses, want) {
		t.Errorf("replica 4 announced itself: %+v, want addresses %v", step, want)
	}
	v.Listed, v.Announced, v.Membership = ids{1, 2}, nil, replog.Membership{Voters: ids{1, 2, 3}, Addresses: addressesOf(known, 1, 2, 3)}
	step = controlgroup.NextStep(v)
	if want := addressesOf(known, 1, 2); step.Kind != controlgroup.StepRemove || !slices.Equal(step.Next.Addresses, want) {
		t.Errorf("replica 3 is not listed: %+v, want addresses %v", step, want)
	}
}

// Guards against an entry that members of an older version cannot decode and reject for ever.
func TestAddressesAreRecordedOnceAllMembersReadThem(t *testing.T) {
	v := controlgroup.View{
		Self: 1, Membership: replog.Membership{Voters: ids{1, 2, 3}}, Listed: ids{1, 2, 3, 4}, Announced: ids{4},
		Responsive: ids{2, 3}, Addresses: map[replog.ReplicaID]string{1: "a:1", 2: "b:1", 3: "c:1", 4: "d:1"},
	}
	if step := controlgroup.NextStep(v); step.Kind != controlgroup.StepAdd || len(step.Next.Addresses) > 0 {
		t.Errorf("%+v, want replica 4 added without addresses", step)
	}
	v.Announced = nil
	if step := controlgroup.NextStep(v); step.Kind != controlgroup.StepNone {
		t.Errorf("%+v, want no step", step)
	}
	v.Membership.Addresses = []replog.MemberAddress{{ID: 1, Address: "a:1"}}
	if step := controlgroup.NextStep(v); step.Kind != controlgroup.StepRecord || len(step.Next.Addresses) != 3 {
		t.Errorf("%+v in a group that has recorded addresses, want those of all members", step)
	}
}
