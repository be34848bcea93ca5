package platformproc

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/godwitlink/godwitlink/core/openfiles"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// ControlSettings are the settings of godwit-platform-control.
type ControlSettings struct {
	settings.Common

	ListenControl  string `toml:"listen_control"`  // for workers and operators
	ListenInternal string `toml:"listen_internal"` // for other processes of the system
	ListenMetrics  string `toml:"listen_metrics"`

	MemoryMB         int64         `toml:"memory_mb"`  // memory limit of the process
	OpenFiles        int           `toml:"open_files"` // limit of open file descriptors of the process
	Seeds            []string      `toml:"seeds"`      // addresses of some replicas; only the IP addresses are used
	Bootstrap        bool          `toml:"bootstrap"`  // true at the first start of the group
	TolerateReplicas int           `toml:"tolerate_replicas"`
	DataDir          string        `toml:"data_dir"`
	DiskMB           int64         `toml:"disk_mb"` // size of the disk
	Adviser          string        `toml:"adviser"` // empty if no queue needs advice
	WorkerLeaseMax   time.Duration `toml:"worker_lease_max"`
	// CallProxyWorkers is the number of workers above which the other control replicas call workers for the
	// leader; 0 means callproxy.DefaultThreshold.
	CallProxyWorkers int `toml:"call_proxy_workers,optional"`
	// TrustDeclaredRunTimes turns off the learning of run times while this replica leads.
	TrustDeclaredRunTimes bool `toml:"trust_declared_run_times,optional"`
}

// EntrySettings are the settings of godwit-platform-entry.
type EntrySettings struct {
	settings.Common

	ListenClients  string `toml:"listen_clients"`
	ListenReady    string `toml:"listen_ready"`
	ListenInternal string `toml:"listen_internal"`
	ListenMetrics  string `toml:"listen_metrics"`

	MemoryMB  int64         `toml:"memory_mb"`  // memory limit of the process
	OpenFiles int           `toml:"open_files"` // limit of open file descriptors of the process
	Seeds     []string      `toml:"seeds"`
	Adviser   string        `toml:"adviser"`
	StopGrace time.Duration `toml:"stop_grace"` // time from the start of a planned stop until the process is killed
}

// Check implements settings.Checker.
func (s *ControlSettings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckAddress("listen_control", s.ListenControl)...)
	faults = append(faults, settings.CheckAddress("listen_internal", s.ListenInternal)...)
	faults = append(faults, settings.CheckAddress("listen_metrics", s.ListenMetrics)...)
	faults = append(faults, settings.CheckNotEmpty("data_dir", s.DataDir)...)
	faults = append(faults, checkSeeds(s.Seeds)...)
	faults = append(faults, settings.CheckMemory(s.MemoryMB)...)
	faults = append(faults, checkOpenFiles(s.OpenFiles)...)
	if s.TolerateReplicas < 0 {
		faults = append(faults, strictconf.Fault{Key: "tolerate_replicas", Problem: fmt.Sprintf("is %d", s.TolerateReplicas), Expected: "0 or more"})
	}
	if s.CallProxyWorkers < 0 {
		faults = append(faults, strictconf.Fault{Key: "call_proxy_workers", Problem: fmt.Sprintf("is %d", s.CallProxyWorkers), Expected: "0 or more"})
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
	faults = append(faults, settings.CheckMemory(s.MemoryMB)...)
	faults = append(faults, checkOpenFiles(s.OpenFiles)...)
	if s.StopGrace <= 0 {
		faults = append(faults, strictconf.Fault{Key: "stop_grace", Problem: fmt.Sprintf("is %v", s.StopGrace), Expected: "a duration above 0"})
	}
	return faults
}

// filesOutsideDataFolder is the number of descriptors that the platform sets aside for files outside the
// data folder. Sockets and files of the data folder share the rest.
const filesOutsideDataFolder = 200

func checkOpenFiles(limit int) strictconf.Faults {
	if _, err := openfiles.Divide(limit - filesOutsideDataFolder); err != nil {
		return strictconf.Faults{{
			Key: "open_files", Problem: fmt.Sprintf("is %d", limit),
			Expected: fmt.Sprintf("at least %d, for the log, the listeners and the control group", openfiles.MinLimit+filesOutsideDataFolder),
		}}
	}
	return nil
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

// internalAddresses returns the internal addresses of the seeds. The internal port is the same on
// all machines.
func internalAddresses(seeds []string, own string) []string {
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return nil // Check rejects such an address
	}
	addresses := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, net.JoinHostPort(at.Addr().String(), port))
		}
	}
	return addresses
}
