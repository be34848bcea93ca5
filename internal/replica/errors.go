package replica

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Errors of a replica and of calls to it.
var (
	// ErrOverloaded is returned if too many calls are waiting.
	ErrOverloaded = merry.Sentinel("too many calls are waiting")
	// ErrDiskFull is returned for commands while the disk of the leader is full.
	ErrDiskFull = merry.Sentinel("the disk of the control replica is full")
	// ErrLogFull is returned for commands while the log of the leader is near its size limit.
	ErrLogFull = merry.Sentinel("the log of the control replica has no room until its next snapshot")
	// ErrOutcomeUnknown means that the command may or may not be committed.
	ErrOutcomeUnknown = merry.Sentinel("the outcome of the command is unknown")
	// ErrMalformed is returned for a call that cannot be decoded and for a command that callers
	// may not propose.
	ErrMalformed = merry.Sentinel("malformed call")
	// ErrStopped is returned by a replica that has stopped.
	ErrStopped = merry.Sentinel("the control replica has stopped")
	// ErrNoClock means that a suspension of the machine cannot be noticed.
	ErrNoClock = merry.Sentinel("the control replica cannot read its clocks")
	// ErrUnknownCommand stops a replica whose log contains a command that this version of the
	// program cannot decode.
	ErrUnknownCommand = merry.Sentinel("a committed command cannot be decoded")
	// ErrMustJoin stops a replica whose data folder is empty although the group has been formed.
	// The replica may have voted before its folder was lost.
	ErrMustJoin = merry.Sentinel("the group was formed before and the data folder is empty: the replica must join under a new id")
	// ErrNotInitialVoter stops a replica whose data folder belongs to an initial voter of the group
	// but whose settings do not list it as one.
	ErrNotInitialVoter = merry.Sentinel("the data folder is of an initial voter, but the settings do not list it as one")
)

// NotLeaderError is returned for a call that only the leader answers. No part of the call was
// carried out.
type NotLeaderError struct {
	Leader string // address of the leader; empty if unknown
}

// Error includes the address of the leader if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, none is known"
	}
	return "not the leader, which is " + e.Leader
}

// errorReason returns the code of an error for metrics and for the metadata of error responses.
func errorReason(err error) string {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return "not-leader"
	case errors.Is(err, ErrOverloaded):
		return "overloaded"
	case errors.Is(err, ErrDiskFull):
		return "disk-full"
	case errors.Is(err, ErrLogFull):
		return "log-full"
	case errors.Is(err, ErrOutcomeUnknown):
		return "outcome-unknown"
	case errors.Is(err, ErrMalformed):
		return "malformed"
	case errors.Is(err, ErrStopped):
		return "stopped"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return "deadline"
	default:
		return "internal"
	}
}

// toTwirp converts an error for the caller. Only failed_precondition and resource_exhausted
// guarantee that nothing was carried out.
func toTwirp(err error) error {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		answer := twirp.NewError(twirp.FailedPrecondition, notLeader.Error())
		if notLeader.Leader != "" {
			answer = answer.WithMeta("leader", notLeader.Leader)
		}
		return answer
	}
	reason := errorReason(err)
	code := twirp.Unavailable
	switch reason {
	case "overloaded", "disk-full", "log-full":
		code = twirp.ResourceExhausted
	case "malformed":
		code = twirp.InvalidArgument
	case "deadline":
		code = twirp.DeadlineExceeded
	}
	return twirp.NewError(code, err.Error()).WithMeta("reason", reason)
}

// convertLogError converts an error of the replicated log.
func (t *task) convertLogError(err error) error {
	switch {
	case errors.Is(err, replog.ErrNotLeader):
		return t.notLeaderError()
	case errors.Is(err, replog.ErrOverloaded):
		return ErrOverloaded
	default:
		return err
	}
}

// leaderHintHeartbeats is the number of heartbeat intervals without a message after which a
// follower no longer names the leader in its errors. Otherwise callers would keep calling a
// partitioned leader until the next election.
const leaderHintHeartbeats = 3

func (t *task) notLeaderError() error {
	leader := t.status.LeaderWithin(time.Now(), leaderHintHeartbeats*t.opts.HeartbeatInterval)
	if leader == t.opts.ID {
		// A leader without a valid lease, or one that is transferring its leadership.
		leader = 0
	}
	return &NotLeaderError{Leader: t.peers.directory.Address(leader)}
}
