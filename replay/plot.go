//nolint:misspell // The plot library uses American spelling.
package replay

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 16 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter / 2
)

// barColours are the colours of the bars, in the order of schedulerNames.
var barColours = []color.Color{
	color.RGBA{R: 0x2a, G: 0x7f, B: 0x62, A: 0xff}, color.RGBA{R: 0xc8, G: 0x8a, B: 0x2b, A: 0xff}, color.RGBA{R: 0x5b, G: 0x6c, B: 0x9d, A: 0xff},
}

// plotComparison writes four bar charts, one for each compared figure, to one SVG file.
func plotComparison(comparisons []comparison, file string) error {
	charts := []struct {
		title  string
		metric func(Result) float64
	}{
		{"mean completion, hours", func(r Result) float64 { return r.MeanCompletion / hour }},
		{"fragmentation", func(r Result) float64 { return r.Fragmentation }},
		{"work while a data centre is out of service, share of possible", func(r Result) float64 { return r.DepartureWork }},
		{"wait of large gangs p99, hours", func(r Result) float64 { return r.LargeWaitP99 / hour }},
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 2, PadX: vg.Centimeter, PadY: vg.Centimeter}
	drawing := draw.New(canvas)
	for i, ch := range charts {
		p, err := barChart(comparisons, ch.title, ch.metric)
		if err != nil {
			return fmt.Errorf("chart %s: %w", ch.title, err)
		}
		p.Draw(tiles.At(drawing, i%2, i/2))
	}
	return writeFile(file, canvas)
}

// barChart returns a chart of the mean of a metric by size, with one bar for each scheduler.
func barChart(comparisons []comparison, title string, metric func(Result) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for _, c := range comparisons {
		names = append(names, c.size)
	}
	for i, name := range schedulerNames {
		var vs plotter.Values
		for _, c := range comparisons {
			var xs []float64
			for _, rs := range c.results {
				if v := metric(rs[i]); v > 0 {
					xs = append(xs, v)
				}
			}
			vs = append(vs, mean(xs))
		}
		bars, err := plotter.NewBarChart(vs, barWidth)
		if err != nil {
			return nil, fmt.Errorf("bars of %s: %w", name, err)
		}
		bars.Offset = vg.Length(i-1) * barWidth
		bars.Color = barColours[i]
		bars.LineStyle.Width = 0
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(names...)
	return p, nil
}

// writeFile writes the canvas as SVG to a file.
func writeFile(file string, canvas *vgsvg.Canvas) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	defer func() {
		if e := f.Close(); e != nil && err == nil {
			err = fmt.Errorf("close: %w", e)
		}
	}()
	if _, err := canvas.WriteTo(f); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
