package backendserver

import (
	"context"
	"math/rand/v2"
	"time"
)

// outcome is how the server handles one request.
type outcome int

const (
	outcomeRun outcome = iota
	outcomeFail
	outcomeTruncate
	outcomeReset
	outcomeForeignID
	outcomeRefuse   // all slots are in use
	outcomeDraining // the server has left
)

// decision is how the run tracker handles one request.
type decision struct {
	outcome  outcome
	delay    time.Duration
	inFlight int // requests in flight, including this one if it runs
	run      int // number of runs with the same idempotency key, including this one
}

// RunCounts is the response body of GET /debug/runs.
type RunCounts struct {
	Runs     map[string]int `json:"runs"`  // by Idempotency-Key; requests without a key are left out
	Total    int            `json:"total"` // runs with and without a key
	InFlight int            `json:"in_flight"`
	Refused  int            `json:"refused"`
	LastRun  time.Time      `json:"last_run"` // start time of the latest run
}

// Messages to the run tracker.
type (
	beginRun struct {
		key   string
		reply chan<- decision
	}
	endRun        struct{ reply chan<- int }
	getCounts     struct{ reply chan<- RunCounts }
	getLoad       struct{ reply chan<- int }
	setFaults     struct{ faults Faults }
	startDraining struct{ idle chan<- struct{} }
)

// runTracker owns the slots and the run counts.
type runTracker struct {
	slots    int
	faults   Faults
	random   *rand.Rand
	counts   RunCounts
	draining bool
	idle     chan<- struct{}
}

func newRunTracker(slots int, faults Faults) *runTracker {
	return &runTracker{
		slots:  slots,
		faults: faults,
		random: rand.New(rand.NewPCG(faults.Seed, 1)),
		counts: RunCounts{Runs: map[string]int{}},
	}
}

// run handles messages until ctx ends.
func (w *runTracker) run(ctx context.Context, messages <-chan any) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			w.handle(m)
		}
	}
}

func (w *runTracker) handle(m any) {
	switch m := m.(type) {
	case beginRun:
		m.reply <- w.begin(m.key)
	case endRun:
		w.counts.InFlight--
		m.reply <- w.counts.InFlight
		w.signalIdle()
	case getCounts:
		m.reply <- w.copyCounts()
	case getLoad:
		m.reply <- w.counts.InFlight
	case setFaults:
		w.faults = m.faults
	case startDraining:
		w.draining, w.idle = true, m.idle
		w.signalIdle()
	}
}

func (w *runTracker) begin(key string) decision {
	if w.draining {
		return decision{outcome: outcomeDraining, inFlight: w.counts.InFlight}
	}
	if w.counts.InFlight >= w.slots {
		w.counts.Refused++
		return decision{outcome: outcomeRefuse, inFlight: w.counts.InFlight}
	}
	w.counts.InFlight++
	w.counts.Total++
	w.counts.LastRun = time.Now()
	if key != "" {
		w.counts.Runs[key]++
	}
	t := decision{delay: w.faults.Delay, inFlight: w.counts.InFlight, run: w.counts.Runs[key]}
	w.injectFault(&t)
	return t
}

func (w *runTracker) injectFault(t *decision) {
	drawn := w.random.Float64()
	for _, candidate := range []struct {
		rate    float64
		outcome outcome
	}{
		{w.faults.FailureRate, outcomeFail},
		{w.faults.TruncateRate, outcomeTruncate},
		{w.faults.ResetRate, outcomeReset},
		{w.faults.ForeignRate, outcomeForeignID},
	} {
		if drawn < candidate.rate {
			t.outcome = candidate.outcome
			return
		}
		drawn -= candidate.rate
	}
	if drawn < w.faults.LateRate {
		t.delay += w.faults.LateDelay
	}
}

func (w *runTracker) signalIdle() {
	if w.idle != nil && w.counts.InFlight == 0 {
		close(w.idle)
		w.idle = nil
	}
}

func (w *runTracker) copyCounts() RunCounts {
	counts := w.counts
	counts.Runs = make(map[string]int, len(w.counts.Runs))
	for key, runs := range w.counts.Runs {
		counts.Runs[key] = runs
	}
	return counts
}
