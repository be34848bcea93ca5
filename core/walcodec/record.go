package walcodec

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// FormatVersion is the version of all file formats. Files of another version are rejected.
const FormatVersion = 1

// MaxRecordBytes is the maximum size of a record's payload. internal/storage limits the size of a
// group commit to less than this.
const MaxRecordBytes = 64 << 20

// Sizes of the fixed parts, in bytes.
const (
	SegmentHeaderBytes = 32
	RecordHeaderBytes  = 12
)

const segmentMagic = "godwitWL"

// castagnoli is the table for CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError reports file content that differs from what was written. The owner of the file adds
// its name.
type DamageError struct {
	Offset int64 // offset of the damaged record or field in the file
	Reason string
	// OtherVersion is true if the format is unknown rather than damaged. Another version of the
	// program may have written the file.
	OtherVersion bool
}

// Error returns a description of the damage without the name of the file.
func (e *DamageError) Error() string {
	return fmt.Sprintf("damaged at offset %d: %s", e.Offset, e.Reason)
}

// SegmentHeader identifies a segment file.
type SegmentHeader struct {
	Number uint64 // the segments of a folder are numbered consecutively
	// Salt is a random number for each segment. It is included in the checksums of the segment's
	// records, so that bytes within a command cannot be mistaken for a record.
	Salt uint64
}

// AppendSegmentHeader appends the encoded header to dst.
func AppendSegmentHeader(dst []byte, h SegmentHeader) []byte {
	start := len(dst)
	dst = append(dst, segmentMagic...)
	dst = binary.LittleEndian.AppendUint32(dst, FormatVersion)
	dst = binary.LittleEndian.AppendUint64(dst, h.Number)
	dst = binary.LittleEndian.AppendUint64(dst, h.Salt)
	return binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
}

// ParseSegmentHeader decodes the header at the start of a segment file. The error is a
// *DamageError.
func ParseSegmentHeader(data []byte) (SegmentHeader, error) {
	if len(data) < SegmentHeaderBytes {
		return SegmentHeader{}, &DamageError{Reason: "the segment header is cut off"}
	}
	if string(data[:len(segmentMagic)]) != segmentMagic {
		return SegmentHeader{}, &DamageError{Reason: "not a segment file"}
	}
	sum := binary.LittleEndian.Uint32(data[28:])
	if crc32.Checksum(data[:28], castagnoli) != sum {
		return SegmentHeader{}, &DamageError{Reason: "checksum of the segment header differs"}
	}
	if version := binary.LittleEndian.Uint32(data[8:]); version != FormatVersion {
		return SegmentHeader{}, &DamageError{Reason: fmt.Sprintf("format version %d is not %d", version, FormatVersion), OtherVersion: true}
	}
	return SegmentHeader{
		Number: binary.LittleEndian.Uint64(data[12:]),
		Salt:   binary.LittleEndian.Uint64(data[20:]),
	}, nil
}

// AppendRecord appends a record with the given payload to dst. offset is the offset of the record
// in the file.
func AppendRecord(dst []byte, salt uint64, offset int64, payload []byte) []byte {
	length := uint32(len(payload))
	payloadChecksum := crc32.Checksum(payload, castagnoli)
	dst = binary.LittleEndian.AppendUint32(dst, length)
	dst = binary.LittleEndian.AppendUint32(dst, payloadChecksum)
	dst = binary.LittleEndian.AppendUint32(dst, headerChecksum(salt, offset, length, payloadChecksum))
	return append(dst, payload...)
}

// headerChecksum returns the checksum of a record header. It covers the salt and the offset, so a
// record is valid only at the place where it was written.
func headerChecksum(salt uint64, offset int64, length, payloadChecksum uint32) uint32 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], salt)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	binary.LittleEndian.PutUint32(b[16:], length)
	binary.LittleEndian.PutUint32(b[20:], payloadChecksum)
	return crc32.Checksum(b[:], castagnoli)
}

// recordHeader is a decoded record header with a valid checksum.
type recordHeader struct {
	length          int64
	payloadChecksum uint32
}

func parseRecordHeader(data []byte, salt uint64, offset int64) (recordHeader, bool) {
	if int64(len(data))-offset < RecordHeaderBytes {
		return recordHeader{}, false
	}
	head := data[offset:]
	length := binary.LittleEndian.Uint32(head)
	payloadChecksum := binary.LittleEndian.Uint32(head[4:])
	if binary.LittleEndian.Uint32(head[8:]) != headerChecksum(salt, offset, length, payloadChecksum) {
		return recordHeader{}, false
	}
	return recordHeader{length: int64(length), payloadChecksum: payloadChecksum}, length <= MaxRecordBytes
}
