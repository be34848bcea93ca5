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

// Times of the questions at the first start.
const (
	// A replica asks several times within the minimum election timeout, so
	// that it hears the answers before the others can form the group.
	askInterval = 50 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
)

// founding is what another initial voter said of itself.
type founding struct {
	peer   replication.Peer
	formed bool
}

// admit lets a replica with an empty folder vote, after every other initial
// voter has said that it was never in a formed group. Otherwise the folder may
// have been lost after the replica had voted with it.
func (t *task) admit(ctx context.Context) error {
	if t.admitted {
		return nil
	}
	if t.opts.Join {
		return t.admitJoin(ctx)
	}
	t.opts.Logger.Log(eventWaitsForGroup)
	if err := t.askVoters(ctx); err != nil || ctx.Err() != nil || t.stopping != nil {
		return err
	}
	t.opts.Logger.Log(eventGroupNew)
	return t.saveIdentity(ctx)
}

// saveIdentity stores the identity, again and again while the disk is full. A
// replica that ended instead would leave an id that the others know and a
// folder that it may never vote with.
func (t *task) saveIdentity(ctx context.Context) error {
	for t.stopping == nil {
		t.store.Requests() <- storage.CreateIdentity{Joined: t.joined}
		select {
		case <-ctx.Done():
			return nil
		case saved := <-t.store.Completions():
			if saved.Err == nil {
				t.admitted = true
				t.setDiskFull(false)
				t.announce()
				return nil
			}
			if !errors.Is(saved.Err, storage.ErrDiskFull) {
				return saved.Err
			}
		}
		t.setDiskFull(true)
		t.opts.Metrics.Add(metricRetries, "disk-full", 1)
		t.awaitRoom(ctx)
	}
	return nil
}

// awaitRoom answers calls until it is time to write to a full disk again.
func (t *task) awaitRoom(ctx context.Context) {
	timer := time.NewTimer(diskRetryInterval)
	defer timer.Stop()
	for t.stopping == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case c := <-t.calls:
			t.answerUnformed(c)
		case answer := <-t.announcer.Answers():
			t.learnAll(answer)
		case <-t.steps:
			// A replica without an identity takes no part in the log.
		}
	}
}

// admitJoin waits until the leader has said that the group has no member with
// this id. A member with it may have voted with a folder that was lost, and a
// new log under the same id could contradict those votes.
func (t *task) admitJoin(ctx context.Context) error {
	t.opts.Logger.Log(eventAsksToJoin)
	for t.stopping == nil {
		select {
		case <-ctx.Done():
			return nil
		case answer := <-t.announcer.Answers():
			t.learnAll(answer)
			if !answer.Known.FromLeader {
				continue
			}
			if answer.Known.Member {
				t.opts.Logger.Log(eventIDUsed, zap.Uint64("replica", uint64(t.opts.ID)))
				return ErrMustJoin
			}
			t.joined = true
			t.opts.Logger.Log(eventMayJoin)
			return t.saveIdentity(ctx)
		case c := <-t.calls:
			t.answerUnformed(c)
		case <-t.steps:
			// A replica that is no member takes no part in the log.
		}
	}
	return nil
}

func (t *task) askVoters(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := otherVoters(t.opts)
	answers := make(chan founding, len(others))
	for _, peer := range others {
		client := rpcpb.NewReplicationProtobufClient(t.opts.Scheme+"://"+peer.Address, t.client)
		go askVoter(ctx, client, peer, t.opts.FirstStart, answers)
	}
	for waiting := len(others); waiting > 0 && t.stopping == nil; {
		select {
		case <-ctx.Done():
			return nil
		case answer := <-answers:
			if answer.formed {
				t.opts.Logger.Log(eventGroupFormed, zap.Uint64("said_by", uint64(answer.peer.ID)))
				return ErrMustJoin
			}
			waiting--
		case c := <-t.calls:
			t.answerUnformed(c)
		case answer := <-t.announcer.Answers():
			t.learnAll(answer)
		case <-t.steps:
			// A replica that may not vote takes no part in the log.
		}
	}
	return nil
}

func (t *task) answerUnformed(c call) {
	switch c := c.(type) {
	case announceCall:
		t.announced(time.Now(), c)
	case statusCall:
		c.send(t.report())
	case stopCall:
		t.stop(time.Now(), c)
	default:
		c.refuse(t.notLeader())
	}
}

// askVoter repeats the question until it is answered by the right replica, or by
// one that has taken its place in the formed group. At the first start of the
// system any replica there may answer: one that has lost its disk meanwhile comes
// back under another id, and this replica cannot have voted before.
func askVoter(ctx context.Context, client rpcpb.Replication, peer replication.Peer, firstStart bool, answers chan<- founding) {
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		timed, cancel := context.WithTimeout(ctx, askTimeout)
		status, err := client.Status(timed, &rpcpb.StatusRequest{})
		cancel()
		if err == nil && (status.Formed || firstStart || status.ReplicaId == uint64(peer.ID)) {
			answers <- founding{peer: peer, formed: status.Formed}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
