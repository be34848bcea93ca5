package report

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"
)

// sample is one number of a benchmark.
type sample struct {
	table    string // of the benchmark
	scenario string
	variant  string // method, policy, version
	size     int    // workers, proposals in flight, or the seed of a policy; 0 for none
	figure   string
	unit     string
	value    float64
}

var csvHeader = []string{"table", "scenario", "variant", "size", "figure", "unit", "value"}

func writeCSV(w io.Writer, samples []sample) error {
	out := csv.NewWriter(w)
	// The writer keeps its first error until the end.
	_ = out.Write(csvHeader)
	for _, s := range samples {
		size := ""
		if s.size > 0 {
			size = strconv.Itoa(s.size)
		}
		_ = out.Write([]string{s.table, s.scenario, s.variant, size, s.figure, s.unit, strconv.FormatFloat(s.value, 'g', -1, 64)})
	}
	out.Flush()
	return out.Error()
}

// withFigure returns a copy of s withFigure another figure.
func (s sample) withFigure(figure, unit string, value float64) sample {
	s.figure, s.unit, s.value = figure, unit, value
	return s
}

// withDelay returns a copy of s with a time in seconds.
func (s sample) withDelay(figure string, d time.Duration) sample {
	return s.withFigure(figure, "s", d.Seconds())
}
