package workapi

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Guards against a process that was frozen or cut off and accepts a key that was revoked meanwhile, and
// against one that rejects calls that need no key, or says that a new key is wrong.
func TestKeysOfAProcessThatIsCutOff(t *testing.T) {
	const bound = 2500 * time.Millisecond
	table := func(required bool) *RoutingTable {
		return NewRoutingTable(workload.Config{Version: 3, KeysRequired: required, Teams: []workload.Team{{Name: "a", Keys: []workload.Key{"k"}}},
			Queues: []workload.Queue{{Name: "q", Host: "h", PathPrefix: "/p/"}, {Name: "open", Host: "h", PathPrefix: "/o/", Anonymous: true}}})
	}
	for name, c := range map[string]struct {
		required bool
		path     string
		key      workload.Key
		age      time.Duration
		want     Outcome
	}{
		"just asked":                {true, "/p/1", "k", 0, OutcomeOK},
		"just asked, unknown key":   {true, "/p/1", "x", 0, OutcomeBadKey},
		"asked two polls ago":       {true, "/p/1", "k", 2 * pollInterval, OutcomeOK},
		"at the bound":              {true, "/p/1", "k", bound, OutcomeOldKeys},
		"cut off, unknown key":      {true, "/p/1", "x", time.Minute, OutcomeOldKeys},
		"cut off, no key needed":    {true, "/o/1", "", time.Minute, OutcomeOK},
		"cut off, without any keys": {false, "/p/1", "", time.Minute, OutcomeOK},
	} {
		s := NewJobService(JobServiceOptions{Metrics: metrics.New(), Logger: eventlog.Nop()})
		s.routes.Store(&confirmedRoutes{RoutingTable: table(c.required), askedAt: time.Now().Add(-c.age)})
		if _, got := s.FindQueue("h", c.path, c.key); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against an answer of a leader with another version that keeps a list of keys in use.
func TestOnlyTheSameVersionConfirms(t *testing.T) {
	now := time.Now()
	old := &confirmedRoutes{RoutingTable: NewRoutingTable(workload.Config{Version: 3}), askedAt: now.Add(-time.Minute)}
	for version, want := range map[uint64]bool{2: false, 3: true, 4: false} {
		if got := old.confirmed(version, now).keysConfirmed(now); got != want {
			t.Errorf("an answer of version %d confirms version 3: %v", version, got)
		}
	}
	if (*confirmedRoutes)(nil).confirmed(0, now) != nil {
		t.Error("a table out of nothing")
	}
}

// Guards against calls that are rejected for longer than needed after the leader is back, and against more
// polls of processes that need no keys.
func TestPollsAfterAFailure(t *testing.T) {
	withKeys := &confirmedRoutes{RoutingTable: NewRoutingTable(workload.Config{KeysRequired: true})}
	without := &confirmedRoutes{RoutingTable: NewRoutingTable(workload.Config{})}
	for _, c := range []struct {
		routes *confirmedRoutes
		err    error
		want   time.Duration
	}{
		{withKeys, nil, pollInterval}, {withKeys, controlclient.ErrUnavailable, retryInterval},
		{without, controlclient.ErrUnavailable, pollInterval}, {nil, controlclient.ErrUnavailable, pollInterval},
	} {
		if got := c.routes.nextPoll(c.err); got != c.want {
			t.Errorf("error %v: next poll after %v, want %v", c.err, got, c.want)
		}
	}
}
