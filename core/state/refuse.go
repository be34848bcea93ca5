package state

import (
	"fmt"
	"strings"
)

// refuse returns the result of a refused command. The detail may quote the command, so its length is
// limited.
func refuse(reason Refusal, format string, args ...any) Result {
	return Result{Refusal: reason, Detail: truncate(fmt.Sprintf(format, args...))}
}

// Length limits of the strings in commands, which are stored as long as the record that they belong
// to.
const (
	maxKeyBytes     = 256      // keys of jobs and requests
	maxNameBytes    = 256      // names chosen by callers and workers
	maxCommandBytes = 64 << 10 // command of a job
	maxDetailBytes  = 512      // reason of a failure or a refusal
)

// truncate cuts a text to maxDetailBytes without splitting a UTF-8 character.
func truncate(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxDetailBytes], "")
}
