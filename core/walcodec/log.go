package walcodec

import (
	"errors"
	"fmt"

	"github.com/godwitlink/godwitlink/core/replog"
)

// ErrGap is returned if a record does not continue the log, so that entries are missing.
var ErrGap = errors.New("the log has a gap")

// Log is the log reconstructed from the records of a data folder. The zero value is the log of an
// empty folder.
type Log struct {
	HardState  replog.HardState
	base       Position // entry before entries[0]
	startIndex uint64   // base index of the first segment or index of the last reset
	entries    []replog.Entry
	hasSegment bool
	resetIndex uint64 // index of the last reset; entries up to it cannot be replaced
}

// Last returns the position of the last entry.
func (l *Log) Last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	last := l.entries[len(l.entries)-1]
	return Position{Index: last.Index, Term: last.Term}
}

// Entries returns the entries after the base.
func (l *Log) Entries() []replog.Entry { return l.entries }

// Apply applies a record to the log. Its errors wrap ErrGap.
func (l *Log) Apply(b Batch) error {
	if b.Base != nil {
		if err := l.startSegment(*b.Base); err != nil {
			return err
		}
	}
	if b.Reset != nil {
		l.base, l.entries, l.resetIndex, l.startIndex = *b.Reset, nil, b.Reset.Index, b.Reset.Index
	}
	if b.HardState != nil {
		l.HardState = *b.HardState
	}
	for _, entry := range b.Entries {
		if err := l.putEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

// startSegment uses the base of the first segment as the base of the log, and checks that every
// later segment continues the log.
func (l *Log) startSegment(base Position) error {
	if !l.hasSegment {
		l.base, l.hasSegment, l.startIndex = base, true, base.Index
		return nil
	}
	if last := l.Last(); base != last {
		return fmt.Errorf("%w: the segment continues entry %d of term %d, the log ends at entry %d of term %d",
			ErrGap, base.Index, base.Term, last.Index, last.Term)
	}
	return nil
}

func (l *Log) putEntry(entry replog.Entry) error {
	if entry.Index <= l.resetIndex || entry.Index > l.Last().Index+1 {
		return fmt.Errorf("%w: entry %d follows entry %d", ErrGap, entry.Index, l.Last().Index)
	}
	if entry.Index <= l.base.Index {
		// The entries before the base were in segments that were removed after a snapshot, and this
		// entry replaces some of them. The term of the preceding entry is unknown. AttachSnapshot
		// does not need it, because the snapshot is at or after the previous base.
		l.base, l.entries = Position{Index: entry.Index - 1}, nil
	}
	keep := entry.Index - l.base.Index - 1
	l.entries = append(l.entries[:keep], entry)
	return nil
}

// AttachSnapshot makes a snapshot the base of the log. If the log contains the snapshot's last
// entry, the entries after it are kept. Otherwise the snapshot was installed in place of another
// log, all entries are dropped, and kept is false. The error wraps ErrGap if entries between the
// snapshot and the log are missing.
func (l *Log) AttachSnapshot(snapshot Position) (kept bool, err error) {
	if l.startIndex > snapshot.Index {
		return false, fmt.Errorf("%w: the log starts after entry %d, the snapshot ends at entry %d",
			ErrGap, l.startIndex, snapshot.Index)
	}
	if l.term(snapshot.Index) != snapshot.Term || l.Last().Index < snapshot.Index {
		l.base, l.entries = snapshot, nil
		return false, nil
	}
	l.entries = l.entries[snapshot.Index-l.base.Index:]
	l.base = snapshot
	return true, nil
}

// term returns the term of the entry at index, or 0 if it is before the base or after the last
// entry.
func (l *Log) term(index uint64) uint64 {
	if index == l.base.Index {
		return l.base.Term
	}
	if index < l.base.Index || index > l.Last().Index {
		return 0
	}
	return l.entries[index-l.base.Index-1].Term
}
