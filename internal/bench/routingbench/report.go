package routingbench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
)

// Loads of the scenarios, as shares of the capacity of all servers.
const (
	ordinaryLoad = 0.8
	fullLoad     = 1.0
	overload     = 1.3
	// regionLoad is ordinary for what is left after one region of three is lost.
	regionLoad = 0.53
	// unevenLoad is what a cell with one entry process under double load has
	// room for.
	unevenLoad = 0.7
)

func scenarios() []scenario {
	return []scenario{
		{name: "all well", load: ordinaryLoad},
		{name: "one server 10 times slower", load: ordinaryLoad, mode: modeSlow},
		{name: "one server 10 times slower, servers queue above their slots", load: ordinaryLoad, mode: modeSlow, queues: true},
		{name: "one server fails at once", load: ordinaryLoad, mode: modeFailing},
		{name: "one server silent", load: ordinaryLoad, mode: modeSilent},
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
		{name: "round-robin", simple: &simple{choose: chooseRoundRobin}},
		{name: "random", simple: &simple{choose: chooseRandom}},
		{name: "least outstanding", simple: &simple{choose: chooseLeast}},
		{name: "error counting", simple: &simple{choose: chooseRoundRobin, eject: true}},
		{name: "exact owner, 1 hop", exact: true},
	}
}

// Run runs all scenarios with all methods and prints one table each.
func Run(w io.Writer, seed uint64) error {
	for _, s := range scenarios() {
		if err := printScenario(w, s, seed); err != nil {
			return err
		}
	}
	if err := printShedOrders(w, seed); err != nil {
		return err
	}
	return printRegions(w, seed)
}

func printScenario(w io.Writer, s scenario, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\n%s (load %.2f)\n", s.name, s.load)
	fmt.Fprint(t, "method\tp50 ms\tp99 ms\tp99.9 ms\tanswers/s\terrors/1000\tnot run/1000\trefusals/1000\tcrossings/1000\t\n")
	for _, m := range methods() {
		r := newRun(s, m, seed)
		r.execute()
		hop := time.Duration(0)
		if m.exact {
			hop = ownerHop
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%.0f\t\n", m.name,
			millis(r.percentile(0.5)+hop), millis(r.percentile(0.99)+hop), millis(r.percentile(0.999)+hop),
			float64(r.answers)/r.length.Seconds(),
			r.perThousand(r.errors), r.perThousand(r.refused), r.perThousand(r.refusals), r.perThousand(r.crossings))
	}
	return t.Flush()
}

func printShedOrders(w io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nshed order at load %.2f\n", overload)
	fmt.Fprint(t, "order\tp50 ms\tp99 ms\tanswers/s\tnot run/1000\terrors/1000\t\n")
	for _, order := range []admission.ShedOrder{admission.ShedNewest, admission.ShedOldest} {
		r := newRun(scenario{load: overload, order: order}, methods()[0], seed)
		r.execute()
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\t\n", order, millis(r.percentile(0.5)), millis(r.percentile(0.99)),
			float64(r.answers)/r.length.Seconds(), r.perThousand(r.refused), r.perThousand(r.errors))
	}
	return t.Flush()
}

// bytesPerRequest is a request and its answer together.
const bytesPerRequest = 4 << 10

func printRegions(w io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nbytes across regions (load %.2f, %d bytes a request)\n", ordinaryLoad, bytesPerRequest)
	fmt.Fprint(t, "routing\tKB/1000 requests\tp50 ms\tp99 ms\t\n")
	for _, m := range []method{{name: "by region"}, {name: "ignoring regions", ignoreRegions: true}} {
		r := newRun(scenario{load: ordinaryLoad}, m, seed)
		r.execute()
		kilobytes := r.perThousand(r.crossings) * bytesPerRequest / 1000
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.1f\t\n", m.name, kilobytes, millis(r.percentile(0.5)), millis(r.percentile(0.99)))
	}
	return t.Flush()
}

func (r *run) perThousand(n int) float64 { return 1000 * float64(n) / float64(max(1, r.arrivals)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
