package workapi

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against calls that pass without a key of a team in the configuration in force, and against keys
// that are required where they are not.
func TestKeysOfCalls(t *testing.T) {
	queue, open := workload.Queue{Name: "q"}, workload.Queue{Name: "open", Anonymous: true}
	config := workload.Config{KeysRequired: true, Teams: []workload.Team{{Name: "a", Keys: []workload.Key{"old", "new"}}, {Name: "b", Keys: []workload.Key{"other"}}}}
	for name, c := range map[string]struct {
		config workload.Config
		queue  workload.Queue
		key    workload.Key
		want   workload.Caller
		ok     bool
	}{
		"first key":             {config, queue, "old", workload.Caller{Team: "a"}, true},
		"second key":            {config, queue, "new", workload.Caller{Team: "a"}, true},
		"other team":            {config, queue, "other", workload.Caller{Team: "b"}, true},
		"unknown key":           {config, queue, "ol", workload.Caller{}, false},
		"no key":                {config, queue, "", workload.Caller{}, false},
		"anonymous queue":       {config, open, "unknown", workload.Caller{AnonymousQueue: "open"}, true},
		"no teams":              {workload.Config{}, queue, "", workload.Caller{}, true},
		"empty list of teams":   {workload.Config{KeysRequired: true}, queue, "old", workload.Caller{}, false},
		"team without any keys": {workload.Config{KeysRequired: true, Teams: []workload.Team{{Name: "a"}}}, queue, "", workload.Caller{}, false},
	} {
		got, ok := NewRoutingTable(c.config).caller(c.queue, c.key)
		if got != c.want || ok != c.ok {
			t.Errorf("%s: %+v, %v", name, got, ok)
		}
	}
}
