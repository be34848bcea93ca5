package membership

import (
	"sort"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// Peers holds the other entry processes and how far their announcements have
// been pulled.
type Peers struct {
	self  cell.EntryName
	peers map[cell.EntryName]*peer
}

type peer struct {
	member      state.Member
	incarnation cell.Incarnation // that cursor belongs to
	cursor      uint64
}

// NewPeers returns the peers of an entry process, none so far.
func NewPeers(self cell.EntryName) *Peers {
	return &Peers{self: self, peers: map[cell.EntryName]*peer{}}
}

// Set replaces the members. Cursors of members that remain are kept; an older
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

// Cursor returns what to ask a peer with.
func (p *Peers) Cursor(name cell.EntryName) (cell.Incarnation, uint64) {
	known := p.peers[name]
	if known == nil {
		return 0, 0
	}
	return known.incarnation, known.cursor
}

// Advance records the answer of a peer. An answer of an older incarnation is
// ignored.
func (p *Peers) Advance(name cell.EntryName, incarnation cell.Incarnation, cursor uint64) {
	known := p.peers[name]
	if known == nil || incarnation < known.incarnation {
		return
	}
	known.incarnation, known.cursor = incarnation, cursor
}
