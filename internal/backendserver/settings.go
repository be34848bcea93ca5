package backendserver

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Settings are the settings of a stand-in.
type Settings struct {
	Process Process `toml:"backend"`
	Faults  Faults  `toml:"faults"`
}

// Process says what a stand-in serves and to whom it announces itself.
type Process struct {
	Name             string        `toml:"name"`
	Region           string        `toml:"region"`
	FailureDomain    string        `toml:"failure_domain"`
	LogLevel         string        `toml:"log_level"`
	Service          string        `toml:"service"`
	Listen           string        `toml:"listen"`       // requests
	ListenDebug      string        `toml:"listen_debug"` // GET /debug/runs
	Entries          []string      `toml:"entries"`      // platform addresses of entry processes
	Slots            int           `toml:"slots"`
	Connections      int           `toml:"connections"`
	AnnounceInterval time.Duration `toml:"announce_interval"` // until an entry process states another
	AnnounceLease    time.Duration `toml:"announce_lease"`    // until an entry process states another
}

// Faults are the failures that a stand-in causes. Rates are shares of the
// requests from 0 to 1; the first one drawn applies.
type Faults struct {
	Delay        time.Duration `toml:"delay"`         // of every answer
	FailureRate  float64       `toml:"failure_rate"`  // answers with status 500
	TruncateRate float64       `toml:"truncate_rate"` // answers that end too early
	ResetRate    float64       `toml:"reset_rate"`    // connections reset instead of an answer
	LateRate     float64       `toml:"late_rate"`     // answers after LateDelay
	LateDelay    time.Duration `toml:"late_delay"`
	ForeignRate  float64       `toml:"foreign_rate"` // answers with the id of another request
	Seed         uint64        `toml:"seed"`         // of the random draws
}

// Check implements settings.Checker.
func (s *Settings) Check() strictconf.Faults {
	p := s.Process
	var faults strictconf.Faults
	for key, value := range map[string]string{
		"backend.name": p.Name, "backend.region": p.Region,
		"backend.failure_domain": p.FailureDomain, "backend.service": p.Service,
	} {
		faults = append(faults, settings.CheckNotEmpty(key, value)...)
	}
	faults = append(faults, settings.CheckLogLevel("backend.log_level", p.LogLevel)...)
	faults = append(faults, settings.CheckAddress("backend.listen", p.Listen)...)
	faults = append(faults, settings.CheckAddress("backend.listen_debug", p.ListenDebug)...)
	for i, entry := range p.Entries {
		faults = append(faults, settings.CheckAddress(fmt.Sprintf("backend.entries[%d]", i), entry)...)
	}
	faults = append(faults, atLeastOne("backend.entries", len(p.Entries))...)
	faults = append(faults, atLeastOne("backend.slots", p.Slots)...)
	faults = append(faults, atLeastOne("backend.connections", p.Connections)...)
	faults = append(faults, positive("backend.announce_interval", p.AnnounceInterval)...)
	faults = append(faults, positive("backend.announce_lease", p.AnnounceLease)...)
	return append(faults, s.Faults.check()...)
}

func (f Faults) check() strictconf.Faults {
	var faults strictconf.Faults
	for key, rate := range map[string]float64{
		"faults.failure_rate": f.FailureRate, "faults.truncate_rate": f.TruncateRate,
		"faults.reset_rate": f.ResetRate, "faults.late_rate": f.LateRate,
		"faults.foreign_rate": f.ForeignRate,
	} {
		if rate < 0 || rate > 1 {
			faults = append(faults, strictconf.Fault{
				Key: key, Problem: fmt.Sprintf("is %v", rate), Expected: "a share from 0.0 to 1.0",
			})
		}
	}
	return faults
}

func atLeastOne(key string, n int) strictconf.Faults {
	if n >= 1 {
		return nil
	}
	return strictconf.Faults{{Key: key, Problem: fmt.Sprintf("is %d", n), Expected: "at least 1"}}
}

func positive(key string, d time.Duration) strictconf.Faults {
	if d > 0 {
		return nil
	}
	return strictconf.Faults{{Key: key, Problem: "is " + d.String(), Expected: "a duration above 0s"}}
}
