package controlproc

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Settings are the settings of godwit-control (docs/design.md, section 8).
type Settings struct {
	settings.Common

	ListenInternal string `toml:"listen_internal"` // twirp
	ListenMetrics  string `toml:"listen_metrics"`

	ReplicaID            uint64        `toml:"replica_id"`
	Start                string        `toml:"start"` // StartForm or StartJoin; used when the data folder is empty
	DataDir              string        `toml:"data_dir"`
	ElectionTimeoutMin   time.Duration `toml:"election_timeout_min"`
	ElectionTimeoutMax   time.Duration `toml:"election_timeout_max"`
	HeartbeatInterval    time.Duration `toml:"heartbeat_interval"`
	MaxClockDriftPPM     int64         `toml:"max_clock_drift_ppm"` // parts per million
	SnapshotEveryEntries uint64        `toml:"snapshot_every_entries"`
	InternalTLS          settings.TLS  `toml:"internal_tls"`
	Replicas             []Replica     `toml:"replica"`
}

// Values of Settings.Start: how a replica with an empty data folder starts.
const (
	StartForm = "form" // forms the group together with the other initial voters
	StartJoin = "join" // joins a group that was formed before
)

// Replica is an initial voter of the group. With StartJoin it is any replica that is already in the
// group.
type Replica struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"` // the listen_internal of that replica
}

// Limits that the settings are checked against.
const (
	// maxClockDriftLimitPPM keeps the leader lease longer than half of the election timeout.
	maxClockDriftLimitPPM = 100_000
	// minHeartbeatsPerElectionTimeout is the least number of heartbeat intervals in
	// election_timeout_min, so that one lost heartbeat does not start an election.
	minHeartbeatsPerElectionTimeout = 3
)

// Check implements settings.Checker.
func (s *Settings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckNotEmpty("data_dir", s.DataDir)...)
	faults = append(faults, settings.CheckAddress("listen_internal", s.ListenInternal)...)
	faults = append(faults, settings.CheckAddress("listen_metrics", s.ListenMetrics)...)
	faults = append(faults, s.InternalTLS.Check("internal_tls", settings.TLSPlain, settings.TLSMutual)...)
	faults = append(faults, s.checkTimes()...)
	faults = append(faults, s.checkReplicas()...)
	if s.SnapshotEveryEntries == 0 {
		faults = append(faults, strictconf.Fault{Key: "snapshot_every_entries", Problem: "is 0", Expected: "at least 1"})
	}
	return faults
}

func (s *Settings) checkTimes() strictconf.Faults {
	var faults strictconf.Faults
	if s.HeartbeatInterval <= 0 {
		faults = append(faults, strictconf.Fault{
			Key: "heartbeat_interval", Problem: fmt.Sprintf("is %v", s.HeartbeatInterval), Expected: "a duration above 0",
		})
	}
	if s.ElectionTimeoutMin < minHeartbeatsPerElectionTimeout*s.HeartbeatInterval {
		faults = append(faults, strictconf.Fault{
			Key: "election_timeout_min", Problem: fmt.Sprintf("is %v", s.ElectionTimeoutMin),
			Expected: fmt.Sprintf("at least %d times heartbeat_interval", minHeartbeatsPerElectionTimeout),
		})
	}
	if s.ElectionTimeoutMax <= s.ElectionTimeoutMin {
		faults = append(faults, strictconf.Fault{
			Key: "election_timeout_max", Problem: fmt.Sprintf("is %v", s.ElectionTimeoutMax), Expected: "more than election_timeout_min",
		})
	}
	if s.MaxClockDriftPPM < 0 || s.MaxClockDriftPPM > maxClockDriftLimitPPM {
		faults = append(faults, strictconf.Fault{
			Key: "max_clock_drift_ppm", Problem: fmt.Sprintf("is %d", s.MaxClockDriftPPM), Expected: fmt.Sprintf("0 to %d", maxClockDriftLimitPPM),
		})
	}
	return faults
}

func (s *Settings) checkReplicas() strictconf.Faults {
	var faults strictconf.Faults
	ids, addresses := map[uint64]bool{}, map[string]bool{}
	for i, r := range s.Replicas {
		key := fmt.Sprintf("replica[%d]", i)
		faults = append(faults, settings.CheckAddress(key+".address", r.Address)...)
		if r.ID == 0 || ids[r.ID] {
			faults = append(faults, strictconf.Fault{Key: key + ".id", Problem: fmt.Sprintf("is %d", r.ID), Expected: "a number above 0 that no other replica has"})
		}
		if addresses[r.Address] {
			faults = append(faults, strictconf.Fault{Key: key + ".address", Problem: fmt.Sprintf("%q is used twice", r.Address), Expected: "an address of its own"})
		}
		ids[r.ID], addresses[r.Address] = true, true
	}
	return append(faults, s.checkStart(ids)...)
}

func (s *Settings) checkStart(ids map[uint64]bool) strictconf.Faults {
	problem := fmt.Sprintf("is %d", s.ReplicaID)
	switch {
	case s.Start != StartForm && s.Start != StartJoin:
		return strictconf.Faults{{Key: "start", Problem: fmt.Sprintf("is %q", s.Start), Expected: "one of form, join"}}
	case s.Start == StartForm && !ids[s.ReplicaID]:
		return strictconf.Faults{{Key: "replica_id", Problem: problem, Expected: "the id of one of the tables replica"}}
	case s.Start == StartJoin && (s.ReplicaID == 0 || ids[s.ReplicaID]):
		return strictconf.Faults{{Key: "replica_id", Problem: problem, Expected: "an id above 0 that no table replica has and that was never used"}}
	case s.Start == StartJoin && !isAdvertisable(s.ListenInternal):
		return strictconf.Faults{{Key: "listen_internal", Problem: fmt.Sprintf("is %q", s.ListenInternal), Expected: "an IP and port that the other replicas can reach"}}
	case s.Start == StartJoin && len(ids) == 0:
		return strictconf.Faults{{Key: "replica", Problem: "is empty", Expected: "at least one replica of the group"}}
	}
	return nil
}

func (s *Settings) voters() []replication.Peer {
	peers := make([]replication.Peer, len(s.Replicas))
	for i, r := range s.Replicas {
		peers[i] = replication.Peer{ID: replog.ReplicaID(r.ID), Address: r.Address}
	}
	return peers
}

// isAdvertisable reports whether other replicas can be told to connect to the address. It also
// returns true for a malformed address, because CheckAddress reports that fault.
func isAdvertisable(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err != nil || !parsed.Addr().IsUnspecified() && parsed.Port() != 0
}
