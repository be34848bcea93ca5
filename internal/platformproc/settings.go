package platformproc

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// ControlSettings of godwit-platform-control.
type ControlSettings struct {
	settings.Common

	ListenControl  string `toml:"listen_control"`  // workers and operators
	ListenInternal string `toml:"listen_internal"` // other processes of the system
	ListenMetrics  string `toml:"listen_metrics"`

	MemoryMB         int64         `toml:"memory_mb"` // limit of the process
	Seeds            []string      `toml:"seeds"`     // some replicas; only their IP addresses count
	Bootstrap        bool          `toml:"bootstrap"` // the group starts for the first time
	TolerateReplicas int           `toml:"tolerate_replicas"`
	DataDir          string        `toml:"data_dir"`
	DiskMB           int64         `toml:"disk_mb"` // size of the disk
	Adviser          string        `toml:"adviser"` // empty where no queue needs advice
	WorkerLeaseMax   time.Duration `toml:"worker_lease_max"`
}

// EntrySettings of godwit-platform-entry.
type EntrySettings struct {
	settings.Common

	ListenClients  string `toml:"listen_clients"`
	ListenReady    string `toml:"listen_ready"`
	ListenInternal string `toml:"listen_internal"`
	ListenMetrics  string `toml:"listen_metrics"`

	MemoryMB  int64         `toml:"memory_mb"` // limit of the process
	Seeds     []string      `toml:"seeds"`
	Adviser   string        `toml:"adviser"`
	StopGrace time.Duration `toml:"stop_grace"` // from a planned stop to its forced end
}

// Check implements settings.Checker.
func (s *ControlSettings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckAddress("listen_control", s.ListenControl)...)
	faults = append(faults, settings.CheckAddress("listen_internal", s.ListenInternal)...)
	faults = append(faults, settings.CheckAddress("listen_metrics", s.ListenMetrics)...)
	faults = append(faults, settings.CheckNotEmpty("data_dir", s.DataDir)...)
	faults = append(faults, checkSeeds(s.Seeds)...)
	faults = append(faults, checkMemory(s.MemoryMB)...)
	if s.TolerateReplicas < 0 {
		faults = append(faults, strictconf.Fault{Key: "tolerate_replicas", Problem: fmt.Sprintf("is %d", s.TolerateReplicas), Expected: "0 or more"})
	}
	if s.WorkerLeaseMax <= 0 {
		faults = append(faults, strictconf.Fault{Key: "worker_lease_max", Problem: fmt.Sprintf("is %v", s.WorkerLeaseMax), Expected: "a duration above 0"})
	}
	return faults
}

// Check implements settings.Checker.
func (s *EntrySettings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckAddress("listen_clients", s.ListenClients)...)
	faults = append(faults, settings.CheckAddress("listen_ready", s.ListenReady)...)
	faults = append(faults, settings.CheckAddress("listen_internal", s.ListenInternal)...)
	faults = append(faults, settings.CheckAddress("listen_metrics", s.ListenMetrics)...)
	faults = append(faults, checkSeeds(s.Seeds)...)
	faults = append(faults, checkMemory(s.MemoryMB)...)
	if s.StopGrace <= 0 {
		faults = append(faults, strictconf.Fault{Key: "stop_grace", Problem: fmt.Sprintf("is %v", s.StopGrace), Expected: "a duration above 0"})
	}
	return faults
}

// minMemoryMB is the least memory that a process of the platform runs in: 48 MB
// were its peak on a quiet day.
const minMemoryMB = 96

func checkMemory(mb int64) strictconf.Faults {
	if mb >= minMemoryMB {
		return nil
	}
	return strictconf.Faults{{Key: "memory_mb", Problem: fmt.Sprintf("is %d", mb), Expected: fmt.Sprintf("at least %d", minMemoryMB)}}
}

func checkSeeds(seeds []string) strictconf.Faults {
	if len(seeds) == 0 {
		return strictconf.Faults{{Key: "seeds", Problem: "is empty", Expected: "at least one address"}}
	}
	var faults strictconf.Faults
	for _, seed := range seeds {
		faults = append(faults, settings.CheckAddress("seeds", seed)...)
	}
	return faults
}

// internalAddresses turns the addresses of seeds into those for calls between
// processes: the internal port is the same on all machines.
func internalAddresses(seeds []string, own string) []string {
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil // Check has refused it
	}
	addresses := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, net.JoinHostPort(at.Addr().String(), port))
		}
	}
	return addresses
}
