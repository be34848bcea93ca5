package replog

import (
	"cmp"
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

// Equal reports whether two memberships in the same order are the same.
func (m Membership) Equal(other Membership) bool {
	return slices.Equal(m.Voters, other.Voters) && slices.Equal(m.Learners, other.Learners) && slices.Equal(m.Addresses, other.Addresses)
}

// normalized returns a sorted copy of m.
func (m Membership) normalized() Membership {
	voters, learners, addresses := slices.Clone(m.Voters), slices.Clone(m.Learners), slices.Clone(m.Addresses)
	slices.Sort(voters)
	slices.Sort(learners)
	slices.SortFunc(addresses, func(a, b MemberAddress) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Voters: voters, Learners: learners, Addresses: addresses}
}

// membersExcept returns all members except id, in a fixed order.
func (m Membership) membersExcept(id ReplicaID) []ReplicaID {
	all := make([]ReplicaID, 0, len(m.Voters)+len(m.Learners))
	all = append(append(all, m.Voters...), m.Learners...)
	return slices.DeleteFunc(all, func(other ReplicaID) bool { return other == id })
}

// MaxAddressBytes bounds the address of a member.
const MaxAddressBytes = 255

// EncodeMembership encodes m for Entry.Data: the number of voters, the voters, the number of
// learners and the learners, all as unsigned varints. If there are addresses, their number and for
// each the id, the length and the bytes follow. Without addresses the encoding is that of versions
// that cannot decode them.
func EncodeMembership(m Membership) []byte {
	var data []byte
	for _, ids := range [][]ReplicaID{m.Voters, m.Learners} {
		data = binary.AppendUvarint(data, uint64(len(ids)))
		for _, id := range ids {
			data = binary.AppendUvarint(data, uint64(id))
		}
	}
	if len(m.Addresses) == 0 {
		return data
	}
	data = binary.AppendUvarint(data, uint64(len(m.Addresses)))
	for _, recorded := range m.Addresses {
		data = binary.AppendUvarint(data, uint64(recorded.ID))
		data = binary.AppendUvarint(data, uint64(len(recorded.Address)))
		data = append(data, recorded.Address...)
	}
	return data
}

// DecodeMembership decodes the output of EncodeMembership. Its errors wrap ErrMalformedMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	r := membershipReader{rest: data}
	m.Voters, m.Learners = r.ids(), r.ids()
	if len(r.rest) > 0 {
		m.Addresses = r.addresses()
	}
	if r.problem == "" && len(r.rest) > 0 {
		r.problem = fmt.Sprintf("%d bytes left over", len(r.rest))
	}
	if r.problem == "" {
		r.problem = m.addressProblem()
	}
	if r.problem != "" {
		return Membership{}, fmt.Errorf("%w: %s", ErrMalformedMembership, r.problem)
	}
	return m, nil
}

// membershipReader reads the parts of an encoded membership. After the first problem it reads
// nothing more.
type membershipReader struct {
	rest    []byte
	problem string
}

func (r *membershipReader) fail(problem string) {
	if r.problem == "" {
		r.problem = problem
	}
	r.rest = nil
}

func (r *membershipReader) uvarint(what string) uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.fail("bad " + what)
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *membershipReader) count() uint64 {
	count := r.uvarint("count")
	// Each element has at least one byte.
	if count > uint64(len(r.rest)) {
		r.fail("bad count")
		return 0
	}
	return count
}

func (r *membershipReader) id() ReplicaID {
	id := r.uvarint("replica id")
	if id == 0 {
		r.fail("bad replica id")
	}
	return ReplicaID(id)
}

func (r *membershipReader) ids() []ReplicaID {
	var ids []ReplicaID
	for range r.count() {
		ids = append(ids, r.id())
	}
	return ids
}

func (r *membershipReader) addresses() []MemberAddress {
	count := r.count()
	if count == 0 {
		r.fail("bad count")
	}
	var addresses []MemberAddress
	for range count {
		id, length := r.id(), r.uvarint("length")
		if length > uint64(len(r.rest)) {
			r.fail("bad length")
			return nil
		}
		addresses = append(addresses, MemberAddress{ID: id, Address: string(r.rest[:length])})
		r.rest = r.rest[length:]
	}
	return addresses
}

// addressProblem returns what is wrong with the addresses of m, or "".
func (m Membership) addressProblem() string {
	former := ReplicaID(0)
	for _, recorded := range m.Addresses {
		switch {
		case !m.Contains(recorded.ID):
			return fmt.Sprintf("address of replica %d, which is no member", recorded.ID)
		case recorded.ID <= former:
			return fmt.Sprintf("address of replica %d is not in order of the ids", recorded.ID)
		case recorded.Address == "" || len(recorded.Address) > MaxAddressBytes:
			return fmt.Sprintf("address of replica %d has %d bytes", recorded.ID, len(recorded.Address))
		}
		former = recorded.ID
	}
	return ""
}

// checkChange returns an error unless next differs from m by exactly one step: adding a learner,
// promoting a learner, removing a learner or removing a voter, or in the addresses alone. Any two
// quorums of memberships that are at most one step apart have a replica in common.
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
	addressesOnly := steps == 0 && !slices.Equal(m.Addresses, next.Addresses)
	if steps != 1 && !addressesOnly || hasDuplicates(next) {
		return fmt.Errorf("%w: %d replicas change, expected 1", ErrInvalidChange, steps)
	}
	if problem := next.addressProblem(); problem != "" {
		return fmt.Errorf("%w: %s", ErrInvalidChange, problem)
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
