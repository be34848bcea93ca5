package logsim

import (
	"slices"

	"github.com/godwitlink/godwitlink/core/replog"
)

// disk holds the synced data of a replica and the batches that are not synced yet.
type disk struct {
	hardState replog.HardState
	snapshot  *replog.Snapshot
	entries   []replog.Entry
	pending   []batch
}

// batch is a unit of writes that is synced as a whole, unless the replica crashes.
type batch struct {
	effects replog.Effects
	// compact is set for a snapshot that the replica took of its own state machine.
	compact *replog.Snapshot
	// deferred is set if the batch is applied only after its sync.
	deferred bool
}

// writes returns the single writes of a batch in their order.
func (b batch) writes() []func(d *disk) {
	var writes []func(d *disk)
	if hard := b.effects.HardState; hard != nil {
		writes = append(writes, func(d *disk) { d.hardState = *hard })
	}
	if s := b.effects.Snapshot; s != nil {
		writes = append(writes, func(d *disk) { d.snapshot, d.entries = s, nil })
	}
	for _, e := range b.effects.Entries {
		writes = append(writes, func(d *disk) { d.putEntry(e) })
	}
	if s := b.compact; s != nil {
		writes = append(writes, func(d *disk) { d.compactTo(s) })
	}
	return writes
}

// putEntry replaces the entry at the index of e and removes all entries after it.
func (d *disk) putEntry(e replog.Entry) {
	at := e.Index - d.snapshotIndex() - 1
	if at < uint64(len(d.entries)) {
		d.entries = d.entries[:at:at]
	}
	d.entries = append(d.entries, e)
}

func (d *disk) snapshotIndex() uint64 {
	if d.snapshot == nil {
		return 0
	}
	return d.snapshot.Index
}

func (d *disk) compactTo(s *replog.Snapshot) {
	if s.Index <= d.snapshotIndex() {
		return
	}
	d.entries = slices.Clone(d.entries[s.Index-d.snapshotIndex():])
	d.snapshot = s
}

// crash applies the first writes of those that were not synced, as many as keep returns, and
// discards the other ones.
func (d *disk) crash(keep func(writes int) int) {
	var writes []func(d *disk)
	for _, b := range d.pending {
		writes = append(writes, b.writes()...)
	}
	for _, write := range writes[:keep(len(writes))] {
		write(d)
	}
	d.pending = nil
}
