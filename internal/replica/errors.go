package replica

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Errors of calls to a replica.
var (
	// ErrOverloaded refuses a call that found too many others waiting.
	ErrOverloaded = merry.Sentinel("too many calls are waiting")
	// ErrDiskFull refuses a command while the disk of the leader is full.
	ErrDiskFull = merry.Sentinel("the disk of the control replica is full")
	// ErrOutcomeUnknown says that a command may or may not be committed.
	ErrOutcomeUnknown = merry.Sentinel("the outcome of the command is unknown")
	// ErrMalformed refuses what cannot be decoded or may not be proposed.
	ErrMalformed = merry.Sentinel("malformed call")
	// ErrStopped refuses calls to a replica that has ended.
	ErrStopped = merry.Sentinel("the control replica has stopped")
	// ErrUnknownCommand stops a replica whose log holds a command that this
	// version of the program cannot decode.
	ErrUnknownCommand = merry.Sentinel("a committed command cannot be decoded")
	// ErrMustJoin stops a replica whose folder is empty although the group
	// has been formed: it may have voted with a folder that was lost.
	ErrMustJoin = merry.Sentinel("the group was formed before and the data folder is empty: the replica must join under a new id")
	// ErrNotInitial stops a replica whose folder formed its group but whose
	// settings do not name it as an initial voter.
	ErrNotInitial = merry.Sentinel("the data folder is of an initial voter, but the settings do not list it as one")
)

// NotLeaderError refuses a call that only the leader answers. Nothing of the
// call was carried out.
type NotLeaderError struct {
	Leader string // address of the leader, or empty
}

// Error names the leader where it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, none is known"
	}
	return "not the leader, which is " + e.Leader
}

// errorReason names an error in metrics and in the metadata of answers.
func errorReason(err error) string {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return "not-leader"
	case errors.Is(err, ErrOverloaded):
		return "overloaded"
	case errors.Is(err, ErrDiskFull):
		return "disk-full"
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

// toTwirp translates an error for the caller. Only failed_precondition and
// resource_exhausted promise that nothing was carried out.
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
	case "overloaded", "disk-full":
		code = twirp.ResourceExhausted
	case "malformed":
		code = twirp.InvalidArgument
	case "deadline":
		code = twirp.DeadlineExceeded
	}
	return twirp.NewError(code, err.Error()).WithMeta("reason", reason)
}

// convertLogError translates an error of the log.
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

// leaderHintHeartbeats is the number of heartbeats after which a follower that has
// heard nothing no longer names the leader. Callers would otherwise go on calling
// one that is cut off until the next election.
const leaderHintHeartbeats = 3

func (t *task) notLeaderError() error {
	leader := t.status.LeaderWithin(time.Now(), leaderHintHeartbeats*t.opts.HeartbeatInterval)
	if leader == t.opts.ID {
		// A leader without a valid lease, or one that hands over.
		leader = 0
	}
	return &NotLeaderError{Leader: t.peers.addresses[leader]}
}
