package membership

import (
	"sort"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// Peers tracks the other entry processes and the position up to which their announcements have been
// pulled.
type Peers struct {
	self  cell.EntryName
	peers map[cell.EntryName]*peer
}

type peer struct {
	member      state.Member
	incarnation cell.Incarnation // incarnation that issued cursor
	cursor      uint64
}

// NewPeers returns an empty set of peers for the entry process self.
func NewPeers(self cell.EntryName) *Peers {
	return &Peers{self: self, peers: map[cell.EntryName]*peer{}}
}

// Set replaces the set of peers and keeps the cursors of those that remain. A member with an older
// incarnation than the known one is ignored.
func (p *Peers) Set(members []state.Member) {
	next := map[cell.EntryName]*peer{}
	for _, m := range members {
		if m.Name == p.self {
			continue
		}
		known := p.peers[m.Name]
		if known == nil {
			known = &peer{member: m}
		}
		if m.Incarnation >= known.member.Incarnation {
			known.member = m
		}
		next[m.Name] = known
	}
	p.peers = next
}

// Members returns the peers sorted by name.
func (p *Peers) Members() []state.Member {
	members := make([]state.Member, 0, len(p.peers))
	for _, known := range p.peers {
		members = append(members, known.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Cursor returns the incarnation and the cursor for the next pull from a peer.
func (p *Peers) Cursor(name cell.EntryName) (cell.Incarnation, uint64) {
	known := p.peers[name]
	if known == nil {
		return 0, 0
	}
	return known.incarnation, known.cursor
}

// Advance records the cursor that a peer returned. A response from an older incarnation is ignored.
func (p *Peers) Advance(name cell.EntryName, incarnation cell.Incarnation, cursor uint64) {
	known := p.peers[name]
	if known == nil || incarnation < known.incarnation {
		return
	}
	known.incarnation, known.cursor = incarnation, cursor
}
