package platformsoak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// configInForce is the time after which a configuration that was acknowledged must be in force.
	configInForce = 3 * time.Second
	unknownKey    = "key-of-nobody"
	probePercent  = 20 // submissions of a client that are followed by a call with another key
	teamWeight    = 25
	// keyChangeInterval is the time between two changes of keys. A revoked key must be rejected before some of
	// the probes.
	keyChangeInterval = 1500 * time.Millisecond
)

// teamCaps are the caps of the teams in thousandths of a core; 0 means no limit. Each team is sent about 60
// cores of work for the time of the faults.
var teamCaps = []int64{32_000, 0, 48_000}

// teamKeys records when the versions of the configuration were sent and acknowledged. Each version gives each
// team a key of its own beside the one that stays, and so revokes that of the version before.
type teamKeys struct {
	mu    sync.Mutex
	sent  map[int]time.Time
	acked map[int]time.Time
}

func newTeamKeys() *teamKeys {
	return &teamKeys{sent: map[int]time.Time{}, acked: map[int]time.Time{}}
}

func teamKey(team int) string              { return fmt.Sprint("team-", team) }
func versionKey(team, version int) string  { return fmt.Sprintf("team-%d-v%d", team, version) }
func teamOfClient(number int) (team int)   { return number % len(teamCaps) }
func (k *teamKeys) locked(do func())       { k.mu.Lock(); defer k.mu.Unlock(); do() }
func (k *teamKeys) configSent(version int) { k.locked(func() { k.sent[version] = time.Now() }) }
func (k *teamKeys) configAcked(version int) {
	k.locked(func() {
		if k.acked[version].IsZero() {
			k.acked[version] = time.Now()
		}
	})
}

// tenants returns the teams of a version of the configuration.
func (k *teamKeys) tenants(version int) string {
	var teams []string
	for i, limit := range teamCaps {
		teams = append(teams, fmt.Sprintf(`{"name":"t%d","apiKeys":[%q,%q],"weight":%d,"cap":{"cpu":%d,"memMb":0,"gpu":0}}`, i, teamKey(i), versionKey(i, version), teamWeight, limit))
	}
	return `,"tenants":[` + strings.Join(teams, ",") + "]"
}

// newest returns the highest version that was sent.
func (k *teamKeys) newest() (version int) {
	k.locked(func() {
		for v := range k.sent {
			version = max(version, v)
		}
	})
	return version
}

// mayAccept reports whether the key of a version may be accepted at any time between start and end, and
// mayReject whether it may be rejected.
func (k *teamKeys) mayAccept(version int, start, end time.Time) (accepted bool) {
	k.locked(func() {
		accepted = !k.sent[version].IsZero() && k.sent[version].Before(end)
		for later, at := range k.acked {
			if later > version && at.Add(configInForce).Before(start) {
				accepted = false
			}
		}
	})
	return accepted
}

func (k *teamKeys) mayReject(version int, start, end time.Time) (rejected bool) {
	k.locked(func() {
		acked := k.acked[version]
		rejected = acked.IsZero() || !acked.Add(configInForce).Before(start)
		for later, at := range k.sent {
			if later > version && at.Before(end) {
				rejected = true
			}
		}
	})
	return rejected
}

// probeKeys makes a call with the key of a version, with one that no team has, and with that of another team
// for a job, and checks the answers.
func (c *client) probeKeys(id, host string) {
	own := c.key
	defer func() { c.key = own }()
	version := 1 + c.random.IntN(c.system.teams.newest()+1)
	c.key = versionKey(c.random.IntN(len(teamCaps)), version)
	start := time.Now()
	status, _ := c.call(http.MethodGet, host, jobPath, "")
	end := time.Now()
	if status == http.StatusOK && !c.system.teams.mayAccept(version, start, end) {
		c.reportViolation("KEY: the key of version %d is accepted", version)
	}
	if status == http.StatusUnauthorized && !c.system.teams.mayReject(version, start, end) {
		c.reportViolation("KEY: the key of version %d is rejected", version)
	}
	c.key = unknownKey
	if status, _ := c.call(http.MethodGet, host, jobPath+id, ""); status == http.StatusOK || status == http.StatusGone {
		c.reportViolation("KEY: a call with an unknown key is answered %d", status)
	}
	for team := range teamCaps {
		if c.key = teamKey(team); c.key == own {
			continue
		}
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			if status, _ := c.call(method, host, jobPath+id, ""); status == http.StatusOK {
				c.reportViolation("KEY: %s of a job of another team is answered %d", method, status)
			}
		}
	}
}

// checkCap reports a violation if a start brings what a team has running above its cap times 1.1 and one task
// more.
func (f *fleet) checkCap(job submittedJob, task string, milliCPU int64) {
	limit := teamCaps[job.team]
	if job.key == "" || limit == 0 {
		return
	}
	running := milliCPU
	for _, w := range f.workers {
		for _, r := range w.runs {
			id, _, _ := strings.Cut(r.task, ".")
			if other := f.jobs.get(id); other != nil && other.team == job.team {
				running += r.payload.MilliCPU
			}
		}
	}
	if allowed := limit*11/10 + milliCPU; running > allowed {
		f.reportViolation("CAP: %s brings team %d to %d, above %d", task, job.team, running, allowed)
	}
}

// Guards against teams above their caps, keys that are accepted after they were revoked or rejected after
// they were added, and access to jobs of other teams, while processes and links fail. The rules of TestSoak
// hold as well.
func TestSoakTeams(t *testing.T) {
	programDir := buildPrograms(t)
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, programDir, seed, soakOptions{teams: newTeamKeys()}) })
	}
}
