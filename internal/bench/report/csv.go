package report

import (
	"encoding/csv"
	"io"
	"strconv"
	"time"
)

// sample is one figure of a benchmark, and one row of its CSV file.
type sample struct {
	table    string // name of the table in the benchmark
	scenario string
	variant  string // method, policy or version
	size     int    // number of workers or of proposals in flight, or the seed of a policy run; 0 for none
	figure   string
	unit     string
	value    float64
}

var csvHeader = []string{"table", "scenario", "variant", "size", "figure", "unit", "value"}

func writeCSV(w io.Writer, samples []sample) error {
	out := csv.NewWriter(w)
	// Error returns the first error of all writes.
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

// withFigure returns a copy of s with the given figure, unit and value.
func (s sample) withFigure(figure, unit string, value float64) sample {
	s.figure, s.unit, s.value = figure, unit, value
	return s
}

// withDelay returns a copy of s with a duration in seconds as its figure.
func (s sample) withDelay(figure string, d time.Duration) sample {
	return s.withFigure(figure, "s", d.Seconds())
}
