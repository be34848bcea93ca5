package proxybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Figures are the results of a run.
type Figures struct {
	Settings      Settings
	Rows          []Row // in the order of setup.variants
	PerConnection int64 // bytes per idle connection, both ends
}

// Row is the result of one way to reach the backend server.
type Row struct {
	Variant            string
	PerSecond          float64       // successful requests per second with Settings.ThroughputCallers
	Failed             int           // failed requests
	P50, P99           time.Duration // delay with Settings.DelayCallers
	AddedP50, AddedP99 time.Duration // difference to the delay of direct GET requests
}

// Indexes of Figures.Rows.
const (
	rowProxyGet    = 1
	rowGatewayGet  = 2
	rowProxyPost   = 3
	rowGatewayPost = 4
)

func newFigures(settings Settings, throughput, delay []*variant, perConnection int64) Figures {
	f := Figures{Settings: settings, PerConnection: perConnection}
	base := delay[0]
	for i, v := range delay {
		p50, p99 := v.percentile(0.5), v.percentile(0.99)
		f.Rows = append(f.Rows, Row{
			Variant: v.name, PerSecond: throughput[i].rate(), Failed: throughput[i].failed + v.failed, P50: p50, P99: p99,
			AddedP50: p50 - base.percentile(0.5), AddedP99: p99 - base.percentile(0.99),
		})
	}
	return f
}

// Print writes the figures as a table. It returns the error of the writer.
func (f Figures) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\nrequests/s with %d callers; delay with %d callers, added to that of direct GET\n", f.Settings.ThroughputCallers, f.Settings.DelayCallers)
	fmt.Fprint(t, "way\trequests/s\tfailed\tp50 us\tp99 us\tadded p50 us\tadded p99 us\t\n")
	for _, r := range f.Rows {
		fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t\n", r.Variant, r.PerSecond, r.Failed,
			r.P50.Microseconds(), r.P99.Microseconds(), r.AddedP50.Microseconds(), r.AddedP99.Microseconds())
	}
	if len(f.Rows) > rowGatewayPost {
		fmt.Fprintf(t, "\ngateway/ReverseProxy, GET: %.2f\tPOST: %.2f\t\n", f.ratio(rowGatewayGet, rowProxyGet), f.ratio(rowGatewayPost, rowProxyPost))
	}
	fmt.Fprintf(t, "bytes per idle connection, both ends: %d\t\n", f.PerConnection)
	return t.Flush()
}

func (f Figures) ratio(row, base int) float64 { return f.Rows[row].PerSecond / f.Rows[base].PerSecond }
