package walcodec

import "hash/crc32"

// Segment is the decoded content of a segment file.
type Segment struct {
	Header  SegmentHeader
	Batches []Batch
	Size    int64 // size of the valid part, in bytes
	Torn    bool  // the bytes after Size are a torn record
}

// ScanSegment decodes a segment file. last is true for the last segment of the folder, whose last
// record may be torn. The error is a *DamageError.
func ScanSegment(data []byte, last bool) (Segment, error) {
	header, err := ParseSegmentHeader(data)
	if err != nil {
		return Segment{}, err
	}
	segment := Segment{Header: header, Size: SegmentHeaderBytes}
	for segment.Size < int64(len(data)) {
		payload, fault := readRecord(data, header.Salt, segment.Size)
		if fault != nil {
			if last && fault.torn {
				segment.Torn = true
				return segment, nil
			}
			return segment, &DamageError{Offset: segment.Size, Reason: fault.reason}
		}
		batch, err := DecodeBatch(payload)
		if err != nil {
			// The checksum is valid, so these are the bytes that were written.
			return segment, &DamageError{Offset: segment.Size, Reason: err.Error(), OtherVersion: true}
		}
		segment.Batches = append(segment.Batches, batch)
		segment.Size += RecordHeaderBytes + int64(len(payload))
	}
	return segment, nil
}

// recordFault is the reason why there is no valid record at an offset. torn is true if the record
// may be torn, because no later write is visible after it.
type recordFault struct {
	torn   bool
	reason string
}

func readRecord(data []byte, salt uint64, offset int64) ([]byte, *recordFault) {
	head, ok := parseRecordHeader(data, salt, offset)
	if !ok {
		torn := int64(len(data))-offset <= RecordHeaderBytes+MaxRecordBytes && !hasLaterRecord(data, salt, offset)
		return nil, &recordFault{torn: torn, reason: "checksum of the record header differs"}
	}
	start := offset + RecordHeaderBytes
	end := start + head.length
	if end > int64(len(data)) {
		return nil, &recordFault{torn: true, reason: "the record is cut off"}
	}
	payload := data[start:end]
	if crc32.Checksum(payload, castagnoli) != head.payloadChecksum {
		return nil, &recordFault{torn: end == int64(len(data)), reason: "checksum of the record differs"}
	}
	return payload, nil
}

// hasLaterRecord reports whether there is a valid record header after offset. If so, another write
// followed the damaged record, which must therefore have been synced.
func hasLaterRecord(data []byte, salt uint64, offset int64) bool {
	for at := offset + 1; at+RecordHeaderBytes <= int64(len(data)); at++ {
		head, ok := parseRecordHeader(data, salt, at)
		if ok && at+RecordHeaderBytes+head.length <= int64(len(data)) {
			return true
		}
	}
	return false
}
