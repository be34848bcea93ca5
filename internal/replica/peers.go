package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/replication"
)

// announcedFor is how long a replica counts as announced after its last
// announcement: a few lost calls do not matter.
const announcedFor = 5 * replication.AnnounceInterval

// unreachableAfter is the number of housekeeping rounds after which a member
// without a known address is logged. A replica that has just started learns
// the addresses with the first announcements.
const unreachableAfter = 3

// peers is what the replica task knows of where other replicas listen.
type peers struct {
	self      replication.Peer
	settings  map[replog.ReplicaID]bool // their addresses never change
	addresses map[replog.ReplicaID]string
	announced map[replog.ReplicaID]time.Time // last announcement
	// firstHeard is the first announcement of a replica.
	firstHeard map[replog.ReplicaID]time.Time
	missing    map[replog.ReplicaID]int // housekeeping rounds without an address
}

func newPeers(opts Options) peers {
	p := peers{
		self:     replication.Peer{ID: opts.ID, Address: opts.Address},
		settings: map[replog.ReplicaID]bool{}, addresses: map[replog.ReplicaID]string{},
		announced: map[replog.ReplicaID]time.Time{}, firstHeard: map[replog.ReplicaID]time.Time{}, missing: map[replog.ReplicaID]int{},
	}
	for _, peer := range opts.Voters {
		p.settings[peer.ID] = true
		p.addresses[peer.ID] = peer.Address
		if peer.ID == opts.ID {
			p.self = peer
		}
	}
	p.addresses[p.self.ID] = p.self.Address
	return p
}

// list returns the known replicas by id, this one included.
func (p *peers) list() []replication.Peer {
	var all []replication.Peer
	for id, address := range p.addresses {
		all = append(all, replication.Peer{ID: id, Address: address})
	}
	slices.SortFunc(all, func(a, b replication.Peer) int { return int(a.ID) - int(b.ID) })
	return all
}

// recent returns the replicas that announced themselves a short time ago.
func (p *peers) recent(now time.Time) []replog.ReplicaID {
	var ids []replog.ReplicaID
	for id, at := range p.announced {
		if now.Sub(at) < announcedFor {
			ids = append(ids, id)
		}
	}
	return ids
}

// learn takes the address of another replica. One that the replica itself
// announced replaces what others said of it.
func (t *task) learn(peer replication.Peer, announced bool) bool {
	known, ok := t.peers.addresses[peer.ID]
	if ok && (known == peer.Address || t.peers.settings[peer.ID] || peer.ID == t.opts.ID || !announced) {
		return true
	}
	if !t.sender.SetPeer(peer) {
		t.opts.Logger.Log(eventTooManyPeers, zap.Uint64("replica", uint64(peer.ID)))
		return false
	}
	t.peers.addresses[peer.ID] = peer.Address
	t.opts.Logger.Log(eventPeerLearned, zap.Uint64("replica", uint64(peer.ID)), zap.String("address", peer.Address))
	t.announce()
	return true
}

// announced answers another replica's announcement. A replica with an empty
// folder is answered but not remembered: the leader must not add it before it
// has heard that it may join.
func (t *task) announced(now time.Time, c announceCall) {
	if !c.from.Joining && c.from.ID != t.opts.ID && t.learn(c.from.Peer, true) {
		t.peers.announced[c.from.ID] = now
		if _, known := t.peers.firstHeard[c.from.ID]; !known {
			t.peers.firstHeard[c.from.ID] = now
		}
	}
	c.send(replication.Known{
		Peers:      t.peers.list(),
		FromLeader: t.leading != nil && t.status.HoldsLease(now),
		Member:     t.status.Membership.Contains(c.from.ID),
	})
}

// learnAll takes what another replica answered to an announcement.
func (t *task) learnAll(answer replication.Answer) {
	for _, peer := range answer.Known.Peers {
		t.learn(peer, false)
	}
}

// announce tells the announcer what to say and to whom.
func (t *task) announce() {
	others := slices.DeleteFunc(t.peers.list(), func(peer replication.Peer) bool { return peer.ID == t.opts.ID })
	t.announcer.SetTargets(replication.Targets{
		Self:  replication.Announcement{Peer: t.peers.self, Joining: !t.admitted},
		Peers: others,
	})
}

// checkAddresses logs the members that this replica cannot send to.
func (t *task) checkAddresses() {
	members := slices.Concat(t.status.Membership.Voters, t.status.Membership.Learners)
	for _, id := range members {
		if _, ok := t.peers.addresses[id]; ok {
			delete(t.peers.missing, id)
			continue
		}
		t.peers.missing[id]++
		if t.peers.missing[id] == unreachableAfter {
			t.opts.Logger.Log(eventNoAddress, zap.Uint64("replica", uint64(id)))
		}
	}
}
