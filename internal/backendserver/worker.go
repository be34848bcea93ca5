package backendserver

import (
	"context"
	"math/rand/v2"
	"time"
)

// fate is what becomes of one request.
type fate int

const (
	fateRun fate = iota
	fateFail
	fateTruncate
	fateReset
	fateForeign
	fateRefuse   // above the slots
	fateTurnAway // after the end of the leave
)

// ticket is the worker task's decision on one request.
type ticket struct {
	fate     fate
	delay    time.Duration
	inFlight int // with this request
	run      int // how often the key has been run, with this request
}

// Counts is what GET /debug/runs returns.
type Counts struct {
	Runs     map[string]int `json:"runs"`  // by Idempotency-Key, without requests that have none
	Total    int            `json:"total"` // all runs
	InFlight int            `json:"in_flight"`
	Refused  int            `json:"refused"`
	LastRun  time.Time      `json:"last_run"` // start of the last run
}

// Messages to the worker task.
type (
	beginRun struct {
		key   string
		reply chan<- ticket
	}
	endRun    struct{ reply chan<- int }
	askCounts struct{ reply chan<- Counts }
	askLoad   struct{ reply chan<- int }
	setFaults struct{ faults Faults }
	turnAway  struct{ idle chan<- struct{} }
)

// worker owns the slots and the counts.
type worker struct {
	slots    int
	faults   Faults
	random   *rand.Rand
	counts   Counts
	turnAway bool
	idle     chan<- struct{}
}

func newWorker(slots int, faults Faults) *worker {
	return &worker{
		slots:  slots,
		faults: faults,
		random: rand.New(rand.NewPCG(faults.Seed, 1)),
		counts: Counts{Runs: map[string]int{}},
	}
}

// run handles messages until ctx ends.
func (w *worker) run(ctx context.Context, messages <-chan any) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			w.handle(m)
		}
	}
}

func (w *worker) handle(m any) {
	switch m := m.(type) {
	case beginRun:
		m.reply <- w.begin(m.key)
	case endRun:
		w.counts.InFlight--
		m.reply <- w.counts.InFlight
		w.signalIdle()
	case askCounts:
		m.reply <- w.copyCounts()
	case askLoad:
		m.reply <- w.counts.InFlight
	case setFaults:
		w.faults = m.faults
	case turnAway:
		w.turnAway, w.idle = true, m.idle
		w.signalIdle()
	}
}

func (w *worker) begin(key string) ticket {
	if w.turnAway {
		return ticket{fate: fateTurnAway, inFlight: w.counts.InFlight}
	}
	if w.counts.InFlight >= w.slots {
		w.counts.Refused++
		return ticket{fate: fateRefuse, inFlight: w.counts.InFlight}
	}
	w.counts.InFlight++
	w.counts.Total++
	w.counts.LastRun = time.Now()
	if key != "" {
		w.counts.Runs[key]++
	}
	t := ticket{delay: w.faults.Delay, inFlight: w.counts.InFlight, run: w.counts.Runs[key]}
	w.draw(&t)
	return t
}

func (w *worker) draw(t *ticket) {
	drawn := w.random.Float64()
	for _, candidate := range []struct {
		rate float64
		fate fate
	}{
		{w.faults.FailureRate, fateFail},
		{w.faults.TruncateRate, fateTruncate},
		{w.faults.ResetRate, fateReset},
		{w.faults.ForeignRate, fateForeign},
	} {
		if drawn < candidate.rate {
			t.fate = candidate.fate
			return
		}
		drawn -= candidate.rate
	}
	if drawn < w.faults.LateRate {
		t.delay += w.faults.LateDelay
	}
}

func (w *worker) signalIdle() {
	if w.idle != nil && w.counts.InFlight == 0 {
		close(w.idle)
		w.idle = nil
	}
}

func (w *worker) copyCounts() Counts {
	counts := w.counts
	counts.Runs = make(map[string]int, len(w.counts.Runs))
	for key, runs := range w.counts.Runs {
		counts.Runs[key] = runs
	}
	return counts
}
