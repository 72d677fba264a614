package loadgen

import (
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 8 * vg.Inch
	// groupWidth is the width of the bars of one figure together.
	groupWidth = 0.9 * vg.Inch
)

// plotColors are the colors of the targets; further ones repeat them.
var plotColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// Plot writes a chart with two parts: the figures of all targets, with the range of the rounds, and the share of responses in
// time by second of arrival, one line for each target and round. The ending of the file's name selects the format, for
// example .svg or .png.
func (c *Comparison) Plot(file string) error {
	figures, err := c.plotFigures()
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	seconds, err := c.plotSeconds()
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	canvas, err := draw.NewFormattedCanvas(chartWidth, chartHeight, chartFormat(file))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	plots := [][]*plot.Plot{{figures}, {seconds}}
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Points(15), PadTop: vg.Points(5), PadBottom: vg.Points(5), PadLeft: vg.Points(5), PadRight: vg.Points(20)}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = canvas.WriteTo(out)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "plot")
}

// chartFormat returns the format that the ending of a file's name selects.
func chartFormat(file string) string {
	return strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
}

// plotFigures returns a bar chart with a group for each figure and a bar for each target.
func (c *Comparison) plotFigures() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "share of the requests; lines show the range of the rounds"
	p.Y.Min, p.Y.Max = 0, 1
	width := groupWidth / vg.Length(len(c.Targets))
	var names []string
	for i := range c.Targets {
		t := &c.Targets[i]
		offset := vg.Length(float64(i)-float64(len(c.Targets)-1)/2) * width
		var values plotter.Values
		var ranges rangeBars
		names = names[:0]
		for n, f := range t.Figures {
			values = append(values, f.Value)
			names = append(names, f.Name)
			ranges.XYs = append(ranges.XYs, plotter.XY{X: float64(n), Y: f.Value})
			below, above := 0.0, 0.0
			for _, v := range f.Rounds {
				below, above = max(below, f.Value-v), max(above, v-f.Value)
			}
			ranges.YErrors = append(ranges.YErrors, struct{ Low, High float64 }{below, above})
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		bars.Color, bars.Offset = plotColors[i%len(plotColors)], offset
		bars.LineStyle.Width = 0
		lines, err := plotter.NewYErrorBars(ranges)
		if err != nil {
			return nil, err
		}
		p.Add(bars, offsetBars{lines, offset})
		p.Legend.Add(t.Name, bars)
	}
	p.NominalX(names...)
	p.Legend.Top = true
	return p, nil
}

// rangeBars are the ranges of the rounds around the values.
type rangeBars struct {
	plotter.XYs
	plotter.YErrors
}

// offsetBars draws error bars above the bars of one target, which are off the position of their group.
type offsetBars struct {
	*plotter.YErrorBars
	offset vg.Length
}

// Plot implements plot.Plotter.
func (b offsetBars) Plot(c draw.Canvas, p *plot.Plot) {
	c.Min.X += b.offset
	c.Max.X += b.offset
	b.YErrorBars.Plot(c, p)
}

// plotSeconds returns the share of responses in time by second of arrival.
func (c *Comparison) plotSeconds() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "responses in time"
	p.X.Label.Text = "arrival, s"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	for i := range c.Targets {
		for _, r := range c.Targets[i].Rounds {
			line, err := plotter.NewLine(r.sharePoints())
			if err != nil {
				return nil, err
			}
			line.Color = plotColors[i%len(plotColors)]
			p.Add(line)
		}
	}
	return p, nil
}

// sharePoints returns the share of responses in time for each second with arrivals.
func (r *Result) sharePoints() plotter.XYs {
	points := plotter.XYs{}
	for second, byEnd := range r.Seconds {
		all := 0
		for _, n := range byEnd {
			all += n
		}
		if all > 0 {
			points = append(points, plotter.XY{X: float64(second), Y: float64(byEnd[InTime.String()]) / float64(all)})
		}
	}
	return points
}
