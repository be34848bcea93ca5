package report

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
)

// fewDecades is the range up to which a log axis is labelled at 1, 2 and 5 of
// each decade and not only at 1.
const fewDecades = 3

// setAxis sets the range and the ticks of an axis. Linear axes begin at 0, so
// that lengths can be compared.
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
	const room = 1.25      // beyond the outermost points
	const leastRange = 4.0 // of the axis, so that it has labels
	axis.Min, axis.Max = low/room, high*room
	if missing := leastRange / (axis.Max / axis.Min); missing > 1 {
		axis.Min, axis.Max = axis.Min/math.Sqrt(missing), axis.Max*math.Sqrt(missing)
	}
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = logTicks{}
}

// linearTicks labels round values in plain numbers.
type linearTicks struct{}

// Ticks implements plot.Ticker.
func (linearTicks) Ticks(low, high float64) []plot.Tick {
	const least = 4 // ticks over the whole range
	step := math.Pow(10, math.Floor(math.Log10((high-low)/least)))
	for _, factor := range []float64{5, 2} {
		if (high-low)/(factor*step) >= least {
			step *= factor
			break
		}
	}
	var ticks []plot.Tick
	for i := math.Ceil(low / step); i*step <= high; i++ {
		ticks = append(ticks, plot.Tick{Value: i * step, Label: number(i * step)})
	}
	return ticks
}

// logTicks labels 1, 2 and 5 of each decade, or only 1 over many decades, in
// plain numbers.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(low, high float64) []plot.Tick {
	few := math.Log10(high/low) <= fewDecades
	var ticks []plot.Tick
	for exponent := math.Floor(math.Log10(low)); exponent <= math.Ceil(math.Log10(high)); exponent++ {
		for digit := 1.0; digit < 10; digit++ {
			value := digit * math.Pow(10, exponent)
			if value < low || value > high {
				continue
			}
			tick := plot.Tick{Value: value}
			if digit == 1 || few && (digit == 2 || digit == 5) {
				tick.Label = number(value)
			}
			ticks = append(ticks, tick)
		}
	}
	return ticks
}

// measuredTicks labels the values that were measured.
func measuredTicks(values []float64) plot.Ticker {
	values = slices.Compact(slices.Sorted(slices.Values(values)))
	var ticks plot.ConstantTicks
	for _, value := range values {
		ticks = append(ticks, plot.Tick{Value: value, Label: number(value)})
	}
	return ticks
}

// number formats a value with separators between thousands.
func number(value float64) string {
	digits := strconv.FormatFloat(value, 'g', 6, 64)
	if value < 1000 || strings.ContainsAny(digits, "e.") {
		return digits
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// wrapAt is the longest line of a category's label, in characters.
const wrapAt = 28

// wrap breaks a label into lines.
func wrap(label string) string {
	var b strings.Builder
	column := 0
	for i, word := range strings.Fields(label) {
		switch {
		case i == 0:
		case column+1+len(word) > wrapAt:
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
