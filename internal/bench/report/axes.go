package report

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
)

// maxDetailedDecades is the largest range of a logarithmic axis that is labelled at 1, 2 and 5 of
// each decade. Axes with a larger range are labelled only at 1.
const maxDetailedDecades = 3

// setAxis sets the range and the ticks of an axis. Linear axes include 0, so that lengths can be
// compared.
func setAxis(axis *plot.Axis, values []float64, log bool) {
	low, high := slices.Min(values), slices.Max(values)
	if !log {
		axis.Min, axis.Max = min(0, low), high*1.08
		if axis.Max <= axis.Min {
			axis.Max = axis.Min + 1
		}
		axis.Tick.Marker = linearTicks{}
		return
	}
	const rangeMargin = 1.25  // factor between the outermost points and the ends of the axis
	const minRangeRatio = 4.0 // minimum ratio of the ends of the axis, so that it has labels
	axis.Min, axis.Max = low/rangeMargin, high*rangeMargin
	if missing := minRangeRatio / (axis.Max / axis.Min); missing > 1 {
		axis.Min, axis.Max = axis.Min/math.Sqrt(missing), axis.Max*math.Sqrt(missing)
	}
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = logTicks{}
}

// linearTicks labels round values without exponents.
type linearTicks struct{}

// Ticks implements plot.Ticker.
func (linearTicks) Ticks(low, high float64) []plot.Tick {
	const minTicks = 4 // minimum number of tick intervals over the range
	step := math.Pow(10, math.Floor(math.Log10((high-low)/minTicks)))
	for _, factor := range []float64{5, 2} {
		if (high-low)/(factor*step) >= minTicks {
			step *= factor
			break
		}
	}
	var ticks []plot.Tick
	for i := math.Ceil(low / step); i*step <= high; i++ {
		ticks = append(ticks, plot.Tick{Value: i * step, Label: formatNumber(i * step)})
	}
	return ticks
}

// logTicks labels 1, 2 and 5 of each decade, or only 1 if there are more than maxDetailedDecades
// decades, without exponents.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(low, high float64) []plot.Tick {
	detailed := math.Log10(high/low) <= maxDetailedDecades
	var ticks []plot.Tick
	for exponent := math.Floor(math.Log10(low)); exponent <= math.Ceil(math.Log10(high)); exponent++ {
		for digit := 1.0; digit < 10; digit++ {
			value := digit * math.Pow(10, exponent)
			if value < low || value > high {
				continue
			}
			tick := plot.Tick{Value: value}
			if digit == 1 || detailed && (digit == 2 || digit == 5) {
				tick.Label = formatNumber(value)
			}
			ticks = append(ticks, tick)
		}
	}
	return ticks
}

// measuredTicks returns a tick with a label for each measured value.
func measuredTicks(values []float64) plot.Ticker {
	values = slices.Compact(slices.Sorted(slices.Values(values)))
	var ticks plot.ConstantTicks
	for _, value := range values {
		ticks = append(ticks, plot.Tick{Value: value, Label: formatNumber(value)})
	}
	return ticks
}

// formatNumber formats a value with thousands separators.
func formatNumber(value float64) string {
	digits := strconv.FormatFloat(value, 'g', 6, 64)
	if value < 1000 || strings.ContainsAny(digits, "e.") {
		return digits
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// maxLabelLine is the maximum line length of a category label, in bytes.
const maxLabelLine = 28

// wrapLabel breaks a label into lines of at most maxLabelLine bytes where its words allow it.
func wrapLabel(label string) string {
	var b strings.Builder
	column := 0
	for i, word := range strings.Fields(label) {
		switch {
		case i == 0:
		case column+1+len(word) > maxLabelLine:
			b.WriteByte('\n')
			column = 0
		default:
			b.WriteByte(' ')
			column++
		}
		b.WriteString(word)
		column += len(word)
	}
	return b.String()
}
