package replica

import (
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// call is a message to the replica task that wants an answer. refuse answers
// it without carrying it out.
type call interface{ refuse(err error) }

// answer is what a call gets. The channels that carry answers hold one, so
// that the task never waits for a caller.
type answer[T any] struct {
	value T
	err   error
}

type reply[T any] chan answer[T]

func newReply[T any]() reply[T] { return make(reply[T], 1) }

func (r reply[T]) refuse(err error) { r <- answer[T]{err: err} }

func (r reply[T]) send(value T) { r <- answer[T]{value: value} }

// proposed is the result of a committed command.
type proposed struct {
	result state.Result
	index  uint64
}

// proposeCall asks to commit a command. The command was decoded, stamped and
// encoded by the handler.
type proposeCall struct {
	reply[proposed]
	command state.Command
	encoded []byte
	tag     uint64 // of ProposeWork, otherwise 0
	// gone is closed when the caller no longer waits.
	gone <-chan struct{}
}

// abandoned reports whether the caller has given up. It sends the command
// again where it still wants it.
func (c proposeCall) abandoned() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// readCall asks for a current read.
type readCall struct {
	reply[readAnswer]
	query state.Query
}

type readAnswer struct {
	answer state.Answer
	index  uint64
}

type renewCall struct {
	reply[*rpcpb.RenewResponse]
	request *rpcpb.RenewRequest
}

type feedCall struct {
	reply[feedAnswer]
	request *rpcpb.FeedRequest
}

// feedAnswer holds what the handler encodes.
type feedAnswer struct {
	response *rpcpb.FeedResponse
	config   *state.ConfigRecord // nil where not newer
}

// localCall asks for what this replica has applied.
type localCall struct {
	reply[state.Answer]
	query state.Query
}

type statusCall struct{ reply[Report] }

// announceCall is the announcement of another replica.
type announceCall struct {
	reply[replication.Known]
	from replication.Announcement
}

// stopCall asks to hand leadership over and to end.
type stopCall struct{ reply[struct{}] }

// Report is a replica's view of itself and its group.
type Report struct {
	replication.Status
	Role       replog.Role
	Membership replog.Membership // in force
	LeaderAt   string            // address of the leader, or empty
	Addresses  []string          // of the members of the group
	Applied    uint64
	Leading    bool // the scheduler and the lease granter run here
	LeaseEnd   time.Time
}

// encodedSnapshot is the answer of the goroutine that encodes a snapshot.
type encodedSnapshot struct {
	snapshot replog.Snapshot
	err      error
}
