package replication

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Times of announcements.
const (
	AnnounceInterval = time.Second
	// announceTimeout is shorter than AnnounceInterval, so that a call ends before the next one to
	// the same replica.
	announceTimeout = 900 * time.Millisecond
)

// Announcement is the address that a replica announces.
type Announcement struct {
	Peer
	Joining bool // its data folder is empty
}

// Known is the answer to an announcement.
type Known struct {
	Peers []Peer
	// FromLeader means that the answering replica leads and holds its leader lease. Member is
	// valid only then.
	FromLeader bool
	Member     bool // the current membership contains the announcing replica
}

// Targets holds the announcement of this replica and its recipients.
type Targets struct {
	Self  Announcement
	Peers []Peer
}

// Answer is an announcement that was sent, with the answer of the recipient.
type Answer struct {
	Said  Announcement
	Known Known
}

// Announcer announces the address of this replica to the other replicas.
type Announcer struct {
	scheme  string
	client  *http.Client
	targets chan Targets // holds the latest targets
	answers chan Answer
}

// NewAnnouncer returns an announcer. It announces nothing until Run is called.
func NewAnnouncer(scheme string, client *http.Client) *Announcer {
	return &Announcer{scheme: scheme, client: client, targets: make(chan Targets, 1), answers: make(chan Answer, MaxPeers)}
}

// SetTargets replaces the announcement and its recipients. It is called by one task and does not
// wait.
func (a *Announcer) SetTargets(targets Targets) {
	select {
	case <-a.targets:
	default:
	}
	a.targets <- targets
}

// Answers returns the channel of answers. An answer that finds the channel full is dropped; the
// next announcement requests it again.
func (a *Announcer) Answers() <-chan Answer { return a.answers }

// Run announces immediately after each change of the targets and then every AnnounceInterval,
// until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	var targets Targets
	for {
		select {
		case <-ctx.Done():
			return
		case targets = <-a.targets:
		case <-ticker.C:
		}
		a.announce(ctx, targets)
	}
}

// announce starts a call to each recipient. The calls end by their timeout or with ctx.
func (a *Announcer) announce(ctx context.Context, targets Targets) {
	for _, peer := range targets.Peers {
		go func() {
			known, err := a.call(ctx, targets.Self, peer)
			if err != nil {
				return // Sender logs unreachable replicas
			}
			select {
			case a.answers <- Answer{Said: targets.Self, Known: known}:
			default:
			}
		}()
	}
}

func (a *Announcer) call(ctx context.Context, self Announcement, to Peer) (Known, error) {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client := rpcpb.NewReplicationProtobufClient(a.scheme+"://"+to.Address, a.client)
	response, err := client.Announce(callCtx, &rpcpb.AnnounceRequest{
		ReplicaId: uint64(self.ID), Address: self.Address, Joining: self.Joining,
	})
	if err != nil {
		return Known{}, err
	}
	known := Known{FromLeader: response.FromLeader, Member: response.Member}
	for _, replica := range response.Replicas[:min(len(response.Replicas), MaxPeers)] {
		if peer, ok := decodePeer(replica.Id, replica.Address); ok {
			known.Peers = append(known.Peers, peer)
		}
	}
	return known, nil
}

// decodePeer returns the peer and whether its id and address are valid.
func decodePeer(id uint64, address string) (Peer, bool) {
	at, err := netip.ParseAddrPort(address)
	ok := err == nil && at.Port() != 0 && !at.Addr().IsUnspecified() && id != 0
	return Peer{ID: replog.ReplicaID(id), Address: address}, ok
}
