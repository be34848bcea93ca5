package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/replication"
)

// announcementTTL is how long a replica counts as announced after its last announcement. It
// tolerates a few lost calls.
const announcementTTL = 5 * replication.AnnounceInterval

// maxRoundsWithoutAddress is the number of housekeeping rounds after which a member without a
// known address is logged. A replica that has just started learns the addresses from the first
// announcements.
const maxRoundsWithoutAddress = 3

// peers holds the addresses of the other replicas.
type peers struct {
	self           replication.Peer
	configured     map[replog.ReplicaID]bool // replicas in the settings, whose addresses never change
	addresses      map[replog.ReplicaID]string
	lastAnnounced  map[replog.ReplicaID]time.Time
	firstAnnounced map[replog.ReplicaID]time.Time
	// roundsWithoutAddress counts the housekeeping rounds in which a member had no address.
	roundsWithoutAddress map[replog.ReplicaID]int
}

func newPeers(opts Options) peers {
	p := peers{
		self:       replication.Peer{ID: opts.ID, Address: opts.Address},
		configured: map[replog.ReplicaID]bool{}, addresses: map[replog.ReplicaID]string{},
		lastAnnounced: map[replog.ReplicaID]time.Time{}, firstAnnounced: map[replog.ReplicaID]time.Time{}, roundsWithoutAddress: map[replog.ReplicaID]int{},
	}
	for _, peer := range opts.Voters {
		p.configured[peer.ID] = true
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

// recentlyAnnounced returns the replicas that announced themselves within announcementTTL.
func (p *peers) recentlyAnnounced(now time.Time) []replog.ReplicaID {
	var ids []replog.ReplicaID
	for id, at := range p.lastAnnounced {
		if now.Sub(at) < announcementTTL {
			ids = append(ids, id)
		}
	}
	return ids
}

// learnPeer stores the address of another replica. An address that the replica announced itself
// replaces one that other replicas reported. It returns false if the peer could not be added.
func (t *task) learnPeer(peer replication.Peer, announced bool) bool {
	known, ok := t.peers.addresses[peer.ID]
	if ok && (known == peer.Address || t.peers.configured[peer.ID] || peer.ID == t.opts.ID || !announced) {
		return true
	}
	if !t.sender.SetPeer(peer) {
		t.opts.Logger.Log(eventTooManyPeers, zap.Uint64("replica", uint64(peer.ID)))
		return false
	}
	t.peers.addresses[peer.ID] = peer.Address
	t.opts.Logger.Log(eventPeerAddressLearned, zap.Uint64("replica", uint64(peer.ID)), zap.String("address", peer.Address))
	t.updateAnnouncer()
	return true
}

// handleAnnouncement answers another replica's announcement. A replica with an empty folder gets
// an answer but is not remembered: the leader must not add the replica before the replica has
// learned that it may join.
func (t *task) handleAnnouncement(now time.Time, c announceCall) {
	if !c.from.Joining && c.from.ID != t.opts.ID && t.learnPeer(c.from.Peer, true) {
		t.peers.lastAnnounced[c.from.ID] = now
		if _, known := t.peers.firstAnnounced[c.from.ID]; !known {
			t.peers.firstAnnounced[c.from.ID] = now
		}
	}
	c.send(replication.AnnounceReply{
		Peers:      t.peers.list(),
		FromLeader: t.leader != nil && t.status.HoldsLease(now),
		Member:     t.status.Membership.Contains(c.from.ID),
	})
}

// learnPeers stores the addresses that another replica returned for an announcement.
func (t *task) learnPeers(result replication.AnnounceResult) {
	for _, peer := range result.Reply.Peers {
		t.learnPeer(peer, false)
	}
}

// updateAnnouncer updates the announcement and its recipients.
func (t *task) updateAnnouncer() {
	others := slices.DeleteFunc(t.peers.list(), func(peer replication.Peer) bool { return peer.ID == t.opts.ID })
	t.announcer.SetTargets(replication.AnnounceTargets{
		Announcement: replication.Announcement{Peer: t.peers.self, Joining: !t.hasIdentity},
		Peers:        others,
	})
}

// logMissingAddresses logs the members whose address this replica does not know.
func (t *task) logMissingAddresses() {
	members := slices.Concat(t.status.Membership.Voters, t.status.Membership.Learners)
	for _, id := range members {
		if _, ok := t.peers.addresses[id]; ok {
			delete(t.peers.roundsWithoutAddress, id)
			continue
		}
		t.peers.roundsWithoutAddress[id]++
		if t.peers.roundsWithoutAddress[id] == maxRoundsWithoutAddress {
			t.opts.Logger.Log(eventMemberWithoutAddress, zap.Uint64("replica", uint64(id)))
		}
	}
}
