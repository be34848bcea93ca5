package replication

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

const (
	AnnounceInterval = time.Second
	// announceTimeout is shorter than AnnounceInterval, so that a call ends before the next one to
	// the same replica.
	announceTimeout = 900 * time.Millisecond
)

// Announcement is the id and address that a replica announces.
type Announcement struct {
	Peer
	Joining        bool // its data folder is empty
	ReadsAddresses bool // it can decode a membership with addresses
}

// AnnounceReply is the reply to an announcement.
type AnnounceReply struct {
	Peers []Peer
	// FromLeader means that the replying replica leads and holds its leader lease. Member is
	// valid only then.
	FromLeader bool
	Member     bool // the current membership contains the announcing replica
}

// AnnounceTargets holds the announcement of this replica and its recipients.
type AnnounceTargets struct {
	Announcement Announcement
	Addresses    []string
}

// AnnounceResult is an announcement that was sent, with the reply of the recipient.
type AnnounceResult struct {
	Announcement Announcement
	Reply        AnnounceReply
}

// Announcer announces the address of this replica to the other replicas.
type Announcer struct {
	scheme  string
	client  *http.Client
	targets chan AnnounceTargets // holds the latest targets
	results chan AnnounceResult
}

// NewAnnouncer returns an announcer. It announces nothing until Run is called.
func NewAnnouncer(scheme string, client *http.Client) *Announcer {
	return &Announcer{scheme: scheme, client: client, targets: make(chan AnnounceTargets, 1), results: make(chan AnnounceResult, MaxPeers)}
}

// SetTargets replaces the announcement and its recipients. It is called by one task and does not
// wait.
func (a *Announcer) SetTargets(targets AnnounceTargets) {
	select {
	case <-a.targets:
	default:
	}
	a.targets <- targets
}

// Results returns the channel of results. A result that finds the channel full is dropped; the
// next announcement gets another one.
func (a *Announcer) Results() <-chan AnnounceResult { return a.results }

// Run announces immediately after each change of the targets and then every AnnounceInterval,
// until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	var targets AnnounceTargets
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
func (a *Announcer) announce(ctx context.Context, targets AnnounceTargets) {
	for _, address := range targets.Addresses {
		go func() {
			reply, err := a.call(ctx, targets.Announcement, address)
			if err != nil {
				return // Sender logs unreachable replicas
			}
			select {
			case a.results <- AnnounceResult{Announcement: targets.Announcement, Reply: reply}:
			default:
			}
		}()
	}
}

func (a *Announcer) call(ctx context.Context, self Announcement, to string) (AnnounceReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	client := rpcpb.NewReplicationProtobufClient(a.scheme+"://"+to, a.client)
	response, err := client.Announce(callCtx, &rpcpb.AnnounceRequest{
		ReplicaId: uint64(self.ID), Address: self.Address, Joining: self.Joining, ReadsMemberAddresses: self.ReadsAddresses,
	})
	if err != nil {
		return AnnounceReply{}, err
	}
	reply := AnnounceReply{FromLeader: response.FromLeader, Member: response.Member}
	for _, replica := range response.Replicas[:min(len(response.Replicas), MaxPeers)] {
		if peer, ok := decodePeer(replica.Id, replica.Address); ok {
			reply.Peers = append(reply.Peers, peer)
		}
	}
	return reply, nil
}

// decodePeer returns the peer and whether its id and address are valid.
func decodePeer(id uint64, address string) (Peer, bool) {
	at, err := netip.ParseAddrPort(address)
	ok := err == nil && at.Port() != 0 && !at.Addr().IsUnspecified() && id != 0
	return Peer{ID: replog.ReplicaID(id), Address: address}, ok
}
