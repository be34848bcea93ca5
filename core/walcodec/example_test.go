package walcodec_test

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/walcodec"
)

func ExampleScanSegment() {
	header := walcodec.SegmentHeader{Number: 1, Salt: 42}
	file := walcodec.AppendSegmentHeader(nil, header)
	batch := walcodec.AppendBatch(nil, walcodec.Batch{
		Entries: []replog.Entry{{Index: 1, Term: 1, Kind: replog.EntryCommand, Data: []byte("set")}},
	})
	file = walcodec.AppendRecord(file, header.Salt, int64(len(file)), batch)
	whole := len(file)
	file = walcodec.AppendRecord(file, header.Salt, int64(len(file)), batch)

	segment, err := walcodec.ScanSegment(file[:len(file)-1], true)
	fmt.Println(len(segment.Batches), segment.Torn, segment.Size == int64(whole), err)
	// Output: 1 true true <nil>
}
