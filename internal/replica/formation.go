package replica

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Times of the queries to the other initial voters at the first start.
const (
	// A replica queries several times within the minimum election timeout, so that it gets the
	// responses before the others can form the group.
	queryInterval = 50 * time.Millisecond
	queryTimeout  = 300 * time.Millisecond
)

// voterReply is the response of another initial voter.
type voterReply struct {
	peer   replication.Peer
	formed bool
}

// acquireIdentity lets a replica with an empty folder vote, once every other initial voter has
// reported that it was never in a formed group. If the group was formed before, this replica may
// have voted in it and lost its folder afterwards.
func (t *task) acquireIdentity(ctx context.Context) error {
	if t.hasIdentity {
		return nil
	}
	if t.opts.Join {
		return t.acquireJoinIdentity(ctx)
	}
	t.opts.Logger.Log(eventWaitingForVoters)
	if err := t.queryVoters(ctx); err != nil || ctx.Err() != nil || t.stopping != nil {
		return err
	}
	t.opts.Logger.Log(eventGroupUnformed)
	return t.saveIdentity(ctx)
}

// saveIdentity stores the identity and retries while the disk is full. Ending the process instead
// would leave an id that the other replicas know and a folder that can never be used to vote.
func (t *task) saveIdentity(ctx context.Context) error {
	for t.stopping == nil {
		t.store.Requests() <- storage.CreateIdentity{Joined: t.joined}
		select {
		case <-ctx.Done():
			return nil
		case saved := <-t.store.Completions():
			if saved.Err == nil {
				t.hasIdentity = true
				t.setDiskFull(false)
				t.updateAnnouncer()
				return nil
			}
			if !errors.Is(saved.Err, storage.ErrDiskFull) {
				return saved.Err
			}
		}
		t.setDiskFull(true)
		t.opts.Metrics.Add(metricRetries, "disk-full", 1)
		t.awaitDiskRetry(ctx)
	}
	return nil
}

// awaitDiskRetry answers calls until the next attempt to write to a full disk.
func (t *task) awaitDiskRetry(ctx context.Context) {
	timer := time.NewTimer(diskRetryInterval)
	defer timer.Stop()
	for t.stopping == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case c := <-t.calls:
			t.handleBeforeStart(c)
		case result := <-t.announcer.Results():
			t.learnPeers(time.Now(), result)
		case <-t.logMessages:
			// A replica without an identity ignores messages of the log.
		}
	}
}

// acquireJoinIdentity waits until the leader has reported that the group has no member with this
// id. Such a member may have voted before its folder was lost, and a new log under the same id
// could contradict those votes.
func (t *task) acquireJoinIdentity(ctx context.Context) error {
	t.opts.Logger.Log(eventJoinRequested)
	for t.stopping == nil {
		select {
		case <-ctx.Done():
			return nil
		case result := <-t.announcer.Results():
			t.learnPeers(time.Now(), result)
			if !result.Reply.FromLeader {
				continue
			}
			if result.Reply.Member {
				t.opts.Logger.Log(eventIDInUse, zap.Uint64("replica", uint64(t.opts.ID)))
				return ErrMustJoin
			}
			t.joined = true
			t.opts.Logger.Log(eventJoinPermitted)
			return t.saveIdentity(ctx)
		case c := <-t.calls:
			t.handleBeforeStart(c)
		case <-t.logMessages:
			// A replica that is not a member ignores messages of the log.
		}
	}
	return nil
}

func (t *task) queryVoters(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := otherVoters(t.opts)
	answers := make(chan voterReply, len(others))
	for _, peer := range others {
		client := rpcpb.NewReplicationProtobufClient(t.opts.Scheme+"://"+peer.Address, t.client)
		go queryVoter(ctx, client, peer, t.opts.FirstStart, answers)
	}
	for remaining := len(others); remaining > 0 && t.stopping == nil; {
		select {
		case <-ctx.Done():
			return nil
		case answer := <-answers:
			if answer.formed {
				t.opts.Logger.Log(eventGroupFormed, zap.Uint64("said_by", uint64(answer.peer.ID)))
				return ErrMustJoin
			}
			remaining--
		case c := <-t.calls:
			t.handleBeforeStart(c)
		case result := <-t.announcer.Results():
			t.learnPeers(time.Now(), result)
		case <-t.logMessages:
			// A replica that may not vote ignores messages of the log.
		}
	}
	return nil
}

func (t *task) handleBeforeStart(c call) {
	switch c := c.(type) {
	case announceCall:
		t.handleAnnouncement(time.Now(), c)
	case contactsCall:
		t.handleContacts(c)
	case statusCall:
		c.send(t.report())
	case stopCall:
		t.handleStop(time.Now(), c)
	default:
		c.refuse(t.notLeaderError())
	}
}

// queryVoter repeats the query until the expected replica answers, or a replica that has replaced
// it in the formed group. At the first start of the system any replica at the address may answer:
// a replica that has lost its disk meanwhile returns under another id, and the querying replica
// cannot have voted before.
func queryVoter(ctx context.Context, client rpcpb.Replication, peer replication.Peer, firstStart bool, answers chan<- voterReply) {
	ticker := time.NewTicker(queryInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		status, err := client.Status(callCtx, &rpcpb.StatusRequest{})
		cancel()
		if err == nil && (status.Formed || firstStart || status.ReplicaId == uint64(peer.ID)) {
			answers <- voterReply{peer: peer, formed: status.Formed}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
