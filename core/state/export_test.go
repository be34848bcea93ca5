package state

import "time"

// SetRetentionStepLimit lets a test pass days in one Advance.
func SetRetentionStepLimit(limit time.Duration) { retentionStepLimit = limit }
