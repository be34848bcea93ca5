package cellconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/godwitlink/godwitlink/core/strictconf"
)

// Parse decodes a cell file and validates it. It returns all faults, sorted by line; the file is usable
// only if there are none. A check that depends on a setting that could not be decoded is skipped, so that
// each mistake is reported once.
func Parse(data []byte) (File, strictconf.Faults) {
	var file File
	if len(data) > MaxFileBytes {
		return file, strictconf.Faults{{
			Problem:  fmt.Sprintf("the file has %d bytes", len(data)),
			Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes),
		}}
	}
	faults := strictconf.Decode(data, &file)
	if syntaxOnly(faults) {
		return file, faults
	}
	c := newChecker(&file, data, faults)
	c.checkFile()
	c.faults.Sort()
	return file, c.faults
}

// syntaxOnly reports whether faults is the single fault of a file with a syntax error, which has no key.
func syntaxOnly(faults strictconf.Faults) bool {
	return len(faults) == 1 && faults[0].Key == ""
}

// Digest returns the hexadecimal SHA-256 of the content of a cell file.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
