package walcodec

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Magic bytes of the files that hold a single value.
const (
	snapshotMagic = "godwitSN"
	identityMagic = "godwitID"
)

// fileHeaderBytes is the size of the header of such a file: magic, version, length and checksum.
const fileHeaderBytes = 8 + 4 + 8 + 4

// Identity is the content of the identity file of a data folder. The file is written when the
// replica may vote for the first time.
type Identity struct {
	Replica replog.ReplicaID
	Formed  bool // the replica has stored an entry of a formed group
	Joined  bool // the folder was created empty while the group was already formed
}

// Flags of the identity file.
const (
	identityFormed = 1 << iota
	identityJoined
	identityFlags // flags must be below this value
)

// EncodeSnapshot returns the content of a snapshot file.
func EncodeSnapshot(s replog.Snapshot) []byte {
	body := make([]byte, 0, len(s.Data)+64)
	body = appendPosition(body, Position{Index: s.Index, Term: s.Term})
	body = appendBytes(body, replog.EncodeMembership(s.Membership))
	body = appendBytes(body, s.Data)
	return encodeFile(snapshotMagic, body)
}

// DecodeSnapshot reads a snapshot file. The error is a *DamageError.
func DecodeSnapshot(data []byte) (replog.Snapshot, error) {
	body, err := decodeFile(snapshotMagic, data)
	if err != nil {
		return replog.Snapshot{}, err
	}
	r := &reader{rest: body}
	position := r.position()
	s := replog.Snapshot{Index: position.Index, Term: position.Term}
	membership, err := replog.DecodeMembership(r.bytes())
	s.Membership = membership
	s.Data = r.bytes()
	if err := errors.Join(err, r.finish()); err != nil {
		return replog.Snapshot{}, &DamageError{Offset: fileHeaderBytes, Reason: err.Error(), OtherVersion: true}
	}
	return s, nil
}

// EncodeIdentity returns the content of the identity file.
func EncodeIdentity(id Identity) []byte {
	body := binary.AppendUvarint(nil, uint64(id.Replica))
	flags := byte(0)
	if id.Formed {
		flags |= identityFormed
	}
	if id.Joined {
		flags |= identityJoined
	}
	return encodeFile(identityMagic, append(body, flags))
}

// DecodeIdentity reads an identity file. The error is a *DamageError.
func DecodeIdentity(data []byte) (Identity, error) {
	body, err := decodeFile(identityMagic, data)
	if err != nil {
		return Identity{}, err
	}
	r := &reader{rest: body}
	id := Identity{Replica: replog.ReplicaID(r.uvarint())}
	flags := r.byte()
	id.Formed = flags&identityFormed != 0
	id.Joined = flags&identityJoined != 0
	if r.finish() != nil || flags >= identityFlags {
		return Identity{}, &DamageError{Offset: fileHeaderBytes, Reason: ErrMalformed.Error(), OtherVersion: true}
	}
	return id, nil
}

func encodeFile(magic string, body []byte) []byte {
	out := make([]byte, 0, fileHeaderBytes+len(body))
	out = append(out, magic...)
	out = binary.LittleEndian.AppendUint32(out, FormatVersion)
	out = binary.LittleEndian.AppendUint64(out, uint64(len(body)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

func decodeFile(magic string, data []byte) ([]byte, error) {
	if len(data) < fileHeaderBytes || string(data[:len(magic)]) != magic {
		return nil, &DamageError{Reason: "the header is cut off or of another kind"}
	}
	if version := binary.LittleEndian.Uint32(data[8:]); version != FormatVersion {
		return nil, &DamageError{Offset: 8, Reason: "unknown format version", OtherVersion: true}
	}
	body := data[fileHeaderBytes:]
	if binary.LittleEndian.Uint64(data[12:]) != uint64(len(body)) {
		return nil, &DamageError{Offset: 12, Reason: "the length differs"}
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(data[20:]) {
		return nil, &DamageError{Offset: fileHeaderBytes, Reason: "the checksum differs"}
	}
	return body, nil
}
