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
	// announceTimeout ends a call before the next one to the same replica.
	announceTimeout = 900 * time.Millisecond
)

// Announcement is what a replica says of itself.
type Announcement struct {
	Peer
	Joining bool // its data folder is empty
}

// Known is the answer to an announcement.
type Known struct {
	Peers []Peer
	// FromLeader is set where the answering replica leads and holds its leader
	// lease. Only then does Member count.
	FromLeader bool
	Member     bool // the membership in force contains the announcing replica
}

// Targets are what an Announcer says, and to whom.
type Targets struct {
	Self  Announcement
	Peers []Peer
}

// Answer is the answer to an announcement that was sent.
type Answer struct {
	Said  Announcement
	Known Known
}

// Announcer tells the other replicas where this one listens.
type Announcer struct {
	scheme  string
	client  *http.Client
	targets chan Targets // the latest one counts
	answers chan Answer
}

// NewAnnouncer returns an announcer. Run must be called for it to announce.
func NewAnnouncer(scheme string, client *http.Client) *Announcer {
	return &Announcer{scheme: scheme, client: client, targets: make(chan Targets, 1), answers: make(chan Answer, MaxPeers)}
}

// SetTargets replaces what is announced and to whom. It is called by one task
// and does not wait.
func (a *Announcer) SetTargets(targets Targets) {
	select {
	case <-a.targets:
	default:
	}
	a.targets <- targets
}

// Answers carries the answers. One that finds the channel full is dropped: the
// next announcement gets it again.
func (a *Announcer) Answers() <-chan Answer { return a.answers }

// Run announces at once after each change of the targets, and then every
// AnnounceInterval, until ctx ends.
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

// announce starts a call to each replica. The calls end by their time-out, or
// with ctx.
func (a *Announcer) announce(ctx context.Context, targets Targets) {
	for _, peer := range targets.Peers {
		go func() {
			known, err := a.call(ctx, targets.Self, peer)
			if err != nil {
				return // the sender logs replicas that cannot be reached
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

// decodePeer reports whether id and address can be those of a replica.
func decodePeer(id uint64, address string) (Peer, bool) {
	at, err := netip.ParseAddrPort(address)
	ok := err == nil && at.Port() != 0 && !at.Addr().IsUnspecified() && id != 0
	return Peer{ID: replog.ReplicaID(id), Address: address}, ok
}
