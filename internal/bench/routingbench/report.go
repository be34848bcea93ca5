package routingbench

import (
	"io"
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
)

// Loads of the scenarios as shares of the capacity of all servers.
const (
	normalLoad = 0.8
	fullLoad   = 1.0
	overload   = 1.3
	// regionLoad is the normal load of the servers that remain after the loss of one of three regions.
	regionLoad = 0.53
	// unevenLoad leaves capacity for the entry process that gets twice the load of the others.
	unevenLoad = 0.7
)

func scenarios() []scenario {
	return []scenario{
		{name: "all well", load: normalLoad},
		{name: "one server 10 times slower", load: normalLoad, mode: modeSlow},
		{name: "one server 10 times slower, servers queue above their slots", load: normalLoad, mode: modeSlow, queues: true},
		{name: "one server fails at once", load: normalLoad, mode: modeFailing},
		{name: "one server silent", load: normalLoad, mode: modeSilent},
		{name: "one region lost", load: regionLoad, lostRegion: true},
		{name: "one entry process gets twice the load", load: unevenLoad, uneven: true},
		{name: "full load", load: fullLoad},
		{name: "load 1.3", load: overload},
	}
}

func methods() []method {
	return []method{
		{name: "godwitlink"},
		{name: "without homes", noHomes: true},
		{name: "round-robin", simple: &simplePicker{choose: chooseRoundRobin}},
		{name: "random", simple: &simplePicker{choose: chooseRandom}},
		{name: "least outstanding", simple: &simplePicker{choose: chooseLeastOutstanding}},
		{name: "error counting", simple: &simplePicker{choose: chooseRoundRobin, ejectOnErrors: true}},
		{name: "exact owner, 1 hop", exact: true},
	}
}

// Options are the flags of the comparison.
type Options struct {
	Seed   uint64        // random seed of the arrivals
	WarmUp time.Duration // time before the failure and the measurement
	Length time.Duration // duration of the measurement
}

// DefaultOptions returns the durations of the published comparison.
func DefaultOptions() Options { return Options{Seed: 1, WarmUp: warmUp, Length: measureTime} }

// Run runs all scenarios with all methods and prints the tables.
func Run(w io.Writer, seed uint64) error {
	o := DefaultOptions()
	o.Seed = seed
	return Measure(o).Print(w)
}

// Measure runs all scenarios with all methods, and compares the shed orders and region awareness.
func Measure(o Options) Figures {
	var f Figures
	for _, s := range scenarios() {
		for _, m := range methods() {
			f.Scenarios = append(f.Scenarios, o.measure(s, m))
		}
	}
	for _, order := range []admission.ShedOrder{admission.ShedNewest, admission.ShedOldest} {
		f.ShedOrders = append(f.ShedOrders, o.measure(scenario{name: string(order), load: overload, order: order}, methods()[0]))
	}
	for _, m := range []method{{name: "by region"}, {name: "ignoring regions", ignoreRegions: true}} {
		f.Regions = append(f.Regions, o.measure(scenario{load: normalLoad}, m))
	}
	return f
}

func (o Options) measure(s scenario, m method) Row {
	r := newRun(s, m, o.Seed)
	r.warmUp, r.length = o.WarmUp, o.Length
	r.execute()
	hop := time.Duration(0)
	if m.exact {
		hop = ownerHop
	}
	return Row{
		Scenario: s.name, Load: s.load, Method: m.name,
		P50: r.percentile(0.5) + hop, P99: r.percentile(0.99) + hop, P999: r.percentile(0.999) + hop,
		AnswersPerSecond: float64(r.answers) / r.length.Seconds(),
		Errors:           r.perThousand(r.errors), NotRun: r.perThousand(r.notRun),
		Refusals: r.perThousand(r.refusals), CrossRegion: r.perThousand(r.crossRegion),
	}
}

func (r *run) perThousand(n int) float64 { return 1000 * float64(n) / float64(max(1, r.arrivals)) }
