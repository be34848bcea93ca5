package state

import (
	"fmt"
	"strings"
)

// refuse returns the result of a command that was not carried out. The detail
// may quote the command, so it is cut.
func refuse(reason Refusal, format string, args ...any) Result {
	return Result{Refusal: reason, Detail: shorten(fmt.Sprintf(format, args...))}
}

// Bounds of the texts of commands. They are kept for the time of the record
// that they belong to.
const (
	maxKeyBytes     = 256      // keys of jobs and requests
	maxNameBytes    = 256      // names that callers and workers choose
	maxCommandBytes = 64 << 10 // command of a job
	maxDetailBytes  = 512      // reason of a failure or a refusal
)

// shorten cuts a text between two characters.
func shorten(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxDetailBytes], "")
}
