package walcodec

import (
	"encoding/binary"
	"errors"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Position is the index and term of an entry. The zero value is the start of the log.
type Position struct {
	Index uint64
	Term  uint64
}

// Batch is the payload of a record. A record holds one group commit.
type Batch struct {
	// Base is set in the first record of a segment. It is the end of the log before the segment.
	Base *Position
	// Reset is set if an installed snapshot replaces the log.
	Reset     *Position
	HardState *replog.HardState
	// Entries are appended one by one. Each replaces an existing entry with the same index and all
	// later entries.
	Entries []replog.Entry
}

// Flags for the optional parts of a batch.
const (
	flagBase = 1 << iota
	flagReset
	flagHardState
	knownFlags = flagBase | flagReset | flagHardState
)

// ErrMalformed is returned if content with a valid checksum is not a batch, snapshot or identity in
// this format.
var ErrMalformed = errors.New("malformed content")

// minEntryBytes is the minimum encoded size of an entry. It limits the number of entries that a
// payload of a given size can declare.
const minEntryBytes = 4

// AppendBatch appends the encoded batch to dst.
func AppendBatch(dst []byte, b Batch) []byte {
	var flags byte
	if b.Base != nil {
		flags |= flagBase
	}
	if b.Reset != nil {
		flags |= flagReset
	}
	if b.HardState != nil {
		flags |= flagHardState
	}
	dst = append(dst, flags)
	if b.Base != nil {
		dst = appendPosition(dst, *b.Base)
	}
	if b.Reset != nil {
		dst = appendPosition(dst, *b.Reset)
	}
	if b.HardState != nil {
		dst = binary.AppendUvarint(dst, b.HardState.Term)
		dst = binary.AppendUvarint(dst, uint64(b.HardState.Vote))
	}
	dst = binary.AppendUvarint(dst, uint64(len(b.Entries)))
	for _, entry := range b.Entries {
		dst = appendEntry(dst, entry)
	}
	return dst
}

func appendPosition(dst []byte, p Position) []byte {
	dst = binary.AppendUvarint(dst, p.Index)
	return binary.AppendUvarint(dst, p.Term)
}

func appendEntry(dst []byte, e replog.Entry) []byte {
	dst = binary.AppendUvarint(dst, e.Index)
	dst = binary.AppendUvarint(dst, e.Term)
	dst = binary.AppendUvarint(dst, uint64(e.Kind))
	return appendBytes(dst, e.Data)
}

func appendBytes(dst, data []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(data)))
	return append(dst, data...)
}

// DecodeBatch decodes a payload. The only error is ErrMalformed. The data of the returned entries
// aliases payload.
func DecodeBatch(payload []byte) (Batch, error) {
	r := &reader{rest: payload}
	flags := r.byte()
	if flags&^knownFlags != 0 {
		return Batch{}, ErrMalformed
	}
	var b Batch
	if flags&flagBase != 0 {
		b.Base = r.position()
	}
	if flags&flagReset != 0 {
		b.Reset = r.position()
	}
	if flags&flagHardState != 0 {
		b.HardState = &replog.HardState{Term: r.uvarint(), Vote: replog.ReplicaID(r.uvarint())}
	}
	count := r.count(minEntryBytes)
	if count > 0 {
		b.Entries = make([]replog.Entry, count)
	}
	for i := range b.Entries {
		b.Entries[i] = r.entry()
	}
	return b, r.finish()
}

// reader decodes fields from the front of rest. After an error it returns zero values, and finish
// reports the error.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.failed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed = true
		r.rest = nil
		return nil
	}
	if n == 0 {
		return nil
	}
	data := r.rest[:n:n]
	r.rest = r.rest[n:]
	return data
}

// count reads the number of items that follow, each at least size bytes long.
func (r *reader) count(size int) int {
	n := r.uvarint()
	if n > uint64(len(r.rest)/size) {
		r.failed = true
		r.rest = nil
		return 0
	}
	return int(n)
}

func (r *reader) position() *Position {
	return &Position{Index: r.uvarint(), Term: r.uvarint()}
}

func (r *reader) entry() replog.Entry {
	return replog.Entry{
		Index: r.uvarint(),
		Term:  r.uvarint(),
		Kind:  replog.EntryKind(uint32(r.uvarint())),
		Data:  r.bytes(),
	}
}

func (r *reader) finish() error {
	if r.failed || len(r.rest) > 0 {
		return ErrMalformed
	}
	return nil
}
