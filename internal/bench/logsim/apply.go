package logsim

import (
	"maps"
	"slices"

	"github.com/godwitlink/godwitlink/core/replog"
)

// apply passes what a batch committed to the state machine.
func (r *Replica) apply(e replog.Effects) {
	if s := e.Snapshot; s != nil {
		r.Machine.Restore(s.Data)
		r.skipTo(s.Index)
	}
	for _, entry := range e.Committed {
		r.applied = entry.Index
		r.Machine.Apply(entry)
		for _, p := range r.proposals[entry.Index] {
			if p.term == entry.Term {
				p.done(Committed)
			} else {
				p.done(Replaced)
			}
		}
		delete(r.proposals, entry.Index)
	}
	r.waitingRead = append(r.waitingRead, e.Reads...)
	r.finishReads()
	r.takeSnapshot()
}

// skipTo ends the proposals that a snapshot covers.
func (r *Replica) skipTo(index uint64) {
	r.applied, r.snapshotAt = index, index
	r.endProposals(index)
}

// endProposals tells the proposals up to an index that their outcome is not
// known here.
func (r *Replica) endProposals(last uint64) {
	for _, index := range slices.Sorted(maps.Keys(r.proposals)) {
		if index > last {
			return
		}
		for _, p := range r.proposals[index] {
			p.done(Unknown)
		}
		delete(r.proposals, index)
	}
}

func (r *Replica) finishReads() {
	var waiting []replog.ReadResult
	for _, read := range r.waitingRead {
		if !read.Aborted && read.Index > r.applied {
			waiting = append(waiting, read)
			continue
		}
		done := r.reads[read.ID]
		delete(r.reads, read.ID)
		done(!read.Aborted)
	}
	r.waitingRead = waiting
}

// takeSnapshot writes a snapshot of its own every so many applied entries.
func (r *Replica) takeSnapshot() {
	every := r.sim.opts.SnapshotEvery
	if every == 0 || r.applied-r.snapshotAt < every {
		return
	}
	s, err := r.Core.SnapshotAt(r.applied)
	if err != nil {
		return // the membership is not known yet
	}
	s.Data = r.Machine.Snapshot()
	r.snapshotAt = r.applied
	r.write(batch{compact: &s})
}
