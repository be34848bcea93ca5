package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// call is a message to the replica task that expects a reply. refuse replies with an error without
// carrying it out.
type call interface{ refuse(err error) }

// callResult is the reply to a call. The channels for replies have room for one, so that the task
// never waits for a caller.
type callResult[T any] struct {
	value T
	err   error
}

type reply[T any] chan callResult[T]

func newReply[T any]() reply[T] { return make(reply[T], 1) }

func (r reply[T]) refuse(err error) { r <- callResult[T]{err: err} }

func (r reply[T]) send(value T) { r <- callResult[T]{value: value} }

// proposeResult is the result of a committed command.
type proposeResult struct {
	result state.Result
	index  uint64
}

// proposeCall commits a command. The handler has decoded the command, set its time and encoded it.
type proposeCall struct {
	reply[proposeResult]
	command state.Command
	encoded []byte
	tag     uint64 // of ProposeWork, otherwise 0
	// callerDone is closed when the caller no longer waits.
	callerDone <-chan struct{}
}

// canceled reports whether the caller has given up. The caller sends the command again if it still
// needs it.
func (c proposeCall) canceled() bool {
	select {
	case <-c.callerDone:
		return true
	default:
		return false
	}
}

// readCall answers a linearizable read.
type readCall struct {
	reply[readResult]
	query state.Query
}

type readResult struct {
	answer state.Answer
	index  uint64
}

type renewCall struct {
	reply[*rpcpb.RenewResponse]
	request *rpcpb.RenewRequest
}

type feedCall struct {
	reply[feedResult]
	request *rpcpb.FeedRequest
}

// feedResult holds what the handler encodes.
type feedResult struct {
	response *rpcpb.FeedResponse
	config   *state.ConfigRecord // nil if not newer
}

// localReadCall reads the state that this replica has applied.
type localReadCall struct {
	reply[state.Answer]
	query state.Query
}

type statusCall struct{ reply[Report] }

// announceCall delivers the announcement of another replica.
type announceCall struct {
	reply[replication.AnnounceReply]
	from replication.Announcement
}

// contactsCall replaces Options.Contacts.
type contactsCall struct {
	reply[struct{}]
	addresses []string
}

// stopCall transfers leadership and ends the replica.
type stopCall struct{ reply[struct{}] }

// Report is a replica's view of itself and its group.
type Report struct {
	replication.Status
	Role          replog.Role
	Membership    replog.Membership // the latest in the log, committed or not
	LeaderAddress string            // empty if the leader is unknown
	Addresses     []string          // of the members of the group
	Applied       uint64
	Leading       bool // the scheduler and the lease granter run here
	LeaseEnd      time.Time
}

// encodedSnapshot is the result of the goroutine that encodes a snapshot.
type encodedSnapshot struct {
	snapshot replog.Snapshot
	err      error
}
