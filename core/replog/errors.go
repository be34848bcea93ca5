package replog

import (
	"errors"
	"fmt"
)

// Errors of this package. They are compared with errors.Is.
var (
	// ErrNotLeader is returned where only the leader can serve the call.
	ErrNotLeader = errors.New("replica is not the leader")
	// ErrTransferring is an ErrNotLeader: the leader is handing over and
	// takes no more proposals.
	ErrTransferring = fmt.Errorf("leadership transfer in progress: %w", ErrNotLeader)
	// ErrOverloaded is returned where Config.MaxPending proposals wait for
	// their commit, or as many read barriers for a quorum. The call had no
	// effect.
	ErrOverloaded = errors.New("too many pending proposals or reads")
	// ErrNotReady is returned while no entry of the leader's own term is
	// committed.
	ErrNotReady = errors.New("no entry of the current term is committed yet")
	// ErrChangePending is returned while an earlier membership change is not
	// committed.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrInvalidChange is returned for a change of more than one replica or
	// one that skips the learner stage.
	ErrInvalidChange = errors.New("invalid membership change")
	// ErrNotCaughtUp is returned where a learner is too far behind to vote.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrInvalidTarget is returned for a transfer to a replica that cannot
	// lead.
	ErrInvalidTarget = errors.New("invalid transfer target")
	// ErrInvalidSnapshot is returned for a snapshot that is older than the
	// last one or covers entries that were not handed out for application.
	ErrInvalidSnapshot = errors.New("invalid snapshot index")
	// ErrInvalidConfig is returned by New.
	ErrInvalidConfig = errors.New("invalid replica configuration")
	// ErrMalformedMembership is returned where a membership cannot be decoded.
	ErrMalformedMembership = errors.New("malformed membership")
)
