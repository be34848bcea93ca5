package walcodec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Guards against a log that is reported as damaged although another version of the program wrote
// it, and against damage that is reported as another version.
func TestOtherVersionIsNotDamage(t *testing.T) {
	file, offsets := threeRecords()
	later := bytes.Clone(file)
	binary.LittleEndian.PutUint32(later[8:], FormatVersion+1)
	binary.LittleEndian.PutUint32(later[28:], crc32.Checksum(later[:28], castagnoli))
	flipped := bytes.Clone(file)
	flipped[offsets[0]+RecordHeaderBytes] ^= 1
	header := bytes.Clone(file)
	header[8] ^= 1
	snapshot := EncodeSnapshot(replog.Snapshot{Index: 1, Term: 1})
	laterSnapshot := bytes.Clone(snapshot)
	binary.LittleEndian.PutUint32(laterSnapshot[8:], FormatVersion+1)
	flippedSnapshot := bytes.Clone(snapshot)
	flippedSnapshot[fileHeaderBytes] ^= 1
	scan := func(data []byte) error { _, err := ScanSegment(data, true); return err }
	decode := func(data []byte) error { _, err := DecodeSnapshot(data); return err }
	identify := func(data []byte) error { _, err := DecodeIdentity(data); return err }
	unknown := AppendRecord(bytes.Clone(file[:offsets[0]]), testSalt, offsets[0], []byte{0xff})
	for name, c := range map[string]struct {
		err   error
		other bool
	}{
		"later segment":          {scan(later), true},
		"unknown kind of record": {scan(unknown), true},
		"later snapshot":         {decode(laterSnapshot), true},
		"unknown identity flag":  {identify(encodeFile(identityMagic, []byte{1, identityFlags})), true},
		"flipped record":         {scan(flipped), false},
		"flipped segment header": {scan(header), false},
		"flipped snapshot":       {decode(flippedSnapshot), false},
	} {
		var damage *DamageError
		if !errors.As(c.err, &damage) || damage.OtherVersion != c.other {
			t.Errorf("%s: %v, want other version %v", name, c.err, c.other)
		}
	}
}
