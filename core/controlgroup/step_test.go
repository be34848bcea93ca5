package controlgroup_test

import (
	"fmt"
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
	// Output: add-learner 4 {[1 2 3] [4]}
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
