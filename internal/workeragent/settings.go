package workeragent

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Settings are the settings of the simulated worker.
type Settings struct {
	settings.Common
	Rack         string           `toml:"rack"`
	Pool         string           `toml:"pool"`
	CPUs         float64          `toml:"cpus"` // cores
	Memory       strictconf.Bytes `toml:"memory"`
	Accelerators int64            `toml:"accelerators"`
	Entries      []string         `toml:"entries"`      // platform addresses of entry processes
	ListenDebug  string           `toml:"listen_debug"` // reports the executed tasks, for tests
}

// Check implements settings.Checker.
func (s *Settings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckNotEmpty("rack", s.Rack)...)
	faults = append(faults, settings.CheckNotEmpty("pool", s.Pool)...)
	faults = append(faults, settings.CheckAddress("listen_debug", s.ListenDebug)...)
	if s.CPUs <= 0 {
		faults = append(faults, strictconf.Fault{Key: "cpus", Problem: "is not positive", Expected: "a number of cores"})
	}
	if len(s.Entries) == 0 {
		faults = append(faults, strictconf.Fault{Key: "entries", Problem: "is empty", Expected: "at least one address"})
	}
	for i, entry := range s.Entries {
		faults = append(faults, settings.CheckAddress(fmt.Sprintf("entries[%d]", i), entry)...)
	}
	return faults
}

const milliCPUPerCore = 1000

func (s *Settings) capacity() cell.Resources {
	return cell.Resources{
		MilliCPU:     int64(s.CPUs * milliCPUPerCore),
		MemoryBytes:  int64(s.Memory),
		Accelerators: s.Accelerators,
	}
}
