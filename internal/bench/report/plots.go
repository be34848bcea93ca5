package report

import (
	"errors"
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Sizes of the pictures.
const (
	pictureWidth  = 9 * vg.Inch
	lineHeight    = 4 * vg.Inch
	rowHeight     = 0.55 * vg.Inch // of a category
	dotFrame      = 1.3 * vg.Inch  // title and axis of a dot chart
	legendWidth   = 2.3 * vg.Inch
	margin        = 0.12 * vg.Inch
	dotsPerInch   = 110
	glyphRadius   = 3.5 // points
	seriesStretch = 0.6 // of a row, over which the dots of its series spread
)

// errEmptyChart is returned for a chart without a point to draw.
var errEmptyChart = errors.New("chart without points")

// writePNG draws a chart.
func writePNG(w io.Writer, c chart) error {
	p := plot.New()
	p.Title.Text = c.title
	p.Title.Padding = vg.Points(8)
	p.X.Label.Text, p.Y.Label.Text = c.xLabel, c.yLabel
	p.BackgroundColor = color.White
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.Padding = vg.Points(3)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{Y: 225}, color.Gray{Y: 225}
	p.Add(grid)
	var xs, ys []float64
	for i, s := range c.series {
		points := c.drawable(s, i)
		if len(points) == 0 {
			continue
		}
		if err := addSeries(p, &legend, c, s.name, i, points); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		for _, at := range points {
			xs, ys = append(xs, at.X), append(ys, at.Y)
		}
	}
	if len(xs) == 0 {
		return fmt.Errorf("%s: %w", c.name, errEmptyChart)
	}
	c.setAxes(p, xs, ys)
	return c.render(w, p, legend)
}

// drawable returns the points of a series that its axes can show.
func (c chart) drawable(s series, index int) plotter.XYs {
	var points plotter.XYs
	for _, at := range s.points {
		if (c.xLog && at.x <= 0) || (c.yLog && at.y <= 0) {
			continue
		}
		y := at.y
		if len(c.categories) > 0 {
			y = float64(len(c.categories)-1) - at.y + c.offset(index)
		}
		points = append(points, plotter.XY{X: at.x, Y: y})
	}
	return points
}

// offset keeps equal dots of several series apart.
func (c chart) offset(index int) float64 {
	n := len(c.series)
	if n < 2 {
		return 0
	}
	return seriesStretch * (0.5 - float64(index)/float64(n-1))
}

func addSeries(p *plot.Plot, legend *plot.Legend, c chart, name string, index int, points plotter.XYs) error {
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(index), plotutil.Shape(index), vg.Points(glyphRadius)
	if len(c.categories) > 0 {
		p.Add(scatter)
		legend.Add(name, scatter)
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes, line.Width = plotutil.Color(index), plotutil.Dashes(index), vg.Points(1.5)
	p.Add(line, scatter)
	legend.Add(name, line, scatter)
	return nil
}

func (c chart) setAxes(p *plot.Plot, xs, ys []float64) {
	setAxis(&p.X, xs, c.xLog)
	if len(c.categories) == 0 {
		if c.xLog {
			p.X.Tick.Marker = measuredTicks(xs)
		}
		setAxis(&p.Y, ys, c.yLog)
		return
	}
	var ticks plot.ConstantTicks
	for i, name := range c.categories {
		ticks = append(ticks, plot.Tick{Value: float64(len(c.categories) - 1 - i), Label: wrap(name)})
	}
	p.Y.Tick.Marker = ticks
	p.Y.Tick.Length = 0
	p.Y.Min, p.Y.Max = -0.5, float64(len(c.categories))-0.5
}

func (c chart) render(w io.Writer, p *plot.Plot, legend plot.Legend) error {
	height := lineHeight
	if n := len(c.categories); n > 0 {
		height = dotFrame + rowHeight*vg.Length(n)
	}
	image := vgimg.NewWith(vgimg.UseWH(pictureWidth, height), vgimg.UseDPI(dotsPerInch))
	canvas := draw.New(image)
	canvas.SetColor(color.White)
	canvas.Fill(canvas.Rectangle.Path())
	p.Draw(draw.Crop(canvas, margin, -legendWidth-margin, margin, -margin))
	legend.Draw(draw.Crop(canvas, pictureWidth-legendWidth, -margin, margin, -4*margin))
	_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(w)
	return err
}
