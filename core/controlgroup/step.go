package controlgroup

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/replog"
)

// View is the leader's knowledge when it chooses a step.
type View struct {
	Self       replog.ReplicaID // the leader
	Membership replog.Membership
	Listed     []replog.ReplicaID // in the current cell file
	Announced  []replog.ReplicaID // replicas that announced themselves recently
	Responsive []replog.ReplicaID // followers that responded to the leader recently
	CaughtUp   []replog.ReplicaID // learners whose log is close to the leader's
	// Addresses holds the known addresses of replicas.
	Addresses map[replog.ReplicaID]string
	// RecordAddresses says that each member that was heard of lately can decode a membership with
	// addresses.
	RecordAddresses bool
}

// StepKind is the type of a step.
type StepKind string

// Types of steps.
const (
	StepNone     StepKind = ""
	StepAdd      StepKind = "add-learner"
	StepPromote  StepKind = "promote"
	StepRemove   StepKind = "remove"
	StepTransfer StepKind = "transfer" // a listed voter takes over from an unlisted leader
	StepRecord   StepKind = "record-addresses"
)

// Step is a change that affects one replica, or the recorded addresses.
type Step struct {
	Kind    StepKind
	Replica replog.ReplicaID  // 0 for StepRecord
	Next    replog.Membership // membership to propose; unused by StepTransfer
}

// NextStep returns the next step. After every step, a quorum of the voters responds.
func NextStep(v View) Step {
	for _, choose := range []func(View) Step{removeUnlistedLearner, promoteListed, addListed, removeUnlistedVoter, recordAddresses} {
		step := choose(v)
		if step.Kind == StepTransfer || step.Kind != StepNone && v.keepsQuorum(step.Next) {
			return v.withAddresses(step)
		}
	}
	return Step{}
}

// withAddresses adds the addresses of the members to a step, so that each replica that stores the
// next membership can reach all members with nothing but its log.
func (v View) withAddresses(step Step) Step {
	step.Next.Addresses = v.addressesOf(step.Next)
	return step
}

// addressesOf returns the known addresses of the members of m, or none if a member cannot decode
// them. A group that has recorded addresses once has no such member.
func (v View) addressesOf(m replog.Membership) []replog.MemberAddress {
	if !v.RecordAddresses && len(v.Membership.Addresses) == 0 {
		return nil
	}
	var addresses []replog.MemberAddress
	for _, id := range slices.Sorted(slices.Values(slices.Concat(m.Voters, m.Learners))) {
		if address := v.Addresses[id]; address != "" {
			addresses = append(addresses, replog.MemberAddress{ID: id, Address: address})
		}
	}
	return addresses
}

// recordAddresses records addresses that are new or have changed.
func recordAddresses(v View) Step {
	addresses := v.addressesOf(v.Membership)
	if len(addresses) == 0 || slices.Equal(addresses, v.Membership.Addresses) {
		return Step{}
	}
	return Step{Kind: StepRecord, Next: v.Membership}
}

// removeUnlistedLearner removes an unlisted learner. Learners have no vote, so the quorum stays the same.
func removeUnlistedLearner(v View) Step {
	for _, id := range v.Membership.Learners {
		if !slices.Contains(v.Listed, id) {
			return Step{Kind: StepRemove, Replica: id, Next: without(v.Membership, id)}
		}
	}
	return Step{}
}

func promoteListed(v View) Step {
	for _, id := range v.Membership.Learners {
		if slices.Contains(v.Listed, id) && slices.Contains(v.CaughtUp, id) {
			next := without(v.Membership, id)
			next.Voters = append(next.Voters, id)
			return Step{Kind: StepPromote, Replica: id, Next: next}
		}
	}
	return Step{}
}

func addListed(v View) Step {
	for _, id := range v.Listed {
		if slices.Contains(v.Announced, id) && !v.Membership.Contains(id) {
			next := without(v.Membership, id)
			next.Learners = append(next.Learners, id)
			return Step{Kind: StepAdd, Replica: id, Next: next}
		}
	}
	return Step{}
}

// removeUnlistedVoter removes an unlisted voter once every listed replica that has announced itself
// is a voter. Voters that do not respond are removed first.
func removeUnlistedVoter(v View) Step {
	if len(v.Membership.Voters) <= len(v.Listed) || v.hasListedNonVoter() {
		return Step{}
	}
	var found replog.ReplicaID
	for _, id := range v.Membership.Voters {
		if slices.Contains(v.Listed, id) || id == v.Self {
			continue
		}
		if found == 0 || !slices.Contains(v.Responsive, id) {
			found = id
		}
	}
	if found != 0 {
		return Step{Kind: StepRemove, Replica: found, Next: without(v.Membership, found)}
	}
	return v.transferToListed()
}

// hasListedNonVoter reports whether a listed replica that has announced itself is not yet a voter.
func (v View) hasListedNonVoter() bool {
	return slices.ContainsFunc(v.Listed, func(id replog.ReplicaID) bool {
		return slices.Contains(v.Announced, id) && !v.Membership.IsVoter(id)
	})
}

// transferToListed returns the transfer of the leadership to a listed voter if the leader itself is
// not listed.
func (v View) transferToListed() Step {
	if slices.Contains(v.Listed, v.Self) {
		return Step{}
	}
	for _, id := range v.Listed {
		if v.Membership.IsVoter(id) && slices.Contains(v.Responsive, id) {
			return Step{Kind: StepTransfer, Replica: id}
		}
	}
	return Step{}
}

// keepsQuorum reports whether the responding voters of next form a quorum.
func (v View) keepsQuorum(next replog.Membership) bool {
	responsive := 0
	for _, id := range next.Voters {
		if id == v.Self || slices.Contains(v.Responsive, id) {
			responsive++
		}
	}
	return responsive >= next.Quorum()
}

// without returns a copy of m without id.
func without(m replog.Membership, id replog.ReplicaID) replog.Membership {
	is := func(other replog.ReplicaID) bool { return other == id }
	return replog.Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), is),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), is),
	}
}
