package report

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/internal/bench/commitbench"
	"github.com/godwitlink/godwitlink/internal/bench/controlbench"
	"github.com/godwitlink/godwitlink/internal/bench/logbench"
	"github.com/godwitlink/godwitlink/internal/bench/placementbench"
	"github.com/godwitlink/godwitlink/internal/bench/policybench"
	"github.com/godwitlink/godwitlink/internal/bench/routingbench"
)

// chart is the data of one picture.
type chart struct {
	name       string // used in error messages
	title      string
	xLabel     string
	yLabel     string
	xLog, yLog bool
	// categories are the rows of a dot chart, from top to bottom; the y value of a point is then the
	// number of its row. A chart without categories is a line chart.
	categories []string
	series     []series
}

type series struct {
	name   string
	points []point
}

type point struct{ x, y float64 }

// add adds a point to the series with the given name.
func (c *chart) add(name string, x, y float64) {
	for i := range c.series {
		if c.series[i].name == name {
			c.series[i].points = append(c.series[i].points, point{x, y})
			return
		}
	}
	c.series = append(c.series, series{name: name, points: []point{{x, y}}})
}

// addToCategory adds a point to the series with the given name, in the row of the category.
func (c *chart) addToCategory(category, name string, x float64) {
	for i, known := range c.categories {
		if known == category {
			c.add(name, x, float64(i))
			return
		}
	}
	c.categories = append(c.categories, category)
	c.add(name, x, float64(len(c.categories)-1))
}

// charts returns the charts of a benchmark.
func (f Figures) charts(benchmark string) []chart {
	switch benchmark {
	case "routing":
		return routingCharts(f.Routing)
	case "placement":
		return placementCharts(f.Placement)
	case "log":
		return logCharts(f.Log)
	case "control":
		return controlCharts(f.Control)
	case "policy":
		return policyCharts(f.Policy)
	case "commit":
		return commitCharts(f.Commit)
	}
	return nil
}

func routingCharts(f routingbench.Figures) []chart {
	p50 := chart{name: "routing-p50", title: "Waiting time by routing policy, p50", xLabel: "waiting time (ms)", xLog: true}
	p99 := chart{name: "routing-p99", title: "Waiting time by routing policy, p99", xLabel: "waiting time (ms)", xLog: true}
	for _, r := range f.Scenarios {
		p50.addToCategory(r.Scenario, r.Method, millis(r.P50))
		p99.addToCategory(r.Scenario, r.Method, millis(r.P99))
	}
	return []chart{p50, p99}
}

func placementCharts(f placementbench.Figures) []chart {
	p50 := chart{name: "placement-p50", title: "Decision time of the scheduler, p50", xLabel: "workers", yLabel: "decision time (µs)", xLog: true, yLog: true}
	p99 := chart{name: "placement-p99", title: "Decision time of the scheduler, p99", xLabel: "workers", yLabel: "decision time (µs)", xLog: true, yLog: true}
	for _, r := range f.Rows {
		p50.add(r.State, float64(r.Workers), micros(r.P50))
		p99.add(r.State, float64(r.Workers), micros(r.P99))
	}
	return []chart{p50, p99}
}

func logCharts(f logbench.Figures) []chart {
	rate, delay := newCommitCharts("log", "replicated log, virtual clock")
	for _, r := range f.Rows {
		name := fmt.Sprintf("%s, %d ms one way", r.Mode, r.Delay.Milliseconds())
		rate.add(name, float64(r.InFlight), r.PerSecond)
		delay.add(name, float64(r.InFlight), millis(r.P99))
	}
	return []chart{rate, delay}
}

func commitCharts(f commitbench.Figures) []chart {
	rate, delay := newCommitCharts("commit", "three replicas, synced files")
	for _, r := range f.Commits {
		rate.add(r.Version, float64(r.InFlight), r.PerSecond)
		delay.add(r.Version, float64(r.InFlight), millis(r.P99))
	}
	return []chart{rate, delay}
}

func newCommitCharts(name, of string) (rate, delay chart) {
	const inFlight = "proposals in flight"
	rate = chart{name: name + "-rate", title: "Commits: " + of, xLabel: inFlight, yLabel: "commits per second", xLog: true, yLog: true}
	delay = chart{name: name + "-p99", title: "Commit delay, p99: " + of, xLabel: inFlight, yLabel: "commit delay, p99 (ms)", xLog: true, yLog: true}
	return rate, delay
}

func controlCharts(f controlbench.Figures) []chart {
	bytes := chart{name: "control-bytes", title: "Bytes on the connections of a worker", xLabel: "workers", yLabel: "bytes per second and worker"}
	cpu := chart{name: "control-processor", title: "Processor time of the whole process", xLabel: "workers", yLabel: "% of a core"}
	memory := chart{name: "control-memory", title: "Heap and stacks of the whole process", xLabel: "workers", yLabel: "memory (MiB)"}
	for _, p := range f {
		bytes.add("measured", float64(p.Workers), p.BytesPerSecond)
		cpu.add("measured", float64(p.Workers), 100*p.CPU)
		memory.add("measured", float64(p.Workers), p.Memory/(1<<20))
	}
	return []chart{bytes, cpu, memory}
}

func policyCharts(f policybench.Figures) []chart {
	p50 := chart{name: "policy-p50", title: "Waiting time by class of work, p50", xLabel: "time to the start (s)", xLog: true}
	p99 := chart{name: "policy-p99", title: "Waiting time by class of work, p99", xLabel: "time to the start (s)", xLog: true}
	packing := chart{name: "policy-packing", title: "Packing: use of the cell while work waits", xLabel: "% of the cell in use"}
	for _, r := range f {
		for _, w := range r.Waits {
			p50.addToCategory(w.Class, r.Policy, w.P50)
			p99.addToCategory(w.Class, r.Policy, w.P99)
		}
		packing.addToCategory(r.Policy, fmt.Sprintf("seed %d", r.Seed), 100*r.Packing)
	}
	return []chart{p50, p99, packing}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
