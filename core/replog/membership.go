package replog

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// IsVoter reports whether id is a voter of m.
func (m Membership) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner of m.
func (m Membership) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner of m.
func (m Membership) Contains(id ReplicaID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the number of voters that form a quorum.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// normalized returns a sorted copy of m.
func (m Membership) normalized() Membership {
	voters, learners := slices.Clone(m.Voters), slices.Clone(m.Learners)
	slices.Sort(voters)
	slices.Sort(learners)
	return Membership{Voters: voters, Learners: learners}
}

// membersExcept returns all members except id, in a fixed order.
func (m Membership) membersExcept(id ReplicaID) []ReplicaID {
	all := make([]ReplicaID, 0, len(m.Voters)+len(m.Learners))
	all = append(append(all, m.Voters...), m.Learners...)
	return slices.DeleteFunc(all, func(other ReplicaID) bool { return other == id })
}

// EncodeMembership encodes m for Entry.Data: the number of voters, the voters, the number of
// learners and the learners, all as unsigned varints.
func EncodeMembership(m Membership) []byte {
	var data []byte
	for _, ids := range [][]ReplicaID{m.Voters, m.Learners} {
		data = binary.AppendUvarint(data, uint64(len(ids)))
		for _, id := range ids {
			data = binary.AppendUvarint(data, uint64(id))
		}
	}
	return data
}

// DecodeMembership decodes the output of EncodeMembership. Its errors wrap ErrMalformedMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	for _, ids := range []*[]ReplicaID{&m.Voters, &m.Learners} {
		count, size := binary.Uvarint(data)
		if size <= 0 || count > uint64(len(data)) {
			return Membership{}, fmt.Errorf("%w: bad count", ErrMalformedMembership)
		}
		data = data[size:]
		for range count {
			id, size := binary.Uvarint(data)
			if size <= 0 || id == 0 {
				return Membership{}, fmt.Errorf("%w: bad replica id", ErrMalformedMembership)
			}
			data = data[size:]
			*ids = append(*ids, ReplicaID(id))
		}
	}
	if len(data) > 0 {
		return Membership{}, fmt.Errorf("%w: %d bytes left over", ErrMalformedMembership, len(data))
	}
	return m, nil
}

// checkChange returns an error unless next differs from m by exactly one step: adding a learner,
// promoting a learner, removing a learner or removing a voter. Any two quorums of memberships that
// are one step apart have a replica in common.
func (m Membership) checkChange(next Membership) error {
	if len(next.Voters) == 0 {
		return fmt.Errorf("%w: no voters", ErrInvalidChange)
	}
	steps := 0
	for _, id := range memberUnion(m, next) {
		if id == 0 || next.IsVoter(id) && next.IsLearner(id) {
			return fmt.Errorf("%w: replica %d has id 0 or is both voter and learner", ErrInvalidChange, id)
		}
		if next.IsVoter(id) && !m.Contains(id) {
			return fmt.Errorf("%w: replica %d must be a learner first", ErrInvalidChange, id)
		}
		if m.IsVoter(id) && next.IsLearner(id) {
			return fmt.Errorf("%w: voter %d cannot become a learner", ErrInvalidChange, id)
		}
		if m.IsVoter(id) != next.IsVoter(id) || m.IsLearner(id) != next.IsLearner(id) {
			steps++
		}
	}
	if steps != 1 || hasDuplicates(next) {
		return fmt.Errorf("%w: %d replicas change, expected 1", ErrInvalidChange, steps)
	}
	return nil
}

func memberUnion(a, b Membership) []ReplicaID {
	ids := slices.Concat(a.Voters, a.Learners, b.Voters, b.Learners)
	slices.Sort(ids)
	return slices.Compact(ids)
}

func hasDuplicates(m Membership) bool {
	return len(memberUnion(m, m)) != len(m.Voters)+len(m.Learners)
}

// membershipRecord is a membership and the index of the entry that contains it.
type membershipRecord struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the base membership, from the snapshot or the initial configuration, and
// all memberships in the log after it, oldest first. The latest one is current whether or not it is
// committed; truncating the log restores the previous one.
type membershipHistory []membershipRecord

func (h membershipHistory) latest() membershipRecord { return h[len(h)-1] }

// at returns the membership that applies at an index of the log.
func (h membershipHistory) at(index uint64) Membership {
	found := h[0].membership
	for _, record := range h {
		if record.index <= index {
			found = record.membership
		}
	}
	return found
}

// truncateFrom drops the memberships of the entry at index and all later entries.
func (h membershipHistory) truncateFrom(index uint64) membershipHistory {
	for len(h) > 1 && h.latest().index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compactTo drops the memberships before index and makes the one that applies at index the base.
func (h membershipHistory) compactTo(index uint64) membershipHistory {
	compacted := membershipHistory{{index: index, membership: h.at(index)}}
	for _, record := range h {
		if record.index > index {
			compacted = append(compacted, record)
		}
	}
	return compacted
}
