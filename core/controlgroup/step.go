package controlgroup

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/replog"
)

// View is what the leader knows when it decides.
type View struct {
	Self       replog.ReplicaID // the leader
	Membership replog.Membership
	Listed     []replog.ReplicaID // by the file in force
	Announced  []replog.ReplicaID // announced themselves recently
	Answering  []replog.ReplicaID // followers that answered the leader recently
	CaughtUp   []replog.ReplicaID // learners whose log is close to the leader's
}

// Kind says what a step does.
type Kind string

// Kinds of steps.
const (
	StepNone     Kind = ""
	StepAdd      Kind = "add-learner"
	StepPromote  Kind = "promote"
	StepRemove   Kind = "remove"
	StepTransfer Kind = "transfer" // the leader is not listed: another one takes over first
)

// Step is one change of one replica.
type Step struct {
	Kind    Kind
	Replica replog.ReplicaID
	Next    replog.Membership // to propose; unused by StepTransfer
}

// Next returns the step to take now. Every step leaves a quorum of answering
// voters.
func Next(v View) Step {
	for _, choose := range []func(View) Step{removeLearner, promote, add, removeVoter} {
		step := choose(v)
		if step.Kind == StepTransfer || step.Kind != StepNone && v.keepsQuorum(step.Next) {
			return step
		}
	}
	return Step{}
}

// removeLearner drops a learner that is not listed. It has no vote.
func removeLearner(v View) Step {
	for _, id := range v.Membership.Learners {
		if !slices.Contains(v.Listed, id) {
			return Step{Kind: StepRemove, Replica: id, Next: without(v.Membership, id)}
		}
	}
	return Step{}
}

func promote(v View) Step {
	for _, id := range v.Membership.Learners {
		if slices.Contains(v.Listed, id) && slices.Contains(v.CaughtUp, id) {
			next := without(v.Membership, id)
			next.Voters = append(next.Voters, id)
			return Step{Kind: StepPromote, Replica: id, Next: next}
		}
	}
	return Step{}
}

func add(v View) Step {
	for _, id := range v.Listed {
		if slices.Contains(v.Announced, id) && !v.Membership.Contains(id) {
			next := without(v.Membership, id)
			next.Learners = append(next.Learners, id)
			return Step{Kind: StepAdd, Replica: id, Next: next}
		}
	}
	return Step{}
}

// removeVoter drops a voter that is not listed once every listed replica that
// announced itself is a voter. Voters that do not answer go first.
func removeVoter(v View) Step {
	if len(v.Membership.Voters) <= len(v.Listed) || v.awaitsListed() {
		return Step{}
	}
	var found replog.ReplicaID
	for _, id := range v.Membership.Voters {
		if slices.Contains(v.Listed, id) || id == v.Self {
			continue
		}
		if found == 0 || !slices.Contains(v.Answering, id) {
			found = id
		}
	}
	if found != 0 {
		return Step{Kind: StepRemove, Replica: found, Next: without(v.Membership, found)}
	}
	return v.transfer()
}

// awaitsListed reports whether a listed replica that announced itself is not
// yet a voter.
func (v View) awaitsListed() bool {
	return slices.ContainsFunc(v.Listed, func(id replog.ReplicaID) bool {
		return slices.Contains(v.Announced, id) && !v.Membership.IsVoter(id)
	})
}

// transfer hands the leadership to a listed voter where the leader itself is
// the one to remove.
func (v View) transfer() Step {
	if slices.Contains(v.Listed, v.Self) {
		return Step{}
	}
	for _, id := range v.Listed {
		if v.Membership.IsVoter(id) && slices.Contains(v.Answering, id) {
			return Step{Kind: StepTransfer, Replica: id}
		}
	}
	return Step{}
}

// keepsQuorum reports whether the voters of next that answer are a quorum.
func (v View) keepsQuorum(next replog.Membership) bool {
	answering := 0
	for _, id := range next.Voters {
		if id == v.Self || slices.Contains(v.Answering, id) {
			answering++
		}
	}
	return answering >= next.Quorum()
}

// without returns a copy of m that lacks id.
func without(m replog.Membership, id replog.ReplicaID) replog.Membership {
	is := func(other replog.ReplicaID) bool { return other == id }
	return replog.Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), is),
	}
}
