package settings

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/strictconf"
)

// MinMemoryMB is the minimum memory limit of a process. Under low load a process has a peak memory use of 48 MB;
// a quarter of the limit must have room for the largest request.
const MinMemoryMB = 96

// CheckMemory returns the faults of a memory limit.
func CheckMemory(mb int64) strictconf.Faults {
	if mb >= MinMemoryMB {
		return nil
	}
	return strictconf.Faults{{Key: "memory_mb", Problem: fmt.Sprintf("is %d", mb), Expected: fmt.Sprintf("at least %d", MinMemoryMB)}}
}
