package backendserver

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/strictconf"
	"github.com/godwitlink/godwitlink/internal/settings"
)

// Settings are the settings of a simulated backend server.
type Settings struct {
	settings.Common
	Service          string        `toml:"service"`
	Listen           string        `toml:"listen"`       // address for requests
	ListenDebug      string        `toml:"listen_debug"` // address for GET /debug/runs
	Entries          []string      `toml:"entries"`      // platform addresses of entry processes
	Slots            int           `toml:"slots"`
	Connections      int           `toml:"connections"`
	AnnounceInterval time.Duration `toml:"announce_interval"` // until an entry process sends another value
	AnnounceLease    time.Duration `toml:"announce_lease"`    // until an entry process sends another value
	Faults           Faults        `toml:"faults"`
}

// Faults are the failures that are injected. Rates are fractions of the requests from 0 to 1. One
// random draw for each request selects at most one of them, so their sum should not exceed 1.
type Faults struct {
	Delay        time.Duration `toml:"delay"`         // added to every response
	FailureRate  float64       `toml:"failure_rate"`  // responses with status 500
	TruncateRate float64       `toml:"truncate_rate"` // truncated responses
	ResetRate    float64       `toml:"reset_rate"`    // connections that are reset instead of a response
	LateRate     float64       `toml:"late_rate"`     // responses that are delayed by LateDelay
	LateDelay    time.Duration `toml:"late_delay"`
	ForeignRate  float64       `toml:"foreign_rate"` // responses with the ID of another request
	Seed         uint64        `toml:"seed"`         // of the random number generator
}

// Check implements settings.Checker.
func (s *Settings) Check() strictconf.Faults {
	faults := s.Common.Check()
	faults = append(faults, settings.CheckNotEmpty("service", s.Service)...)
	faults = append(faults, settings.CheckAddress("listen", s.Listen)...)
	faults = append(faults, settings.CheckAddress("listen_debug", s.ListenDebug)...)
	for i, entry := range s.Entries {
		faults = append(faults, settings.CheckAddress(fmt.Sprintf("entries[%d]", i), entry)...)
	}
	faults = append(faults, atLeastOne("entries", len(s.Entries))...)
	faults = append(faults, atLeastOne("slots", s.Slots)...)
	faults = append(faults, atLeastOne("connections", s.Connections)...)
	faults = append(faults, positive("announce_interval", s.AnnounceInterval)...)
	faults = append(faults, positive("announce_lease", s.AnnounceLease)...)
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
