package replica_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// promiseChecker is a task that records the messages between replicas before they are delivered.
// As long as a replica keeps its disk, it must not contradict what it has sent.
type promiseChecker struct {
	sent       chan []*rpcpb.LogMessage
	starts     chan replicaStart
	checks     chan diskCheck
	promises   map[replog.ReplicaID]promise
	votes      map[voteKey]replog.ReplicaID
	leaders    map[uint64]replog.ReplicaID // by term
	violations []string
}

// promise is the persistent state that the messages of a replica rely on.
type promise struct {
	term     uint64
	vote     replog.ReplicaID // in term
	ackTerm  uint64           // term of the leader to which ackIndex was acknowledged
	ackIndex uint64
}

type voteKey struct {
	voter replog.ReplicaID
	term  uint64
}

// replicaStart reports that a replica has recovered its disk. Messages may rely on the recovered
// state from then on.
type replicaStart struct {
	id        replog.ReplicaID
	recovered replog.HardState
}

// diskCheck compares a disk with the promises of its replica and asks for all violations.
type diskCheck struct {
	id         replog.ReplicaID // 0 to compare no disk
	found      storage.Recovered
	violations chan []string
}

func newPromiseChecker(ctx context.Context) *promiseChecker {
	checker := &promiseChecker{
		sent: make(chan []*rpcpb.LogMessage), starts: make(chan replicaStart), checks: make(chan diskCheck),
		promises: map[replog.ReplicaID]promise{}, votes: map[voteKey]replog.ReplicaID{}, leaders: map[uint64]replog.ReplicaID{},
	}
	go checker.run(ctx)
	return checker
}

func (checker *promiseChecker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case messages := <-checker.sent:
			for _, m := range messages {
				checker.recordMessage(m)
			}
		case s := <-checker.starts:
			checker.recordTermAndVote(s.id, s.recovered.Term, s.recovered.Vote)
		case c := <-checker.checks:
			checker.compareDisk(c.id, c.found)
			c.violations <- checker.violations
		}
	}
}

// recordStart records a completed recovery.
func (checker *promiseChecker) recordStart(id replog.ReplicaID, recovered replog.HardState) {
	checker.starts <- replicaStart{id, recovered}
}

// checkDisk returns all violations so far, including those of a disk.
func (checker *promiseChecker) checkDisk(id replog.ReplicaID, found storage.Recovered) []string {
	c := diskCheck{id, found, make(chan []string)}
	checker.checks <- c
	return <-c.violations
}

func (checker *promiseChecker) recordMessage(m *rpcpb.LogMessage) {
	from := replog.ReplicaID(m.From)
	switch replog.MessageType(m.Type) {
	case replog.MessageVote:
		checker.recordTermAndVote(from, m.Term, from)
	case replog.MessageVoteResponse:
		vote := replog.ReplicaID(m.To)
		if m.Reject {
			vote = 0
		}
		checker.recordTermAndVote(from, m.Term, vote)
	case replog.MessageAppend, replog.MessageSnapshot:
		checker.recordTermAndVote(from, m.Term, 0)
		if other, ok := checker.leaders[m.Term]; ok && other != from {
			checker.addViolation("replicas %d and %d both lead in term %d", other, from, m.Term)
		}
		checker.leaders[m.Term] = from
	case replog.MessageAppendResponse, replog.MessageSnapshotResponse:
		checker.recordTermAndVote(from, m.Term, 0)
		if !m.Reject {
			checker.recordAcknowledgement(from, m.Term, m.LogIndex)
		}
	}
}

func (checker *promiseChecker) recordTermAndVote(id replog.ReplicaID, term uint64, vote replog.ReplicaID) {
	p := checker.promises[id]
	if term > p.term {
		p.term, p.vote = term, 0
	}
	if vote != 0 {
		at := voteKey{id, term}
		if other, ok := checker.votes[at]; ok && other != vote {
			checker.addViolation("replica %d voted for %d and for %d in term %d", id, other, vote, term)
		}
		checker.votes[at] = vote
		p.vote = checker.votes[voteKey{id, p.term}]
	}
	checker.promises[id] = p
}

func (checker *promiseChecker) recordAcknowledgement(id replog.ReplicaID, term, index uint64) {
	p := checker.promises[id]
	if term > p.ackTerm {
		p.ackTerm, p.ackIndex = term, 0
	}
	if term == p.ackTerm {
		p.ackIndex = max(p.ackIndex, index)
	}
	checker.promises[id] = p
}

// compareDisk checks a disk against the promises of its replica. Only a leader of a later term may
// replace entries that a follower has acknowledged.
func (checker *promiseChecker) compareDisk(id replog.ReplicaID, found storage.Recovered) {
	p, hard := checker.promises[id], found.HardState
	if hard.Term < p.term {
		checker.addViolation("replica %d lost term %d, its disk has term %d", id, p.term, hard.Term)
	}
	if hard.Term == p.term && p.vote != 0 && hard.Vote != p.vote {
		checker.addViolation("replica %d lost its vote for %d in term %d, its disk has %d", id, p.vote, p.term, hard.Vote)
	}
	last := uint64(len(found.Entries))
	if found.Snapshot != nil {
		last += found.Snapshot.Index
	}
	if hard.Term == p.ackTerm && last < p.ackIndex {
		checker.addViolation("replica %d acknowledged entry %d in term %d, its disk ends at entry %d", id, p.ackIndex, p.ackTerm, last)
	}
}

func (checker *promiseChecker) addViolation(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// recordingClient returns an HTTP client between replicas that reports its messages to the
// checker.
func (checker *promiseChecker) recordingClient() *http.Client {
	return &http.Client{Transport: recordingTransport{base: replication.NewTransport(), sent: checker.sent}}
}

type recordingTransport struct {
	base *http.Transport
	sent chan<- []*rpcpb.LogMessage
}

// RoundTrip implements http.RoundTripper.
func (r recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if strings.HasSuffix(request.URL.Path, "/Step") {
		body, err := request.GetBody()
		if err != nil {
			return nil, err
		}
		data, err := io.ReadAll(body)
		if err != nil {
			return nil, err
		}
		var step rpcpb.StepRequest
		if err := proto.Unmarshal(data, &step); err != nil {
			return nil, err
		}
		select {
		case r.sent <- step.Messages:
		case <-request.Context().Done():
			return nil, request.Context().Err()
		}
	}
	return r.base.RoundTrip(request)
}
