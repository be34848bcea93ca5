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
	outcomeRefuse   // refused because all slots are in use
	outcomeDraining // refused because the server has left
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
	getInFlight   struct{ reply chan<- int }
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
func (r *runTracker) run(ctx context.Context, messages <-chan any) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			r.handle(m)
		}
	}
}

func (r *runTracker) handle(m any) {
	switch m := m.(type) {
	case beginRun:
		m.reply <- r.begin(m.key)
	case endRun:
		r.counts.InFlight--
		m.reply <- r.counts.InFlight
		r.signalIdle()
	case getCounts:
		m.reply <- r.copyCounts()
	case getInFlight:
		m.reply <- r.counts.InFlight
	case setFaults:
		r.faults = m.faults
	case startDraining:
		r.draining, r.idle = true, m.idle
		r.signalIdle()
	}
}

func (r *runTracker) begin(key string) decision {
	if r.draining {
		return decision{outcome: outcomeDraining, inFlight: r.counts.InFlight}
	}
	if r.counts.InFlight >= r.slots {
		r.counts.Refused++
		return decision{outcome: outcomeRefuse, inFlight: r.counts.InFlight}
	}
	r.counts.InFlight++
	r.counts.Total++
	r.counts.LastRun = time.Now()
	if key != "" {
		r.counts.Runs[key]++
	}
	d := decision{delay: r.faults.Delay, inFlight: r.counts.InFlight, run: r.counts.Runs[key]}
	r.injectFault(&d)
	return d
}

func (r *runTracker) injectFault(d *decision) {
	sample := r.random.Float64()
	for _, candidate := range []struct {
		rate    float64
		outcome outcome
	}{
		{r.faults.FailureRate, outcomeFail},
		{r.faults.TruncateRate, outcomeTruncate},
		{r.faults.ResetRate, outcomeReset},
		{r.faults.ForeignRate, outcomeForeignID},
	} {
		if sample < candidate.rate {
			d.outcome = candidate.outcome
			return
		}
		sample -= candidate.rate
	}
	if sample < r.faults.LateRate {
		d.delay += r.faults.LateDelay
	}
}

func (r *runTracker) signalIdle() {
	if r.idle != nil && r.counts.InFlight == 0 {
		close(r.idle)
		r.idle = nil
	}
}

func (r *runTracker) copyCounts() RunCounts {
	counts := r.counts
	counts.Runs = make(map[string]int, len(r.counts.Runs))
	for key, runs := range r.counts.Runs {
		counts.Runs[key] = runs
	}
	return counts
}
