package state

import "time"

// SetRetentionStepLimit lets the retention clock move by days in one Advance.
func SetRetentionStepLimit(limit time.Duration) { retentionStepLimit = limit }
