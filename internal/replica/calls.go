package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
)

// proposals holds the commands that are not committed yet.
type proposals struct {
	pending map[uint64]pendingProposal // by index
	queued  []proposeCall              // with Options.DisableBatching: not in the log yet
}

// pendingProposal is a command in the log. It is completed when the entry at its index is
// committed: with the result if the entry has the same term, otherwise with an error, because the
// command was replaced and never ran. Neither the loss of leadership nor another uncommitted entry
// at the index decides the outcome.
type pendingProposal struct {
	term     uint64
	command  state.Command
	tag      uint64
	complete func(proposeResult, error)
}

func (p *proposals) remove(index uint64) (pendingProposal, bool) {
	pending, known := p.pending[index]
	delete(p.pending, index)
	return pending, known
}

// failUpTo completes the commands up to an index with an unknown outcome.
func (p *proposals) failUpTo(index uint64) {
	for at, pending := range p.pending {
		if at <= index {
			delete(p.pending, at)
			pending.complete(proposeResult{}, ErrOutcomeUnknown)
		}
	}
}

// handlePropose appends a caller's command to the log. With Options.DisableBatching it queues the
// command instead.
func (t *task) handlePropose(now time.Time, c proposeCall) {
	if c.canceled() {
		c.refuse(context.Canceled)
		return
	}
	if t.refuseJob(now, c) {
		return
	}
	if t.opts.DisableBatching {
		t.proposals.queued = append(t.proposals.queued, c)
		return
	}
	t.appendProposal(now, c)
}

func (t *task) appendProposal(now time.Time, c proposeCall) {
	t.appendCommand(now, c.command, c.encoded, c.tag, func(got proposeResult, err error) {
		if err != nil {
			c.refuse(err)
			return
		}
		c.send(got)
	})
}

// proposeQueued proposes the next queued command if no other one is pending. It reports whether it
// proposed one.
func (t *task) proposeQueued(now time.Time) bool {
	// Canceled calls are removed first. Under overload, carrying them out would delay the
	// remaining calls until those time out too, so that no call would be answered in time.
	t.proposals.queued = slices.DeleteFunc(t.proposals.queued, func(c proposeCall) bool {
		if c.canceled() {
			c.refuse(context.Canceled)
			return true
		}
		return false
	})
	if len(t.proposals.queued) == 0 || len(t.proposals.pending) > 0 {
		return false
	}
	next := t.proposals.queued[0]
	t.proposals.queued = t.proposals.queued[1:]
	t.appendProposal(now, next)
	return true
}

// appendCommand appends a command to the log. complete is called once, by this task.
func (t *task) appendCommand(now time.Time, command state.Command, encoded []byte, tag uint64, complete func(proposeResult, error)) {
	if t.disk.full {
		complete(proposeResult{}, ErrDiskFull)
		return
	}
	if t.disk.logFull {
		complete(proposeResult{}, ErrLogFull)
		return
	}
	index, term, err := t.core.Propose(now, [][]byte{encoded})
	if err != nil {
		complete(proposeResult{}, t.convertLogError(err))
		return
	}
	if former, replaced := t.proposals.remove(index); replaced {
		// This replica assigned the index in an earlier term, and the entry is no longer in its
		// log. A follower that still has the entry may be elected and commit it, as long as no
		// other entry is committed at this index.
		former.complete(proposeResult{}, ErrOutcomeUnknown)
	}
	t.proposals.pending[index] = pendingProposal{term: term, command: command, tag: tag, complete: complete}
	t.countAccepted(now, index, command)
}

// reads holds the reads that wait for their read barrier.
type reads struct {
	lastID  uint64
	pending map[uint64]readCall
}

func (t *task) handleRead(now time.Time, c readCall) {
	t.reads.lastID++
	if err := t.core.ReadBarrier(now, t.reads.lastID); err != nil {
		c.refuse(t.convertLogError(err))
		return
	}
	t.reads.pending[t.reads.lastID] = c
}

// finishRead answers a read. The current or earlier effects have applied all entries up to the
// index of its barrier.
func (t *task) finishRead(now time.Time, read replog.ReadResult) {
	c, known := t.reads.pending[read.ID]
	delete(t.reads.pending, read.ID)
	switch {
	case !known:
	case read.Aborted || t.applied < read.Index:
		c.refuse(t.notLeaderError())
	default:
		answer := t.answerQuery(c.query)
		if !t.waitForJobEnd(now, c, answer) {
			c.send(readResult{answer: answer, index: t.applied})
		}
	}
}

// answerQuery answers from the replicated state and adds what only the leader knows.
func (t *task) answerQuery(q state.Query) state.Answer {
	answer := t.state.Query(q)
	if answer.Queues != nil {
		answer.Queues.Replicas = t.replicaAddresses()
		t.prepareQueuesView(*q.Queues, answer.Queues)
		t.publishAdviceRequester(q.Queues.AdviceRequester)
	}
	if t.leader == nil {
		return answer
	}
	if q.Explain != nil {
		answer.Explain = t.explain(q.Explain.Job)
	}
	if answer.Status != nil {
		answer.Status.Entries = t.leader.entryViews(time.Now())
	}
	return answer
}

// explain returns why a job is waiting, or nil if the job does not exist.
func (t *task) explain(id cell.JobID) *state.ExplainView {
	job := t.state.Query(state.Query{Job: &state.JobQuery{Job: id}}).Job
	if job == nil {
		return nil
	}
	view := &state.ExplainView{State: job.State}
	if explanation := t.leader.scheduler.Explain(time.Now(), id); explanation.Waiting > 0 {
		view.Lines = append(view.Lines, explanation.String())
	}
	return view
}

// entryViews lists the entry processes with their configuration generation and the age of their
// last feed call.
func (l *leaderState) entryViews(now time.Time) []state.EntryView {
	var views []state.EntryView
	for name, last := range l.entries {
		views = append(views, state.EntryView{Name: name, Generation: last.generation, Age: now.Sub(last.lastFeed)})
	}
	slices.SortFunc(views, func(a, b state.EntryView) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return views
}
