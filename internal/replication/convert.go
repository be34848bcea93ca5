package replication

import (
	"errors"
	"fmt"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// errMalformed means that no replica sends such a message.
var errMalformed = errors.New("malformed message")

func encodeMessage(m replog.Message) *rpcpb.LogMessage {
	out := &rpcpb.LogMessage{
		Type: uint32(m.Type), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		LogTerm: m.LogTerm, LogIndex: m.LogIndex, Commit: m.Commit, Reject: m.Reject,
		Hint: m.Hint, Context: m.Context, SentNanos: m.SentNanos,
	}
	if len(m.Entries) > 0 {
		out.Entries = make([]*rpcpb.LogEntry, len(m.Entries))
	}
	for i, e := range m.Entries {
		out.Entries[i] = &rpcpb.LogEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &rpcpb.LogSnapshot{
			Index: s.Index, Term: s.Term, Membership: replog.EncodeMembership(s.Membership), Data: s.Data,
		}
	}
	return out
}

// decodeMessage decodes a message and checks the properties that the log relies on. The error
// wraps errMalformed.
func decodeMessage(in *rpcpb.LogMessage) (replog.Message, error) {
	m := replog.Message{
		Type: replog.MessageType(in.Type), From: replog.ReplicaID(in.From), To: replog.ReplicaID(in.To), Term: in.Term,
		LogTerm: in.LogTerm, LogIndex: in.LogIndex, Commit: in.Commit, Reject: in.Reject,
		Hint: in.Hint, Context: in.Context, SentNanos: in.SentNanos,
	}
	if m.Type < replog.MessagePreVote || m.Type > replog.MessageTimeoutNow {
		return m, fmt.Errorf("%w: type %d", errMalformed, m.Type)
	}
	if m.From == 0 || m.Term == 0 {
		return m, fmt.Errorf("%w: sender or term is 0", errMalformed)
	}
	if err := decodeEntries(&m, in.Entries); err != nil {
		return m, err
	}
	if (m.Type == replog.MessageSnapshot) != (in.Snapshot != nil) {
		return m, fmt.Errorf("%w: type %d with snapshot %v", errMalformed, m.Type, in.Snapshot != nil)
	}
	if in.Snapshot != nil {
		return m, decodeSnapshot(&m, in.Snapshot)
	}
	return m, nil
}

func decodeEntries(m *replog.Message, entries []*rpcpb.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if m.Type != replog.MessageAppend {
		return fmt.Errorf("%w: type %d with entries", errMalformed, m.Type)
	}
	m.Entries = make([]replog.Entry, len(entries))
	term := m.LogTerm
	for i, e := range entries {
		if e.Index != m.LogIndex+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("%w: entry %d of term %d after entry %d", errMalformed, e.Index, e.Term, m.LogIndex)
		}
		kind := replog.EntryKind(e.Kind)
		if kind < replog.EntryCommand || kind > replog.EntryNoop {
			return fmt.Errorf("%w: entry of kind %d", errMalformed, kind)
		}
		if kind == replog.EntryMembership {
			if _, err := replog.DecodeMembership(e.Data); err != nil {
				return fmt.Errorf("%w: %w", errMalformed, err)
			}
		}
		term = e.Term
		m.Entries[i] = replog.Entry{Index: e.Index, Term: e.Term, Kind: kind, Data: e.Data}
	}
	return nil
}

func decodeSnapshot(m *replog.Message, s *rpcpb.LogSnapshot) error {
	membership, err := replog.DecodeMembership(s.Membership)
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if s.Index == 0 || s.Term == 0 || s.Term > m.Term || len(membership.Voters) == 0 {
		return fmt.Errorf("%w: snapshot at %d of term %d", errMalformed, s.Index, s.Term)
	}
	m.Snapshot = &replog.Snapshot{Index: s.Index, Term: s.Term, Membership: membership, Data: s.Data}
	return nil
}
