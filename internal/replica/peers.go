package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/replication"
)

const (
	// announcementTTL is how long a replica counts as announced after its last announcement. It
	// tolerates a few lost calls.
	announcementTTL = 5 * replication.AnnounceInterval
	// reportTTL is how long the address of a replica is kept that is no member, after a replica has
	// last passed it on. It outlasts announcementTTL, during which other replicas pass it on.
	reportTTL = 2 * announcementTTL
)

// maxRoundsWithoutAddress is the number of housekeeping rounds after which a member without a
// known address is logged. A replica that has just started learns the addresses from the first
// announcements.
const maxRoundsWithoutAddress = 3

// peers holds the addresses of the replicas, and what was passed on to the tasks that send to them.
type peers struct {
	self      replication.Peer
	directory *controlgroup.Directory
	sending   []replication.Peer // peers of the sender, by id
	// roundsWithoutAddress counts the housekeeping rounds in which a member had no address.
	roundsWithoutAddress map[replog.ReplicaID]int
}

func newPeers(opts Options) peers {
	self := replication.Peer{ID: opts.ID, Address: opts.Address}
	for _, peer := range opts.Voters {
		if peer.ID == opts.ID {
			self = peer
		}
	}
	limits := controlgroup.DirectoryOptions{Limit: replication.MaxPeers, AnnounceTTL: announcementTTL, ReportTTL: reportTTL}
	directory := controlgroup.NewDirectory(limits, self, opts.Voters)
	directory.SetContacts(opts.Contacts)
	return peers{
		self: self, directory: directory,
		sending: otherVoters(opts), roundsWithoutAddress: map[replog.ReplicaID]int{},
	}
}

// handleAnnouncement answers another replica's announcement. A replica with an empty folder gets
// an answer but is not remembered: the leader must not add the replica before the replica has
// learned that it may join.
func (t *task) handleAnnouncement(now time.Time, c announceCall) {
	if !c.from.Joining {
		t.peerLearned(now, c.from.Peer, t.peers.directory.Announce(now, c.from.Peer, c.from.ReadsAddresses))
	}
	c.send(replication.AnnounceReply{
		Peers:      t.peers.directory.Shared(now),
		FromLeader: t.leader != nil && t.status.HoldsLease(now),
		Member:     t.status.Membership.Contains(c.from.ID),
	})
}

func (t *task) handleContacts(c contactsCall) {
	t.peers.directory.SetContacts(c.addresses)
	t.updateAnnouncer()
	c.send(struct{}{})
}

// learnPeers stores the addresses that another replica returned for an announcement.
func (t *task) learnPeers(now time.Time, result replication.AnnounceResult) {
	for _, peer := range result.Reply.Peers {
		t.peerLearned(now, peer, t.peers.directory.Report(now, peer))
	}
}

// peerLearned passes the address of a replica on if it is new.
func (t *task) peerLearned(now time.Time, peer replication.Peer, result controlgroup.LearnResult) {
	switch result {
	case controlgroup.LearnRefused:
		t.opts.Logger.Log(eventTooManyPeers, zap.Uint64("replica", uint64(peer.ID)), zap.String("address", peer.Address))
	case controlgroup.LearnChanged:
		t.logLearned(peer, "announcement")
		t.peers.directory.Forget(now)
		t.updatePeers()
	}
}

func (t *task) logLearned(peer replication.Peer, source string) {
	t.opts.Logger.Log(eventPeerAddressLearned, zap.Uint64("replica", uint64(peer.ID)), zap.String("address", peer.Address), zap.String("source", source))
}

// followMembership adopts the membership in the log and the addresses in it.
func (t *task) followMembership() {
	adopted := t.peers.directory.SetMembers(t.status.Membership)
	for _, peer := range adopted {
		t.logLearned(peer, "membership")
	}
	if len(adopted) > 0 {
		t.updatePeers()
	}
}

// updatePeers makes the sender and the announcer follow the directory.
func (t *task) updatePeers() {
	known := slices.DeleteFunc(t.peers.directory.Peers(), func(peer replication.Peer) bool { return peer.ID == t.opts.ID })
	former := t.peers.sending
	for _, dropped := range former {
		if !slices.ContainsFunc(known, func(peer replication.Peer) bool { return peer.ID == dropped.ID }) {
			t.sender.RemovePeer(dropped.ID)
			t.opts.Logger.Log(eventPeerForgotten, zap.Uint64("replica", uint64(dropped.ID)), zap.String("address", dropped.Address))
		}
	}
	t.peers.sending = nil
	for _, peer := range known {
		if slices.Contains(former, peer) || t.sender.SetPeer(peer) {
			t.peers.sending = append(t.peers.sending, peer)
		}
	}
	t.updateAnnouncer()
}

// updateAnnouncer updates the announcement and its recipients.
func (t *task) updateAnnouncer() {
	t.announcer.SetTargets(replication.AnnounceTargets{
		Announcement: replication.Announcement{Peer: t.peers.self, Joining: !t.hasIdentity, ReadsAddresses: true},
		Addresses:    t.peers.directory.AnnounceTo(),
	})
}

// reportMissingAddresses counts the members whose address this replica does not know, and logs those
// that stay unknown.
func (t *task) reportMissingAddresses() {
	former := t.peers.roundsWithoutAddress
	t.peers.roundsWithoutAddress = map[replog.ReplicaID]int{}
	for _, id := range slices.Concat(t.status.Membership.Voters, t.status.Membership.Learners) {
		if t.peers.directory.Address(id) != "" {
			continue
		}
		rounds := former[id] + 1
		t.peers.roundsWithoutAddress[id] = rounds
		if rounds == maxRoundsWithoutAddress {
			t.opts.Logger.Log(eventMemberWithoutAddress, zap.Uint64("replica", uint64(id)))
		}
	}
	t.opts.Metrics.SetGauge(metricMembersWithoutAddress, float64(len(t.peers.roundsWithoutAddress)))
}
