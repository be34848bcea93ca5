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

// ledger is a task that records what replicas have told each other before it is
// delivered. Whatever happens to its machine, a replica has to keep to it as
// long as it has its disk.
type ledger struct {
	said     chan []*rpcpb.LogMessage
	starts   chan start
	checks   chan check
	promises map[replog.ReplicaID]promise
	votes    map[ballot]replog.ReplicaID
	leaders  map[uint64]replog.ReplicaID // by term
	broken   []string
}

// promise is what the messages of a replica rely on.
type promise struct {
	term     uint64
	vote     replog.ReplicaID // in term
	ackTerm  uint64           // of the leader that was told of ackIndex
	ackIndex uint64
}

type ballot struct {
	voter replog.ReplicaID
	term  uint64
}

// start is a replica that has recovered its disk, on which it may rely from
// then on.
type start struct {
	id        replog.ReplicaID
	recovered replog.HardState
}

// check asks what a disk has lost, and for the faults seen so far.
type check struct {
	id     replog.ReplicaID // 0 for no disk
	found  storage.Recovered
	broken chan []string
}

func newLedger(ctx context.Context) *ledger {
	l := &ledger{
		said: make(chan []*rpcpb.LogMessage), starts: make(chan start), checks: make(chan check),
		promises: map[replog.ReplicaID]promise{}, votes: map[ballot]replog.ReplicaID{}, leaders: map[uint64]replog.ReplicaID{},
	}
	go l.run(ctx)
	return l
}

func (l *ledger) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case messages := <-l.said:
			for _, m := range messages {
				l.record(m)
			}
		case s := <-l.starts:
			l.promise(s.id, s.recovered.Term, s.recovered.Vote)
		case c := <-l.checks:
			l.compare(c.id, c.found)
			c.broken <- l.broken
		}
	}
}

// started records a completed recovery.
func (l *ledger) started(id replog.ReplicaID, recovered replog.HardState) {
	l.starts <- start{id, recovered}
}

// check returns the faults seen so far, those of a disk among them.
func (l *ledger) check(id replog.ReplicaID, found storage.Recovered) []string {
	c := check{id, found, make(chan []string)}
	l.checks <- c
	return <-c.broken
}

func (l *ledger) record(m *rpcpb.LogMessage) {
	from := replog.ReplicaID(m.From)
	switch replog.MessageType(m.Type) {
	case replog.MessageVote:
		l.promise(from, m.Term, from)
	case replog.MessageVoteResponse:
		vote := replog.ReplicaID(m.To)
		if m.Reject {
			vote = 0
		}
		l.promise(from, m.Term, vote)
	case replog.MessageAppend, replog.MessageSnapshot:
		l.promise(from, m.Term, 0)
		if other, ok := l.leaders[m.Term]; ok && other != from {
			l.fault("replicas %d and %d lead in term %d", other, from, m.Term)
		}
		l.leaders[m.Term] = from
	case replog.MessageAppendResponse, replog.MessageSnapshotResponse:
		l.promise(from, m.Term, 0)
		if !m.Reject {
			l.acknowledged(from, m.Term, m.LogIndex)
		}
	}
}

func (l *ledger) promise(id replog.ReplicaID, term uint64, vote replog.ReplicaID) {
	p := l.promises[id]
	if term > p.term {
		p.term, p.vote = term, 0
	}
	if vote != 0 {
		at := ballot{id, term}
		if other, ok := l.votes[at]; ok && other != vote {
			l.fault("replica %d votes for %d and for %d in term %d", id, other, vote, term)
		}
		l.votes[at] = vote
		p.vote = l.votes[ballot{id, p.term}]
	}
	l.promises[id] = p
}

func (l *ledger) acknowledged(id replog.ReplicaID, term, index uint64) {
	p := l.promises[id]
	if term > p.ackTerm {
		p.ackTerm, p.ackIndex = term, 0
	}
	if term == p.ackTerm {
		p.ackIndex = max(p.ackIndex, index)
	}
	l.promises[id] = p
}

// compare checks a disk against what its replica has said. A leader never
// replaces entries that a follower has acknowledged to it; one of a later term
// may.
func (l *ledger) compare(id replog.ReplicaID, found storage.Recovered) {
	p, hard := l.promises[id], found.HardState
	if hard.Term < p.term {
		l.fault("replica %d has forgotten term %d, its disk has term %d", id, p.term, hard.Term)
	}
	if hard.Term == p.term && p.vote != 0 && hard.Vote != p.vote {
		l.fault("replica %d has forgotten its vote for %d in term %d, its disk has %d", id, p.vote, p.term, hard.Vote)
	}
	last := uint64(len(found.Entries))
	if found.Snapshot != nil {
		last += found.Snapshot.Index
	}
	if hard.Term == p.ackTerm && last < p.ackIndex {
		l.fault("replica %d has acknowledged entry %d in term %d, its disk ends at entry %d", id, p.ackIndex, p.ackTerm, last)
	}
}

func (l *ledger) fault(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// client is an HTTP client between replicas that tells the ledger what it sends.
func (l *ledger) client() *http.Client {
	return &http.Client{Transport: recorder{base: replication.NewTransport(), said: l.said}}
}

type recorder struct {
	base *http.Transport
	said chan<- []*rpcpb.LogMessage
}

// RoundTrip implements http.RoundTripper.
func (r recorder) RoundTrip(request *http.Request) (*http.Response, error) {
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
		case r.said <- step.Messages:
		case <-request.Context().Done():
			return nil, request.Context().Err()
		}
	}
	return r.base.RoundTrip(request)
}
