package walcodec

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// FormatVersion is the version of all files. A file of another version is
// refused.
const FormatVersion = 1

// MaxRecordBytes bounds the payload of a record. It holds the largest group
// commit: internal/storage closes a group below it.
const MaxRecordBytes = 64 << 20

// Sizes of the fixed parts, in bytes.
const (
	SegmentHeaderBytes = 32
	RecordHeaderBytes  = 12
)

const segmentMagic = "godwitWL"

// castagnoli is the table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError says that a file holds something that was not written so. The
// owner of the file adds its name.
type DamageError struct {
	Offset int64 // of the damaged record or field, from the start of the file
	Reason string
	// OtherVersion is set where the format is unknown rather than damaged:
	// another version of the program may have written the file.
	OtherVersion bool
}

// Error formats the damage without the name of the file.
func (e *DamageError) Error() string {
	return fmt.Sprintf("damaged at offset %d: %s", e.Offset, e.Reason)
}

// SegmentHeader identifies a segment file.
type SegmentHeader struct {
	Number uint64 // segments of a folder are numbered without gaps
	// Salt is drawn at random for each segment and part of the checksums of its
	// records, so that bytes inside a command cannot pass for a record.
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

// ParseSegmentHeader reads the header at the start of a segment file. The
// error is a *DamageError.
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

// AppendRecord appends a record with the given payload to dst. offset is the
// position in the file at which the record will stand.
func AppendRecord(dst []byte, salt uint64, offset int64, payload []byte) []byte {
	length := uint32(len(payload))
	sum := crc32.Checksum(payload, castagnoli)
	dst = binary.LittleEndian.AppendUint32(dst, length)
	dst = binary.LittleEndian.AppendUint32(dst, sum)
	dst = binary.LittleEndian.AppendUint32(dst, headerSum(salt, offset, length, sum))
	return append(dst, payload...)
}

// headerSum is the checksum of a record's header. It covers the salt and the
// offset, so a record is valid only where it was written.
func headerSum(salt uint64, offset int64, length, payloadSum uint32) uint32 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], salt)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	binary.LittleEndian.PutUint32(b[16:], length)
	binary.LittleEndian.PutUint32(b[20:], payloadSum)
	return crc32.Checksum(b[:], castagnoli)
}

// recordHeader is a decoded record header whose checksum agrees.
type recordHeader struct {
	length     int64
	payloadSum uint32
}

func parseRecordHeader(data []byte, salt uint64, offset int64) (recordHeader, bool) {
	if int64(len(data))-offset < RecordHeaderBytes {
		return recordHeader{}, false
	}
	head := data[offset:]
	length := binary.LittleEndian.Uint32(head)
	payloadSum := binary.LittleEndian.Uint32(head[4:])
	if binary.LittleEndian.Uint32(head[8:]) != headerSum(salt, offset, length, payloadSum) {
		return recordHeader{}, false
	}
	return recordHeader{length: int64(length), payloadSum: payloadSum}, length <= MaxRecordBytes
}
