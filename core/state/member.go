package state

import (
	"slices"
	"strings"

	"github.com/godwitlink/godwitlink/core/cell"
)

// removedMember is an incarnation of an entry process that was removed and may not join again.
type removedMember struct {
	name        cell.EntryName
	incarnation cell.Incarnation
}

// joinMember adds an entry process or a newer incarnation of one. The outcome of the running requests
// of the previous incarnation becomes unknown.
func (s *State) joinMember(m Member) Result {
	if m.Name == "" || max(len(m.Name), len(m.Address), len(m.Region), len(m.FailureDomain)) > maxNameBytes {
		return refuse(RefusalInvalid, "a name of the entry process is empty or longer than %d bytes", maxNameBytes)
	}
	known, joined := s.members[m.Name]
	if joined && m.Incarnation < known.Incarnation || s.wasRemoved(m.Name, m.Incarnation) {
		return refuse(RefusalStaleIncarnation, "incarnation %d of entry process %s is superseded or was removed", m.Incarnation, m.Name)
	}
	if !joined && s.config != nil && len(s.members) >= s.config.file.Cell.MaxEntries {
		// Each entry process may use 1/max_entries of the connections of a backend server.
		return refuse(RefusalTooManyMembers, "%d entry processes have joined, as many as max_entries allows", len(s.members))
	}
	if joined && m.Incarnation > known.Incarnation {
		s.markRequestsUnknown(m.Name)
	}
	s.members[m.Name] = m
	return Result{}
}

// leaveMember removes an incarnation of an entry process.
func (s *State) leaveMember(c LeaveMember) Result {
	m, joined := s.members[c.Name]
	if !joined || m.Incarnation != c.Incarnation {
		return refuse(RefusalUnknownMember, "incarnation %d of entry process %q is not a member", c.Incarnation, truncate(string(c.Name)))
	}
	s.markRequestsUnknown(c.Name)
	delete(s.members, c.Name)
	s.recordRemoval(removedMember{name: c.Name, incarnation: c.Incarnation})
	return Result{}
}

func (s *State) wasRemoved(name cell.EntryName, incarnation cell.Incarnation) bool {
	return slices.ContainsFunc(s.removedMembers, func(m removedMember) bool { return m.name == name && incarnation <= m.incarnation })
}

// recordRemoval records a removed incarnation. The list has one entry for each name.
func (s *State) recordRemoval(removed removedMember) {
	s.removedMembers = slices.DeleteFunc(s.removedMembers, func(other removedMember) bool { return other.name == removed.name })
	s.removedMembers = append(s.removedMembers, removed)
	if extra := len(s.removedMembers) - MaxRemovedMembers; extra > 0 {
		s.removedMembers = slices.Delete(s.removedMembers, 0, extra)
	}
}

// memberList returns the members, sorted by name.
func (s *State) memberList() []Member {
	members := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return members
}
