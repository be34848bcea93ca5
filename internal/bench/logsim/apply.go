package logsim

import (
	"maps"
	"slices"

	"github.com/godwitlink/godwitlink/core/replog"
)

// apply applies the committed entries and an installed snapshot of e to the state machine.
func (r *Replica) apply(e replog.Effects) {
	if s := e.Snapshot; s != nil {
		r.Machine.Restore(s.Data)
		r.skipToSnapshot(s.Index)
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
	r.pendingReads = append(r.pendingReads, e.Reads...)
	r.finishReads()
	r.takeSnapshot()
}

// skipToSnapshot advances the applied index to that of an installed snapshot and ends the proposals
// that the snapshot covers.
func (r *Replica) skipToSnapshot(index uint64) {
	r.applied, r.snapshotAt = index, index
	r.endProposals(index)
}

// endProposals ends the proposals up to an index with the outcome Unknown.
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
	for _, read := range r.pendingReads {
		if !read.Aborted && read.Index > r.applied {
			waiting = append(waiting, read)
			continue
		}
		done := r.reads[read.ID]
		delete(r.reads, read.ID)
		done(!read.Aborted)
	}
	r.pendingReads = waiting
}

// takeSnapshot writes a snapshot of the state machine after every Options.SnapshotEvery applied
// entries.
func (r *Replica) takeSnapshot() {
	every := r.sim.opts.SnapshotEvery
	if every == 0 || r.applied-r.snapshotAt < every {
		return
	}
	s, err := r.Core.SnapshotAt(r.applied)
	if err != nil {
		return // the core does not know the membership at this index yet
	}
	s.Data = r.Machine.Snapshot()
	r.snapshotAt = r.applied
	r.write(batch{compact: &s})
}
