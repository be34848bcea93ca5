package platformsoak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seedCount     = flag.Int("soak.runs", 1, "number of seeds")
	faultDuration = flag.Duration("soak.time", 8*time.Second, "time with faults of each seed")
	workerCount   = flag.Int("soak.workers", 12, "stand-in workers")
)

// failedSeeds are the seeds of runs that have failed once, each with its cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{2, "the stand-in: a worker that booted again while it was up still counted as running what it had forgotten"},
}

// Limits of a run.
const (
	readyTimeout      = 15 * time.Second
	completionTimeout = 30 * time.Second
	stopTimeout       = 8 * time.Second
	// faultGap is the mean time between two faults; they overlap.
	meanFaultInterval = 350 * time.Millisecond
)

// TestSoak runs the programs under random faults and checks what workers and
// clients see. It guards against what no single test brings about: faults that
// overlap and come in series.
func TestSoak(t *testing.T) {
	programDir := buildPrograms(t)
	for _, failed := range failedSeeds {
		t.Run(fmt.Sprint("failed-", failed.seed), func(t *testing.T) { runSoak(t, programDir, failed.seed) })
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, programDir, seed) })
	}
}

func runSoak(t *testing.T, programDir string, seed uint64) {
	s := startSystem(t, programDir, startAdviser(t))
	jobs := newJobRegistry()
	f := newFleet(t, *workerCount, jobs, s.controlAddresses)
	for _, w := range f.workers {
		p := startProxy(t, w.address)
		f.do(func() { w.address = p.address })
		s.workerProxies = append(s.workerProxies, p)
	}
	if err := s.applyConfig(1, readyTimeout); err != nil {
		t.Fatal(err)
	}
	reportViolation := func(format string, args ...any) { f.do(func() { f.reportViolation(format, args...) }) }
	ctx, cancel := context.WithCancel(context.Background())
	clients := runClients(ctx, s, jobs, seed, reportViolation)
	injector := &faultInjector{system: s, fleet: f, random: rand.New(rand.NewPCG(seed, 7)), configVersion: 1}
	injector.run(*faultDuration)
	cancel()
	clients.Wait()
	injector.endAllFaults()
	injector.checkCorruptedReplaced(t)
	if err := s.applyConfig(injector.configVersion+1, readyTimeout); err != nil {
		t.Error(err)
	}
	c := &client{system: s, jobs: jobs, reportViolation: reportViolation, random: rand.New(rand.NewPCG(seed, 8)), http: newHTTPClient()}
	pending := c.waitForCompletion(completionTimeout, f.firstStepDone)
	if len(pending) > 0 {
		t.Errorf("%d accepted jobs do not end: %s", len(pending), strings.Join(pending[:min(len(pending), 5)], ", "))
	}
	f.do(func() {
		for _, violation := range f.violations {
			t.Error(violation)
		}
		t.Logf("seed %d: %d jobs, faults %v, runs %v", seed, len(jobs.all()), injector.faultCounts, f.counts)
		if f.counts["done"] == 0 {
			t.Error("no task has ended")
		}
	})
}

// injector disturbs the system. Each fault has an end that is due later, so
// that faults overlap.
type faultInjector struct {
	system        *system
	fleet         *fleet
	random        *rand.Rand
	configVersion int
	faultCounts   map[string]int
	activeFaults  []activeFault
	disturbed     map[*process]bool
	corrupted     []*process // control processes whose log was damaged, at each time
}

type activeFault struct {
	endsAt time.Time
	end    func()
}

func (in *faultInjector) run(duration time.Duration) {
	in.faultCounts, in.disturbed = map[string]int{}, map[*process]bool{}
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		in.endDueFaults(time.Now())
		in.injectFault()
		time.Sleep(time.Duration(in.random.Int64N(int64(2 * meanFaultInterval))))
	}
}

// finish ends the faults that are due.
func (in *faultInjector) endDueFaults(now time.Time) {
	var remaining []activeFault
	for _, f := range in.activeFaults {
		if f.endsAt.After(now) {
			remaining = append(remaining, f)
			continue
		}
		f.end()
	}
	in.activeFaults = remaining
}

// lift ends all faults.
func (in *faultInjector) endAllFaults() { in.endDueFaults(time.Now().Add(time.Hour)) }

func (in *faultInjector) endFaultWithin(maxDuration time.Duration, end func()) {
	in.activeFaults = append(in.activeFaults, activeFault{time.Now().Add(time.Duration(in.random.Int64N(int64(maxDuration)))), end})
}

// toleratedControls is how many control processes may be away at once, and how
// many logs are damaged in a run: no more disks may be lost before the group
// has replaced them.
const maxDisturbedControls = 2

func (in *faultInjector) pickProcess(candidates []*process, maxDisturbed int) *process {
	disturbed := 0
	for _, p := range candidates {
		if in.disturbed[p] {
			disturbed++
		}
	}
	p := candidates[in.random.IntN(len(candidates))]
	if disturbed >= maxDisturbed || in.disturbed[p] {
		return nil
	}
	in.disturbed[p] = true
	return p
}

// one begins a random fault.
func (in *faultInjector) injectFault() {
	s := in.system
	name := ""
	switch in.random.IntN(11) {
	case 0, 1:
		name = in.disturbProcess(in.pickProcess(s.controls, maxDisturbedControls))
	case 2:
		name = in.disturbProcess(in.pickProcess(s.entries, len(s.entries)-1))
	case 3, 4:
		p := s.workerProxies[in.random.IntN(len(s.workerProxies))]
		name = "worker link"
		in.disturbLink(p, 2*time.Second)
	case 5:
		name = "client link"
		in.disturbLink(s.entryProxies[in.random.IntN(len(s.entryProxies))], time.Second)
	case 6:
		name = "adviser link"
		in.disturbLink(s.adviserProxy, time.Second)
	case 7:
		name = "worker crash"
		w := in.pickWorker()
		in.fleet.do(func() { in.fleet.crash(w) })
		in.endFaultWithin(2*time.Second, func() {
			in.fleet.do(func() {
				// It is up where it crashed again before the end of the first crash.
				in.fleet.crash(w)
				w.boot()
			})
		})
	case 8:
		name = "worker late"
		w := in.pickWorker()
		in.fleet.do(func() { w.unresponsive = true })
		in.endFaultWithin(1500*time.Millisecond, func() { in.fleet.do(func() { w.unresponsive = false }) })
	case 9:
		name = "configuration"
		in.configVersion++
		version := in.configVersion
		go func() {
			// It may be overtaken or find nobody; the last one is checked.
			_ = s.applyConfig(version, 2*time.Second)
		}()
	case 10:
		name = "worker rejecting"
		w := in.pickWorker()
		in.fleet.do(func() { w.rejectsStarts = true })
		in.endFaultWithin(1500*time.Millisecond, func() { in.fleet.do(func() { w.rejectsStarts = false }) })
	}
	if name != "" {
		in.faultCounts[name]++
	}
}

func (in *faultInjector) pickWorker() *fleetWorker {
	return in.fleet.workers[in.random.IntN(len(in.fleet.workers))]
}

func (in *faultInjector) disturbLink(p *proxy, maxDuration time.Duration) {
	p.set([]linkState{linkDelayed, linkBlackhole, linkNoReplies, linkReset}[in.random.IntN(4)])
	in.endFaultWithin(maxDuration, func() { p.set(linkOpen) })
}

// checkReplaced reports damaged logs that no start has found.
func (in *faultInjector) checkCorruptedReplaced(t *testing.T) {
	for _, p := range in.corrupted {
		want := 0
		for _, other := range in.corrupted {
			if other == p {
				want++
			}
		}
		found := 0
		for deadline := time.Now().Add(readyTimeout); found < want && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			content, err := os.ReadFile(p.logFile)
			if err != nil {
				t.Fatal(err)
			}
			found = bytes.Count(content, []byte(`"event":4307,`))
		}
		if found != want {
			t.Errorf("%s was replaced %d times, its log was damaged %d times", p.name, found, want)
		}
	}
}

// disturb kills, stops or pauses a process, or damages the log of one that it
// kills.
func (in *faultInjector) disturbProcess(p *process) string {
	if p == nil {
		return ""
	}
	release := func() { in.disturbed[p] = false }
	switch in.random.IntN(4) {
	case 0:
		name := "kill"
		p.kill()
		if len(in.corrupted) < maxDisturbedControls && in.system.corruptLog(p, in.random) {
			in.corrupted = append(in.corrupted, p)
			name = "damage"
		}
		in.endFaultWithin(1500*time.Millisecond, func() { in.system.start(p, false); release() })
		return name
	case 1:
		p.kill()
		in.endFaultWithin(1500*time.Millisecond, func() { in.system.start(p, false); release() })
		return "kill"
	case 2:
		p.terminate(stopTimeout)
		in.endFaultWithin(1500*time.Millisecond, func() {
			<-p.exited
			in.system.start(p, false)
			release()
		})
		return "planned stop"
	default:
		p.signal(syscall.SIGSTOP)
		in.endFaultWithin(2*time.Second, func() { p.signal(syscall.SIGCONT); release() })
		return "pause"
	}
}
