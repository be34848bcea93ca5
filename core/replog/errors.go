package replog

import (
	"errors"
	"fmt"
)

// Errors returned by this package, to be compared with errors.Is.
var (
	// ErrNotLeader is returned if the call must be made on the leader.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrTransferring wraps ErrNotLeader: the leader is transferring its leadership and accepts no
	// proposals.
	ErrTransferring = fmt.Errorf("leadership transfer in progress: %w", ErrNotLeader)
	// ErrOverloaded is returned if Config.MaxPending proposals are uncommitted, or as many read
	// barriers are waiting for a quorum. The call had no effect.
	ErrOverloaded = errors.New("too many pending proposals or reads")
	// ErrNotReady is returned until the leader has committed an entry of its own term.
	ErrNotReady = errors.New("no entry of the current term is committed yet")
	// ErrChangePending is returned while an earlier membership change is uncommitted.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrInvalidChange is returned if a membership change affects more than one replica or makes a
	// replica a voter that is not a learner.
	ErrInvalidChange = errors.New("invalid membership change")
	// ErrNotCaughtUp is returned if a learner is too far behind to be promoted.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrInvalidTarget is returned if the target of a leadership transfer cannot become leader.
	ErrInvalidTarget = errors.New("invalid transfer target")
	// ErrInvalidSnapshot is returned for a snapshot that is older than the previous one or contains
	// entries that were not yet returned in Effects.Committed.
	ErrInvalidSnapshot = errors.New("invalid snapshot index")
	// ErrInvalidConfig is returned by New if the configuration or the persisted state is
	// inconsistent.
	ErrInvalidConfig = errors.New("invalid replica configuration")
	// ErrMalformedMembership is returned if an encoded membership cannot be decoded.
	ErrMalformedMembership = errors.New("malformed membership")
)
