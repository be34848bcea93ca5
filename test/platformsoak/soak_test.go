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
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	runs      = flag.Int("soak.runs", 1, "number of seeds")
	lasts     = flag.Duration("soak.time", 8*time.Second, "time with faults of each seed")
	workers   = flag.Int("soak.workers", 12, "stand-in workers")
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
	formLimit   = 15 * time.Second
	settleLimit = 30 * time.Second
	stopLimit   = 8 * time.Second
	// faultGap is the mean time between two faults; they overlap.
	faultGap = 350 * time.Millisecond
)

// TestSoak runs the programs under random faults and checks what workers and
// clients see. It guards against what no single test brings about: faults that
// overlap and come in series.
func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	for _, failed := range failedSeeds {
		t.Run(fmt.Sprint("failed-", failed.seed), func(t *testing.T) { soak(t, bin, failed.seed) })
	}
	for i := range *runs {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, bin, seed) })
	}
}

func soak(t *testing.T, bin string, seed uint64) {
	s := startSystem(t, bin, startAdviser(t))
	jobs := newRegistry()
	f := newFleet(t, *workers, jobs, s.controlAddresses)
	for _, w := range f.workers {
		p := startProxy(t, w.address)
		f.do(func() { w.address = p.address })
		s.workers = append(s.workers, p)
	}
	if err := s.configure(1, formLimit); err != nil {
		t.Fatal(err)
	}
	breaks := func(format string, args ...any) { f.do(func() { f.breaks(format, args...) }) }
	stop, cancel := context.WithCancel(context.Background())
	clients := runClients(stop, s, jobs, seed, breaks)
	in := &injector{system: s, fleet: f, random: rand.New(rand.NewPCG(seed, 7)), version: 1}
	in.run(*lasts)
	cancel()
	clients.Wait()
	in.lift()
	in.checkReplaced(t)
	if err := s.configure(in.version+1, formLimit); err != nil {
		t.Error(err)
	}
	c := &client{system: s, jobs: jobs, breaks: breaks, random: rand.New(rand.NewPCG(seed, 8)), http: newHTTPClient()}
	open := c.settle(settleLimit, f.allDone)
	if len(open) > 0 {
		t.Errorf("%d accepted jobs do not end: %s", len(open), strings.Join(open[:min(len(open), 5)], ", "))
	}
	f.do(func() {
		for _, broken := range f.broken {
			t.Error(broken)
		}
		t.Logf("seed %d: %d jobs, faults %v, runs %v", seed, len(jobs.all()), in.done, f.counts)
		if f.counts["done"] == 0 {
			t.Error("no task has ended")
		}
	})
}

// injector disturbs the system. Each fault has an end that is due later, so
// that faults overlap.
type injector struct {
	system  *system
	fleet   *fleet
	random  *rand.Rand
	version int
	done    map[string]int
	ends    []fault
	busy    map[*process]bool
	damaged []*process // control processes whose log was damaged, at each time
}

type fault struct {
	at  time.Time
	end func()
}

func (in *injector) run(lasts time.Duration) {
	in.done, in.busy = map[string]int{}, map[*process]bool{}
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		in.finish(time.Now())
		in.one()
		time.Sleep(time.Duration(in.random.Int64N(int64(2 * faultGap))))
	}
}

// finish ends the faults that are due.
func (in *injector) finish(now time.Time) {
	var left []fault
	for _, f := range in.ends {
		if f.at.After(now) {
			left = append(left, f)
			continue
		}
		f.end()
	}
	in.ends = left
}

// lift ends all faults.
func (in *injector) lift() { in.finish(time.Now().Add(time.Hour)) }

func (in *injector) later(most time.Duration, end func()) {
	in.ends = append(in.ends, fault{time.Now().Add(time.Duration(in.random.Int64N(int64(most)))), end})
}

// toleratedControls is how many control processes may be away at once, and how
// many logs are damaged in a run: no more disks may be lost before the group
// has replaced them.
const toleratedControls = 2

func (in *injector) pick(from []*process, most int) *process {
	away := 0
	for _, p := range from {
		if in.busy[p] {
			away++
		}
	}
	p := from[in.random.IntN(len(from))]
	if away >= most || in.busy[p] {
		return nil
	}
	in.busy[p] = true
	return p
}

// one begins a random fault.
func (in *injector) one() {
	s := in.system
	name := ""
	switch in.random.IntN(11) {
	case 0, 1:
		name = in.disturb(in.pick(s.controls, toleratedControls))
	case 2:
		name = in.disturb(in.pick(s.entries, len(s.entries)-1))
	case 3, 4:
		p := s.workers[in.random.IntN(len(s.workers))]
		name = "worker link"
		in.disturbLink(p, 2*time.Second)
	case 5:
		name = "client link"
		in.disturbLink(s.clients[in.random.IntN(len(s.clients))], time.Second)
	case 6:
		name = "adviser link"
		in.disturbLink(s.adviser, time.Second)
	case 7:
		name = "worker crash"
		w := in.worker()
		in.fleet.do(func() { in.fleet.crash(w) })
		in.later(2*time.Second, func() {
			in.fleet.do(func() {
				// It is up where it crashed again before the end of the first crash.
				in.fleet.crash(w)
				w.boot()
			})
		})
	case 8:
		name = "worker late"
		w := in.worker()
		in.fleet.do(func() { w.faulty = true })
		in.later(1500*time.Millisecond, func() { in.fleet.do(func() { w.faulty = false }) })
	case 9:
		name = "configuration"
		in.version++
		version := in.version
		go func() {
			// It may be overtaken or find nobody; the last one is checked.
			_ = s.configure(version, 2*time.Second)
		}()
	case 10:
		name = "worker rejecting"
		w := in.worker()
		in.fleet.do(func() { w.rejecting = true })
		in.later(1500*time.Millisecond, func() { in.fleet.do(func() { w.rejecting = false }) })
	}
	if name != "" {
		in.done[name]++
	}
}

func (in *injector) worker() *fleetWorker {
	return in.fleet.workers[in.random.IntN(len(in.fleet.workers))]
}

func (in *injector) disturbLink(p *proxy, most time.Duration) {
	p.set([]link{linkDelayed, linkSilent, linkOneWay, linkRefusing}[in.random.IntN(4)])
	in.later(most, func() { p.set(linkOpen) })
}

// checkReplaced reports damaged logs that no start has found.
func (in *injector) checkReplaced(t *testing.T) {
	for _, p := range in.damaged {
		want := 0
		for _, other := range in.damaged {
			if other == p {
				want++
			}
		}
		found := 0
		for end := time.Now().Add(formLimit); found < want && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			content, err := os.ReadFile(p.log)
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
func (in *injector) disturb(p *process) string {
	if p == nil {
		return ""
	}
	back := func() { in.busy[p] = false }
	switch in.random.IntN(4) {
	case 0:
		name := "kill"
		p.kill()
		if len(in.damaged) < toleratedControls && in.system.damage(p, in.random) {
			in.damaged = append(in.damaged, p)
			name = "damage"
		}
		in.later(1500*time.Millisecond, func() { in.system.start(p, false); back() })
		return name
	case 1:
		p.kill()
		in.later(1500*time.Millisecond, func() { in.system.start(p, false); back() })
		return "kill"
	case 2:
		p.terminate(stopLimit)
		in.later(1500*time.Millisecond, func() {
			<-p.exited
			in.system.start(p, false)
			back()
		})
		return "planned stop"
	default:
		p.signal(syscall.SIGSTOP)
		in.later(2*time.Second, func() { p.signal(syscall.SIGCONT); back() })
		return "pause"
	}
}
