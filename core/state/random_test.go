package state_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/state"
)

// TestMain sets default values for the seed and length of the randomised tests. The usual 30 steps
// of rapid are too few for a job to use up its attempts.
func TestMain(m *testing.M) {
	flag.Parse()
	state.SetRetentionStepLimit(30 * 24 * time.Hour)
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Under any order of failures and of late and repeated commands, no task may run twice, no worker may
// exceed its capacity, no gang may run in part, no older cell file may replace a newer one, and the
// replicas must not diverge.
func TestRandomisedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimCell(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        sim.check,
			"boot":    sim.boot,
			"crash":   sim.crash,
			"expire":  sim.expire,
			"retire":  sim.retire,
			"sync":    sim.sync,
			"cycle":   sim.cycle,
			"cycle2":  sim.cycle,
			"end":     sim.end,
			"submit":  sim.submit,
			"cancel":  sim.cancel,
			"plan":    sim.plan,
			"file":    sim.file,
			"pass":    sim.passTime,
			"restore": sim.restore,
			"resend":  sim.resend,
		})
	})
}

// A non-idempotent request must not be processed twice, and a replayed answer or a "not-run" outcome
// must be correct. The requests are repeated through several entry processes that pause, crash and
// are removed.
func TestRandomisedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimCell(t)
		for _, e := range sim.entries {
			sim.joinEntry(t, e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          sim.check,
			"join":      sim.join,
			"leave":     sim.leave,
			"begin":     sim.begin,
			"begin2":    sim.begin,
			"dispatch":  sim.dispatch,
			"dispatch2": sim.dispatch,
			"dispatch3": sim.dispatch,
			"pass":      sim.passTime,
			"restore":   sim.restore,
			"resend":    sim.resend,
		})
	})
}
