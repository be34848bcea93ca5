package routingbench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Figures are the results of all runs.
type Figures struct {
	Scenarios  []Row // the rows of a scenario are adjacent
	ShedOrders []Row // Scenario holds the shed order
	Regions    []Row // with and without region-aware routing
}

// Row is the result of one scenario with one method. Counts are per 1000 requests that arrived.
type Row struct {
	Scenario         string
	Load             float64 // share of the capacity of all servers
	Method           string
	P50, P99, P999   time.Duration // waiting time
	AnswersPerSecond float64
	Errors           float64
	NotRun           float64 // answered as not run
	Refusals         float64 // by backend servers
	CrossRegion      float64 // dispatches to another region
}

// bytesPerRequest is the assumed size of a request and its answer together.
const bytesPerRequest = 4 << 10

// CrossRegionKilobytes returns the traffic between regions per 1000 requests, in units of 1000 bytes.
func (r Row) CrossRegionKilobytes() float64 { return r.CrossRegion * bytesPerRequest / 1000 }

// Print writes one table for each scenario, and the tables of shed orders and regions. It returns
// the error of the writer.
func (f Figures) Print(w io.Writer) error {
	for first := 0; first < len(f.Scenarios); {
		end := first
		for end < len(f.Scenarios) && f.Scenarios[end].Scenario == f.Scenarios[first].Scenario {
			end++
		}
		if err := printScenario(w, f.Scenarios[first:end]); err != nil {
			return err
		}
		first = end
	}
	if err := printShedOrders(w, f.ShedOrders); err != nil {
		return err
	}
	return printRegions(w, f.Regions)
}

func printScenario(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\n%s (load %.2f)\n", rows[0].Scenario, rows[0].Load)
	fmt.Fprint(t, "method\tp50 ms\tp99 ms\tp99.9 ms\tanswers/s\terrors/1000\tnot run/1000\trefusals/1000\tcrossings/1000\t\n")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%.0f\t\n", r.Method,
			millis(r.P50), millis(r.P99), millis(r.P999), r.AnswersPerSecond, r.Errors, r.NotRun, r.Refusals, r.CrossRegion)
	}
	return t.Flush()
}

func printShedOrders(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nshed order at load %.2f\n", overload)
	fmt.Fprint(t, "order\tp50 ms\tp99 ms\tanswers/s\tnot run/1000\terrors/1000\t\n")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\t\n", r.Scenario, millis(r.P50), millis(r.P99),
			r.AnswersPerSecond, r.NotRun, r.Errors)
	}
	return t.Flush()
}

func printRegions(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nbytes across regions (load %.2f, %d bytes a request)\n", normalLoad, bytesPerRequest)
	fmt.Fprint(t, "routing\tKB/1000 requests\tp50 ms\tp99 ms\t\n")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.0f\t%.1f\t%.1f\t\n", r.Method, r.CrossRegionKilobytes(), millis(r.P50), millis(r.P99))
	}
	return t.Flush()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
