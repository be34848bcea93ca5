package walcodec

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
)

const testSalt = 0x5eed

// threeRecords returns a segment with three records, the offset of each record, and the length of
// the file as the fourth offset.
func threeRecords() (file []byte, offsets []int64) {
	file = AppendSegmentHeader(nil, SegmentHeader{Number: 1, Salt: testSalt})
	for i := uint64(1); i <= 3; i++ {
		offsets = append(offsets, int64(len(file)))
		batch := Batch{Entries: []replog.Entry{{Index: i, Term: 1, Kind: replog.EntryCommand, Data: bytes.Repeat([]byte{byte(i)}, 40)}}}
		file = AppendRecord(file, testSalt, int64(len(file)), AppendBatch(nil, batch))
	}
	return file, append(offsets, int64(len(file)))
}

// Guards against recovery that drops a synced record. If any byte before the last record is
// damaged, ScanSegment must return an error with the offset of the damaged record.
func TestDamageBeforeLastRecordIsReported(t *testing.T) {
	file, offsets := threeRecords()
	for at := offsets[0]; at < offsets[2]; at++ {
		damaged := bytes.Clone(file)
		damaged[at] ^= 0x40
		segment, err := ScanSegment(damaged, true)
		var damage *DamageError
		want := offsets[0]
		if at >= offsets[1] {
			want = offsets[1]
		}
		if !errors.As(err, &damage) || damage.Offset != want {
			t.Fatalf("byte %d: error %v, want damage at %d (torn %v)", at, err, want, segment.Torn)
		}
	}
}

// Guards against recovery that fails after an interrupted write. If the last record is short or
// some of its bytes did not reach the disk, it is dropped in the last segment and reported in all
// other segments.
func TestTornLastRecordIsCut(t *testing.T) {
	file, offsets := threeRecords()
	for at := offsets[2] + 1; at < offsets[3]; at++ {
		short := file[:at]
		zeroed := append(bytes.Clone(file[:at]), make([]byte, offsets[3]-at)...)
		for _, torn := range [][]byte{short, zeroed} {
			segment, err := ScanSegment(torn, true)
			if err != nil || !segment.Torn || segment.Size != offsets[2] || len(segment.Batches) != 2 {
				t.Fatalf("cut at %d: torn %v, size %d, %d batches, error %v", at, segment.Torn, segment.Size, len(segment.Batches), err)
			}
			if _, err := ScanSegment(torn, false); err == nil {
				t.Fatalf("cut at %d: accepted in a segment that is not the last", at)
			}
		}
	}
}

// Guards against a log that keeps replaced entries, and against a gap between records that is not
// reported.
func TestLogApply(t *testing.T) {
	entry := func(index, term uint64) replog.Entry { return replog.Entry{Index: index, Term: term} }
	log := Log{}
	steps := []struct {
		batch Batch
		last  Position
		gap   bool
	}{
		{batch: Batch{Base: &Position{}, Entries: []replog.Entry{entry(1, 1), entry(2, 1), entry(3, 1)}}, last: Position{3, 1}},
		{batch: Batch{Entries: []replog.Entry{entry(2, 2)}}, last: Position{2, 2}},
		{batch: Batch{Base: &Position{Index: 2, Term: 2}}, last: Position{2, 2}},
		{batch: Batch{Entries: []replog.Entry{entry(4, 2)}}, gap: true},
		{batch: Batch{Base: &Position{Index: 3, Term: 2}}, gap: true},
		{batch: Batch{Reset: &Position{Index: 9, Term: 3}, Entries: []replog.Entry{entry(10, 3)}}, last: Position{10, 3}},
		{batch: Batch{Entries: []replog.Entry{entry(9, 4)}}, gap: true},
	}
	for i, step := range steps {
		err := log.Apply(step.batch)
		if errors.Is(err, ErrGap) != step.gap {
			t.Fatalf("step %d: error %v, want gap %v", i, err, step.gap)
		}
		if !step.gap && log.Last() != step.last {
			t.Fatalf("step %d: last %v, want %v", i, log.Last(), step.last)
		}
	}
}

// Guards against a recovery that fails because the first remaining segment replaces entries of a
// segment that was removed after a snapshot.
func TestLogReplacesEntriesOfRemovedSegment(t *testing.T) {
	log := Log{}
	replaced := Batch{Base: &Position{Index: 100, Term: 1}, Entries: []replog.Entry{{Index: 90, Term: 2}, {Index: 91, Term: 2}}}
	if err := log.Apply(replaced); err != nil || log.Last() != (Position{91, 2}) {
		t.Fatalf("last %v, error %v", log.Last(), err)
	}
}

// Guards against a snapshot after which entries of another log are kept, or entries that continue
// the snapshot are dropped.
func TestLogAttach(t *testing.T) {
	cases := map[string]struct {
		at   Position
		kept bool
		left int
		gap  bool
	}{
		"inside":       {at: Position{6, 1}, kept: true, left: 2},
		"at end":       {at: Position{8, 1}, kept: true},
		"at base":      {at: Position{5, 1}, kept: true, left: 3},
		"other term":   {at: Position{6, 2}},
		"after end":    {at: Position{20, 1}},
		"before start": {at: Position{4, 1}, gap: true},
	}
	for name, c := range cases {
		log := Log{base: Position{5, 1}, startIndex: 5, entries: []replog.Entry{{Index: 6, Term: 1}, {Index: 7, Term: 1}, {Index: 8, Term: 1}}}
		kept, err := log.AttachSnapshot(c.at)
		if kept != c.kept || errors.Is(err, ErrGap) != c.gap || (!c.gap && len(log.Entries()) != c.left) {
			t.Errorf("%s: kept %v, %d left, error %v", name, kept, len(log.Entries()), err)
		}
	}
}

// Guards against recovery that takes a missing segment for a log that a snapshot replaced. Entries
// that replace those of the missing segment lower the base of the log to the snapshot.
func TestLogWithoutNeededSegmentIsRefused(t *testing.T) {
	log := Log{}
	for _, batch := range []Batch{
		{Base: &Position{Index: 40, Term: 3}, HardState: &replog.HardState{Term: 4}},
		{Entries: []replog.Entry{{Index: 37, Term: 4}}},
	} {
		if err := log.Apply(batch); err != nil {
			t.Fatal(err)
		}
	}
	if kept, err := log.AttachSnapshot(Position{Index: 36, Term: 3}); !errors.Is(err, ErrGap) {
		t.Errorf("kept %v, error %v, want ErrGap", kept, err)
	}
}

// Guards against corrupted snapshot and identity files that are accepted.
func TestSnapshotAndIdentityFiles(t *testing.T) {
	snapshot := replog.Snapshot{
		Index: 7, Term: 3, Data: []byte("state"),
		Membership: replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}, Learners: []replog.ReplicaID{4}},
	}
	file := EncodeSnapshot(snapshot)
	got, err := DecodeSnapshot(file)
	if err != nil || !reflect.DeepEqual(got, snapshot) {
		t.Fatalf("snapshot %+v, error %v", got, err)
	}
	identity := EncodeIdentity(Identity{Replica: 3, Formed: true, Joined: true})
	if id, err := DecodeIdentity(identity); err != nil || id != (Identity{Replica: 3, Formed: true, Joined: true}) {
		t.Fatalf("identity %+v, error %v", id, err)
	}
	for at := range file {
		damaged := bytes.Clone(file)
		damaged[at] ^= 1
		if _, err := DecodeSnapshot(damaged); err == nil {
			t.Errorf("byte %d of a snapshot is not checked", at)
		}
	}
	for at := range identity {
		damaged := bytes.Clone(identity)
		damaged[at] ^= 1
		if _, err := DecodeIdentity(damaged); err == nil {
			t.Errorf("byte %d of an identity is not checked", at)
		}
	}
}

// Guards against decoders that panic or allocate unbounded memory on malformed content, and against
// content that changes in a round trip.
func FuzzScanSegment(f *testing.F) {
	file, offsets := threeRecords()
	f.Add(file, false)
	f.Add(file[:offsets[2]+5], true)
	f.Add(AppendBatch(nil, Batch{HardState: &replog.HardState{Term: 2, Vote: 1}, Reset: &Position{4, 2}}), false)
	f.Fuzz(func(t *testing.T, data []byte, last bool) {
		if segment, err := ScanSegment(data, last); err == nil && segment.Size > int64(len(data)) {
			t.Fatalf("size %d of %d bytes", segment.Size, len(data))
		}
		batch, err := DecodeBatch(data)
		if err != nil {
			return
		}
		again, err := DecodeBatch(AppendBatch(nil, batch))
		if err != nil || !reflect.DeepEqual(again, batch) {
			t.Fatalf("round trip: %+v, %v, want %+v", again, err, batch)
		}
	})
}
