package replog

// entryLog holds the entries after a base entry. The base is the last entry dropped by compaction,
// or index 0 of term 0.
//
// Entries are never modified in place. Messages and effects share the backing array, so truncation
// limits the capacity of the slice and the next append copies it.
type entryLog struct {
	baseIndex uint64 // index of the entry before entries[0]
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. ok is false if the index is before the base or after
// the last entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches reports whether the log contains an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries from first to last, inclusive.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.baseIndex-1, last-l.baseIndex
	return l.entries[from:to:to]
}

// batch returns entries starting at first: at least one, and no more than fit into about maxBytes.
func (l *entryLog) batch(first uint64, maxBytes int) []Entry {
	end, size := first, 0
	for end <= l.lastIndex() {
		size += l.entries[end-l.baseIndex-1].encodedBytes()
		if end > first && size > maxBytes {
			break
		}
		end++
	}
	return l.slice(first, end-1)
}

// entryOverheadBytes is the approximate encoded size of an entry without its data.
const entryOverheadBytes = 16

// encodedBytes returns the approximate encoded size of an entry.
func (e Entry) encodedBytes() int { return len(e.Data) + entryOverheadBytes }

// encodedBytes returns the approximate encoded size of entries.
func encodedBytes(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += e.encodedBytes()
	}
	return size
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncateFrom drops the entry at index and all later entries.
func (l *entryLog) truncateFrom(index uint64) {
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
}

// compactTo drops the entries up to and including index.
func (l *entryLog) compactTo(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	rest := make([]Entry, l.lastIndex()-index)
	copy(rest, l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm, l.entries = index, term, rest
}

// reset discards all entries and sets the base entry.
func (l *entryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}

// lastIndexWithTermAtMost returns the largest index up to limit whose entry has a term of at most
// term, or the base index if there is none.
func (l *entryLog) lastIndexWithTermAtMost(limit, term uint64) uint64 {
	index := min(limit, l.lastIndex())
	for index > l.baseIndex {
		if own, _ := l.term(index); own <= term {
			break
		}
		index--
	}
	return index
}
