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
// exceed its capacity, no gang may run in part, no older file may come back into force, and the
// replicas must not diverge.
func TestRandomisedWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimCell(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"boot":    w.boot,
			"crash":   w.crash,
			"expire":  w.expire,
			"retire":  w.retire,
			"sync":    w.sync,
			"cycle":   w.cycle,
			"cycle2":  w.cycle,
			"end":     w.end,
			"submit":  w.submit,
			"cancel":  w.cancel,
			"plan":    w.plan,
			"file":    w.file,
			"pass":    w.passTime,
			"restore": w.restore,
			"resend":  w.resend,
		})
	})
}

// A non-idempotent request must not be processed twice, and a replayed answer or a "not-run" outcome
// must be correct. The requests are repeated through several entry processes that pause, crash and
// are removed.
func TestRandomisedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimCell(t)
		for _, e := range w.entries {
			w.joinEntry(t, e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          w.check,
			"join":      w.join,
			"leave":     w.leave,
			"begin":     w.begin,
			"begin2":    w.begin,
			"dispatch":  w.dispatch,
			"dispatch2": w.dispatch,
			"dispatch3": w.dispatch,
			"pass":      w.passTime,
			"restore":   w.restore,
			"resend":    w.resend,
		})
	})
}
