package report

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"math"

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
	minRowHeight  = 0.45 * vg.Inch // minimum height of a category
	dotHeight     = 0.14 * vg.Inch // height of one series in a category; the diameter of a dot is 0.11 inches
	dotChartFrame = 1.3 * vg.Inch  // height of the title and the axis of a dot chart
	legendWidth   = 2.3 * vg.Inch
	margin        = 0.12 * vg.Inch
	dotsPerInch   = 110
	glyphRadius   = 4   // points
	lineWidth     = 1.5 // points
	seriesStretch = 0.8 // part of the row height over which the series are spread
)

// glyphs begins with the filled shapes, because outlines are too thin for the page.
var glyphs = []draw.GlyphDrawer{
	draw.CircleGlyph{}, draw.BoxGlyph{}, draw.PyramidGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}, draw.RingGlyph{}, draw.SquareGlyph{},
}

func seriesColor(index int) color.Color {
	return plotutil.DarkColors[index%len(plotutil.DarkColors)]
}

// errEmptyChart is returned for a chart without points that its axes can show.
var errEmptyChart = errors.New("chart without points")

// writePNG draws a chart as a PNG picture.
func writePNG(w io.Writer, c chart) error {
	p := plot.New()
	p.Title.Text = c.title
	p.Title.Padding = vg.Points(8)
	p.X.Label.Text = c.xLabel
	p.BackgroundColor = color.White
	legend := plot.NewLegend()
	legend.Top, legend.Left = true, true
	legend.Padding = vg.Points(3)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{Y: 225}, color.Gray{Y: 225}
	if len(c.categories) > 0 {
		// The horizontal lines of a dot chart separate its rows and are not at the ticks.
		grid.Horizontal.Color = nil
		p.Add(grid, separators{rows: len(c.categories)})
	} else {
		p.Add(grid)
	}
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

// separators draws lines between the rows of a dot chart.
type separators struct{ rows int }

// Plot implements plot.Plotter.
func (s separators) Plot(canvas draw.Canvas, p *plot.Plot) {
	_, y := p.Transforms(&canvas)
	style := draw.LineStyle{Color: color.Gray{Y: 190}, Width: vg.Points(0.5)}
	for row := range s.rows + 1 {
		at := y(float64(row) - 0.5)
		canvas.StrokeLine2(style, canvas.Min.X, at, canvas.Max.X, at)
	}
}

// drawable returns the points of a series that the axes can show: a logarithmic axis shows no values
// of 0 or less.
func (c chart) drawable(s series, index int) plotter.XYs {
	var points plotter.XYs
	for _, at := range s.points {
		if (c.xLog && at.x <= 0) || (c.yLog && at.y <= 0) {
			continue
		}
		y := at.y
		if len(c.categories) > 0 {
			y = float64(len(c.categories)-1) - at.y + c.seriesOffset(index)
		}
		points = append(points, plotter.XY{X: at.x, Y: y})
	}
	return points
}

// seriesOffset returns the vertical offset of a series in its row, which separates equal points of
// several series.
func (c chart) seriesOffset(index int) float64 {
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
	scatter.Color, scatter.Shape, scatter.Radius = seriesColor(index), glyphs[index%len(glyphs)], vg.Points(glyphRadius)
	if len(c.categories) > 0 {
		p.Add(scatter)
		legend.Add(name, scatter)
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes, line.Width = seriesColor(index), plotutil.Dashes(index), vg.Points(lineWidth)
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
		ticks = append(ticks, plot.Tick{Value: float64(len(c.categories) - 1 - i), Label: wrapLabel(name)})
	}
	p.Y.Tick.Marker = ticks
	p.Y.Tick.Length = 0
	p.Y.Min, p.Y.Max = -0.5, float64(len(c.categories))-0.5
}

func (c chart) render(w io.Writer, p *plot.Plot, legend plot.Legend) error {
	height := lineHeight
	if n := len(c.categories); n > 0 {
		height = dotChartFrame + vg.Length(n)*max(minRowHeight, dotHeight*vg.Length(len(c.series)))
	}
	image := vgimg.NewWith(vgimg.UseWH(pictureWidth, height), vgimg.UseDPI(dotsPerInch))
	canvas := draw.New(image)
	canvas.SetColor(color.White)
	canvas.Fill(canvas.Rectangle.Path())
	left := margin + c.drawYLabel(canvas, p.Y.Label.TextStyle)
	p.Draw(draw.Crop(canvas, left, -legendWidth-margin, margin, -margin))
	legend.Draw(draw.Crop(canvas, pictureWidth-legendWidth, -margin, margin, -4*margin))
	_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(w)
	return err
}

// drawYLabel draws the label of the y axis and returns its width. The plot package is not used for
// it: it assumes that the middle of the label is at the mean of the axis limits, and therefore
// reserves space above a logarithmic axis.
func (c chart) drawYLabel(canvas draw.Canvas, style draw.TextStyle) vg.Length {
	if c.yLabel == "" {
		return 0
	}
	height := style.Height(c.yLabel)
	style.Rotation += math.Pi / 2
	canvas.FillText(style, vg.Point{X: margin + height, Y: canvas.Center().Y}, c.yLabel)
	return height + margin
}
