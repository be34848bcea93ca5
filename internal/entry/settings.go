package entry

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Settings of an entry process (docs/design.md, section 8).
type Settings struct {
	settings.Common
	ListenCallers    string        `toml:"listen_callers"`
	ListenOperators  string        `toml:"listen_operators"`
	ListenPlatform   string        `toml:"listen_platform"` // for workers and backend servers
	ListenInternal   string        `toml:"listen_internal"` // for other entry processes
	ListenMetrics    string        `toml:"listen_metrics"`
	ControlAddresses []string      `toml:"control_addresses"`
	ReadinessDelay   time.Duration `toml:"readiness_delay"` // between turning readiness off and refusing requests
	StopGrace        time.Duration `toml:"stop_grace"`      // longest wait for requests in flight at a planned stop
	MaxConnections   int           `toml:"max_connections"` // limit of callers' connections
	// MemoryMB is the memory limit of the process; 0 means defaultMemoryMB. Settings of earlier versions do not
	// have it.
	MemoryMB     int64        `toml:"memory_mb,optional"`
	CallersTLS   settings.TLS `toml:"callers_tls"`
	OperatorsTLS settings.TLS `toml:"operators_tls"`
	InternalTLS  settings.TLS `toml:"internal_tls"`
}

// Check implements settings.Checker.
func (s *Settings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckAddress("listen_callers", s.ListenCallers)...)
	faults = append(faults, settings.CheckAddress("listen_operators", s.ListenOperators)...)
	faults = append(faults, settings.CheckAddress("listen_platform", s.ListenPlatform)...)
	faults = append(faults, settings.CheckAddress("listen_internal", s.ListenInternal)...)
	faults = append(faults, settings.CheckAddress("listen_metrics", s.ListenMetrics)...)
	if len(s.ControlAddresses) == 0 {
		faults = append(faults, strictconf.Fault{
			Key: "control_addresses", Problem: "is empty", Expected: "the address of each control replica",
		})
	}
	for i, address := range s.ControlAddresses {
		faults = append(faults, settings.CheckAddress(fmt.Sprintf("control_addresses[%d]", i), address)...)
	}
	if s.StopGrace <= 0 {
		faults = append(faults, strictconf.Fault{Key: "stop_grace", Problem: "is not positive", Expected: "a duration"})
	}
	if s.ReadinessDelay < 0 {
		faults = append(faults, strictconf.Fault{Key: "readiness_delay", Problem: "is negative", Expected: "a duration"})
	}
	if s.MaxConnections < 1 {
		faults = append(faults, strictconf.Fault{Key: "max_connections", Problem: "is below 1", Expected: "a number of connections"})
	}
	faults = append(faults, settings.CheckMemory(s.MemoryLimitMB())...)
	faults = append(faults, s.CallersTLS.Check("callers_tls", settings.TLSPlain, settings.TLSServer)...)
	faults = append(faults, s.OperatorsTLS.Check("operators_tls", settings.TLSPlain, settings.TLSMutual)...)
	return append(faults, s.InternalTLS.Check("internal_tls", settings.TLSPlain, settings.TLSMutual)...)
}

// defaultMemoryMB is the memory limit of a process whose settings name none.
const defaultMemoryMB = 512

// MemoryLimitMB returns the memory limit of the process.
func (s *Settings) MemoryLimitMB() int64 {
	if s.MemoryMB == 0 {
		return defaultMemoryMB
	}
	return s.MemoryMB
}
