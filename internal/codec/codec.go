// Package codec encodes commands, results, queries, answers, configuration records, snapshots and
// memberships for the replicated log and for messages between processes. The format is CBOR (RFC
// 8949) in the deterministic form of its section 4.2.1, preceded by one byte with the version of
// the format. Decoding is strict: unknown and repeated fields, indefinite lengths, tags, trailing
// bytes, deep nesting and oversized messages are refused.
package codec

import (
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
)

// Version is the first byte of every message.
const Version = 1

// Errors of this package. A returned error wraps one of these with its cause and the kind of
// message.
var (
	ErrTooLarge  = merry.Sentinel("message is too large")
	ErrVersion   = merry.Sentinel("message has an unknown format version")
	ErrMalformed = merry.Sentinel("message is malformed")
)

// IsDecodeError reports whether a message cannot be decoded. Where it was stored with a valid checksum, another
// version of the program has written it.
func IsDecodeError(err error) bool {
	return errors.Is(err, ErrVersion) || errors.Is(err, ErrMalformed) || errors.Is(err, ErrTooLarge)
}

// Size limits of the messages. A command holds a cell file or an answer of up to 1 MiB; a snapshot
// holds up to 256 MiB of answers.
const (
	MaxCommandBytes    = 4 << 20
	MaxResultBytes     = 4 << 20
	MaxQueryBytes      = 1 << 20
	MaxAnswerBytes     = 64 << 20
	MaxRecordBytes     = 2 << 20
	MaxSnapshotBytes   = 1 << 30
	MaxMembershipBytes = 64 << 10
)

// Limits of the structure of messages.
const (
	maxNesting           = 16         // levels; the deepest message has 9
	maxElements          = 100_000    // elements of one array in a message
	maxSnapshotElements  = 10_000_000 // elements of one array in a snapshot
	maxMapPairs          = 1000       // pairs of one map; structures have at most 30 fields
	versionBytes         = 1
	maxDecoderErrorBytes = 200
)

var (
	commands    = format[state.Command]{"command", MaxCommandBytes, decodeMode(maxElements)}
	results     = format[state.Result]{"result", MaxResultBytes, decodeMode(maxElements)}
	queries     = format[state.Query]{"query", MaxQueryBytes, decodeMode(maxElements)}
	answers     = format[state.Answer]{"answer", MaxAnswerBytes, decodeMode(maxElements)}
	records     = format[state.ConfigRecord]{"configuration record", MaxRecordBytes, decodeMode(maxElements)}
	snapshots   = format[state.Snapshot]{"snapshot", MaxSnapshotBytes, decodeMode(maxSnapshotElements)}
	memberships = format[replog.Membership]{"membership", MaxMembershipBytes, decodeMode(maxElements)}
)

func EncodeCommand(c state.Command) ([]byte, error) { return commands.encode(c) }

func DecodeCommand(data []byte) (state.Command, error) { return commands.decode(data) }

func EncodeResult(r state.Result) ([]byte, error) { return results.encode(r) }

func DecodeResult(data []byte) (state.Result, error) { return results.decode(data) }

func EncodeQuery(q state.Query) ([]byte, error) { return queries.encode(q) }

func DecodeQuery(data []byte) (state.Query, error) { return queries.decode(data) }

func EncodeAnswer(a state.Answer) ([]byte, error) { return answers.encode(a) }

func DecodeAnswer(data []byte) (state.Answer, error) { return answers.decode(data) }

func EncodeConfigRecord(r state.ConfigRecord) ([]byte, error) { return records.encode(r) }

func DecodeConfigRecord(data []byte) (state.ConfigRecord, error) { return records.decode(data) }

// EncodeSnapshot encodes a snapshot of the state. It sorts the lists first, so that equal states
// have equal encodings.
func EncodeSnapshot(s state.Snapshot) ([]byte, error) {
	s.Sort()
	return snapshots.encode(s)
}

func DecodeSnapshot(data []byte) (state.Snapshot, error) { return snapshots.decode(data) }

// EncodeMembership encodes the membership of the replicated log.
func EncodeMembership(m replog.Membership) ([]byte, error) { return memberships.encode(m) }

// DecodeMembership decodes the membership of the replicated log.
func DecodeMembership(data []byte) (replog.Membership, error) { return memberships.decode(data) }

// format describes the encoding of one type of message.
type format[T any] struct {
	kind     string
	maxBytes int
	mode     cbor.DecMode
}

func (f format[T]) encode(value T) ([]byte, error) {
	body, err := encoder.Marshal(value)
	if err != nil {
		return nil, merry.Wrap(ErrMalformed, merry.PrependMessage(f.kind), merry.WithCause(err))
	}
	if len(body)+versionBytes > f.maxBytes {
		return nil, f.tooLarge(len(body) + versionBytes)
	}
	data := make([]byte, 0, len(body)+versionBytes)
	return append(append(data, Version), body...), nil
}

func (f format[T]) decode(data []byte) (T, error) {
	var value, none T
	if len(data) > f.maxBytes {
		return none, f.tooLarge(len(data))
	}
	if len(data) < versionBytes || data[0] != Version {
		return none, merry.Wrap(ErrVersion, merry.PrependMessage(f.kind))
	}
	if err := f.mode.Unmarshal(data[versionBytes:], &value); err != nil {
		return none, merry.Wrap(ErrMalformed, merry.PrependMessage(f.kind), merry.AppendMessage(truncatedError(err)))
	}
	return value, nil
}

func (f format[T]) tooLarge(size int) error {
	return merry.Wrap(ErrTooLarge, merry.PrependMessage(f.kind), merry.AppendMessagef("%d bytes, limit %d", size, f.maxBytes))
}

// truncatedError returns the text of a decoder error. The text may quote the message, so its
// length is limited.
func truncatedError(err error) string {
	text := err.Error()
	if len(text) > maxDecoderErrorBytes {
		return text[:maxDecoderErrorBytes]
	}
	return text
}
