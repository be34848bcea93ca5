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

// proposals holds the commands that wait for their commit.
type proposals struct {
	waiting map[uint64]waitingProposal // by index
	held    []proposeCall              // Options.Plain: not in the log yet
}

// waitingProposal is a command in the log. It is answered when the entry at
// its index is committed: with the result where the term agrees, otherwise it
// was replaced and never ran. Losing the leadership by itself says neither, nor
// does another entry at its index that is not committed.
type waitingProposal struct {
	term    uint64
	command state.Command
	tag     uint64
	finish  func(proposed, error)
}

func (p *proposals) take(index uint64) (waitingProposal, bool) {
	waiting, known := p.waiting[index]
	delete(p.waiting, index)
	return waiting, known
}

// abandon answers the commands up to an index with an unknown outcome.
func (p *proposals) abandon(index uint64) {
	for at, waiting := range p.waiting {
		if at <= index {
			delete(p.waiting, at)
			waiting.finish(proposed{}, ErrOutcomeUnknown)
		}
	}
}

// propose hands a caller's command to the log, or puts it behind those that
// Options.Plain holds back.
func (t *task) propose(now time.Time, c proposeCall) {
	if c.abandoned() {
		c.refuse(context.Canceled)
		return
	}
	if t.opts.Plain {
		t.proposals.held = append(t.proposals.held, c)
		return
	}
	t.proposeNow(now, c)
}

func (t *task) proposeNow(now time.Time, c proposeCall) {
	t.append(now, c.command, c.encoded, c.tag, func(got proposed, err error) {
		if err != nil {
			c.refuse(err)
			return
		}
		c.send(got)
	})
}

// proposeHeld goes on with the commands that Options.Plain held back and
// reports whether it proposed one.
func (t *task) proposeHeld(now time.Time) bool {
	// Calls that were given up go first: carried out, they would hold back those
	// that are still wanted, and under overload nothing would be answered in
	// time any more.
	t.proposals.held = slices.DeleteFunc(t.proposals.held, func(c proposeCall) bool {
		if c.abandoned() {
			c.refuse(context.Canceled)
			return true
		}
		return false
	})
	if len(t.proposals.held) == 0 || len(t.proposals.waiting) > 0 {
		return false
	}
	next := t.proposals.held[0]
	t.proposals.held = t.proposals.held[1:]
	t.proposeNow(now, next)
	return true
}

// append adds a command to the log. finish is called once, by this task.
func (t *task) append(now time.Time, command state.Command, encoded []byte, tag uint64, finish func(proposed, error)) {
	if t.disk.full {
		finish(proposed{}, ErrDiskFull)
		return
	}
	index, term, err := t.core.Propose(now, [][]byte{encoded})
	if err != nil {
		finish(proposed{}, t.fromLog(err))
		return
	}
	if former, replaced := t.proposals.take(index); replaced {
		// The index was given before, by this replica in an earlier term, and
		// the entry is no longer in this log. A follower that kept it may still
		// be elected and commit it, as long as no other entry is committed here.
		former.finish(proposed{}, ErrOutcomeUnknown)
	}
	t.proposals.waiting[index] = waitingProposal{term: term, command: command, tag: tag, finish: finish}
}

// reads are the reads that wait for their barrier.
type reads struct {
	lastID  uint64
	waiting map[uint64]readCall
}

func (t *task) read(now time.Time, c readCall) {
	t.reads.lastID++
	if err := t.core.ReadBarrier(now, t.reads.lastID); err != nil {
		c.refuse(t.fromLog(err))
		return
	}
	t.reads.waiting[t.reads.lastID] = c
}

// finishRead answers a read. Everything up to the index of its barrier was
// applied by the same effects or earlier ones.
func (t *task) finishRead(read replog.ReadResult) {
	c, known := t.reads.waiting[read.ID]
	delete(t.reads.waiting, read.ID)
	switch {
	case !known:
	case read.Aborted || t.applied < read.Index:
		c.refuse(t.notLeader())
	default:
		c.send(readAnswer{answer: t.query(c.query), index: t.applied})
	}
}

// query answers from the state and adds what only the leader knows.
func (t *task) query(q state.Query) state.Answer {
	answer := t.state.Query(q)
	if answer.Queues != nil {
		answer.Queues.Replicas = t.replicaAddresses()
		t.workCaller(q.Queues.Caller)
	}
	if t.leading == nil {
		return answer
	}
	if q.Explain != nil {
		answer.Explain = t.explain(q.Explain.Job)
	}
	if answer.Status != nil {
		answer.Status.Entries = t.leading.entries(time.Now())
	}
	return answer
}

// explain says why a job waits, or nothing where there is no such job.
func (t *task) explain(id cell.JobID) *state.ExplainView {
	job := t.state.Query(state.Query{Job: &state.JobQuery{Job: id}}).Job
	if job == nil {
		return nil
	}
	view := &state.ExplainView{State: job.State}
	if explanation := t.leading.scheduler.Explain(time.Now(), id); explanation.Waiting > 0 {
		view.Lines = append(view.Lines, explanation.String())
	}
	return view
}

// entries lists what each entry process has in force.
func (l *leading) entries(now time.Time) []state.EntryView {
	var views []state.EntryView
	for name, last := range l.seen {
		views = append(views, state.EntryView{Name: name, Generation: last.generation, Age: now.Sub(last.at)})
	}
	slices.SortFunc(views, func(a, b state.EntryView) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return views
}
