package settings

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/memorybudget"
	"github.com/godwitlink/godwitlink/internal/connmemory"
)

// Guards against a memory limit that passes the check and with which no process can start, because its
// connections have no room for the largest request.
func TestLeastMemoryHasRoomForRequests(t *testing.T) {
	if faults := CheckMemory(MinMemoryMB); len(faults) > 0 {
		t.Errorf("%v", faults)
	}
	if _, err := memorybudget.Divide(connmemory.Bytes(MinMemoryMB)); err != nil {
		t.Error(err)
	}
	if faults := CheckMemory(MinMemoryMB - 1); len(faults) != 1 || faults[0].Key != "memory_mb" {
		t.Errorf("%v", faults)
	}
}
