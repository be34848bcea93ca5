// Package inspect reads and checks the complete data folder of a stopped control replica and prints
// its content as JSON. It never modifies the folder.
package inspect

import (
	"encoding/json"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// ErrContent says that a file is undamaged, but an entry or the snapshot in it cannot be decoded.
var ErrContent = merry.Sentinel("content of the data folder cannot be decoded")

// Summary is the result of Verify.
type Summary struct {
	Replica       replog.ReplicaID // 0 when the folder is empty
	Formed        bool
	Term          uint64
	Vote          replog.ReplicaID
	SnapshotIndex uint64 // 0 when there is no snapshot
	FirstIndex    uint64 // 0 when no entry follows the snapshot
	LastIndex     uint64
	Torn          bool // the log ends in a torn record, which the next start truncates
}

// folderContent is the JSON output for a folder.
type folderContent struct {
	Summary
	Snapshot *snapshotContent `json:",omitempty"`
	Entries  []entryContent
}

type snapshotContent struct {
	Index      uint64
	Term       uint64
	Membership replog.Membership
	State      state.Snapshot
}

type entryContent struct {
	Index      uint64
	Term       uint64
	Kind       string
	Command    *state.Command     `json:",omitempty"`
	Membership *replog.Membership `json:",omitempty"`
}

// Verify checks every record, the snapshot and the identity in a folder, and decodes every command.
func Verify(folder string) (Summary, error) {
	content, err := readFolder(folder)
	return content.Summary, err
}

// Print writes the content of a folder to out as one JSON object.
func Print(out io.Writer, folder string) error {
	all, err := readFolder(folder)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(all)
}

func readFolder(folder string) (folderContent, error) {
	// NewFolder would create a missing folder.
	if _, err := os.Stat(folder); err != nil {
		return folderContent{}, merry.Wrap(err)
	}
	disk, err := diskio.NewFolder(folder)
	if err != nil {
		return folderContent{}, merry.Wrap(err)
	}
	recovered, err := storage.Inspect(disk)
	if err != nil {
		return folderContent{}, err
	}
	result := folderContent{Summary: summarize(recovered)}
	if recovered.Snapshot != nil {
		if result.Snapshot, err = decodeSnapshot(*recovered.Snapshot); err != nil {
			return folderContent{}, err
		}
	}
	for _, entry := range recovered.Entries {
		decoded, err := decodeEntry(entry)
		if err != nil {
			return folderContent{}, err
		}
		result.Entries = append(result.Entries, decoded)
	}
	return result, nil
}

func summarize(r storage.Recovered) Summary {
	s := Summary{Term: r.HardState.Term, Vote: r.HardState.Vote, Torn: r.Torn}
	if r.Identity != nil {
		s.Replica, s.Formed = r.Identity.Replica, r.Identity.Formed
	}
	if r.Snapshot != nil {
		s.SnapshotIndex, s.LastIndex = r.Snapshot.Index, r.Snapshot.Index
	}
	if n := len(r.Entries); n > 0 {
		s.FirstIndex, s.LastIndex = r.Entries[0].Index, r.Entries[n-1].Index
	}
	return s
}

func decodeSnapshot(s replog.Snapshot) (*snapshotContent, error) {
	decoded, err := codec.DecodeSnapshot(s.Data)
	if err != nil {
		return nil, merry.Wrap(ErrContent, merry.WithCause(err), merry.AppendMessagef("snapshot at %d", s.Index))
	}
	if _, err := state.Restore(decoded); err != nil {
		return nil, merry.Wrap(ErrContent, merry.WithCause(err), merry.AppendMessagef("snapshot at %d", s.Index))
	}
	return &snapshotContent{Index: s.Index, Term: s.Term, Membership: s.Membership, State: decoded}, nil
}

func decodeEntry(e replog.Entry) (entryContent, error) {
	out := entryContent{Index: e.Index, Term: e.Term}
	var err error
	switch e.Kind {
	case replog.EntryNoop:
		out.Kind = "noop"
	case replog.EntryMembership:
		var membership replog.Membership
		out.Kind = "membership"
		membership, err = replog.DecodeMembership(e.Data)
		out.Membership = &membership
	default:
		var command state.Command
		out.Kind = "command"
		command, err = codec.DecodeCommand(e.Data)
		out.Command = &command
	}
	if err != nil {
		return out, merry.Wrap(ErrContent, merry.WithCause(err), merry.AppendMessagef("entry %d", e.Index))
	}
	return out, nil
}
