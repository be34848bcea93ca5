package workload

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func sortedQueues(c Config) Config {
	c.Queues = slices.Clone(c.Queues)
	slices.SortFunc(c.Queues, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.PathPrefix, b.PathPrefix))
	})
	return c
}

// Guards against a change that leads to another configuration than the one in force.
func TestChangeSinceAVersionLeadsToTheConfigurationInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history ConfigHistory
		var configs []Config
		version := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			version += uint64(rapid.IntRange(1, 3).Draw(t, "version"))
			config := Config{Version: version, Services: []string{fmt.Sprint(version)}}
			for i := range 12 {
				if !rapid.Bool().Draw(t, "present") {
					continue
				}
				queue := Queue{Name: "q", Host: fmt.Sprint(i % 3), PathPrefix: fmt.Sprint("/", i), Priority: rapid.IntRange(0, 1).Draw(t, "priority")}
				if rapid.Bool().Draw(t, "advice") {
					queue.Advice = &AdviserConfig{Base: 1}
				}
				config.Queues = append(config.Queues, queue)
			}
			history.Record(&config)
			configs = append(configs, config)
			for _, known := range configs {
				change, ok := history.Since(known.Version)
				if !ok {
					continue
				}
				got, ok := known.Apply(change)
				if !ok || !reflect.DeepEqual(sortedQueues(got), sortedQueues(config)) {
					t.Fatalf("from %+v: %+v, %v, want %+v", known, got, ok, config)
				}
			}
			if _, ok := history.Since(version + 1); ok {
				t.Fatal("there is a change since a later version")
			}
		}
	})
}

// Guards against the whole configuration being sent for the change of one queue.
func TestChangeHoldsOnlyWhatDiffers(t *testing.T) {
	var history ConfigHistory
	config := Config{Version: 1}
	for i := range 100 {
		config.Queues = append(config.Queues, Queue{Host: "h", PathPrefix: fmt.Sprint(i), Advice: &AdviserConfig{Base: 1}})
	}
	history.Record(&config)
	later := Config{Version: 3}
	for _, queue := range config.Queues[1:] {
		queue.Advice = &AdviserConfig{Base: 1}
		later.Queues = append(later.Queues, queue)
	}
	later.Queues[0].Priority = 1
	history.Record(&later)
	change, ok := history.Since(1)
	if !ok || len(change.To.Queues) != 1 || len(change.Removed) != 1 || change.To.Version != 3 {
		t.Errorf("change %+v, %v", change, ok)
	}
	if _, ok := history.Since(2); ok {
		t.Error("there is a change since a version that was never in force")
	}
	if _, ok := later.Apply(change); ok {
		t.Error("the change applies to another version")
	}
}

// Guards against a history whose memory grows with the number of changes.
func TestConfigHistoryIsBounded(t *testing.T) {
	var history ConfigHistory
	for version := range uint64(3 * maxConfigSteps) {
		queues := []Queue{{Host: "kept"}, {Host: "kept", PathPrefix: "2"}, {Host: "kept", PathPrefix: "3"}, {Host: "changing", Priority: int(version)}}
		history.Record(&Config{Version: version + 1, Queues: queues})
	}
	if len(history.steps) > maxConfigSteps || history.keys != len(history.steps) {
		t.Errorf("%d steps with %d keys", len(history.steps), history.keys)
	}
	last := history.inForce.Version
	if _, ok := history.Since(last - maxConfigSteps); !ok {
		t.Error("the oldest version that is kept is not known")
	}
	if _, ok := history.Since(last - maxConfigSteps - 1); ok {
		t.Error("a version before the oldest step is known")
	}
}
