package routing

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 0.35 * vg.Centimeter
	// barCeiling is the maximum height of a bar, in seconds. Higher ones would dwarf the others.
	barCeiling = 4.0
)

var barColours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6e, B: 0x4f, A: 0xff},
	color.RGBA{R: 0xb0, G: 0xb0, B: 0xb0, A: 0xff},
	color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0xff},
	color.RGBA{R: 0xd9, G: 0x8e, B: 0x32, A: 0xff},
	color.RGBA{R: 0x8a, G: 0x55, B: 0x2e, A: 0xff},
}

// plotCrewP95 writes an SVG bar chart of the p95 time to first token of the crew class, with one
// group of bars for each event and one bar for each policy.
func plotCrewP95(file, title string, names []string, values map[string][]float64) error {
	pl := plot.New()
	pl.Title.Text = title
	pl.Y.Label.Text = "crew, time to first token, p95 (s), cut at 4 s"
	pl.Legend.Top = true
	for i, name := range names {
		bars, err := plotter.NewBarChart(capValues(values[name]), barWidth)
		if err != nil {
			return errors.Wrap(err, "routing: create bar chart")
		}
		bars.Color = barColours[i%len(barColours)]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(i-len(names)/2)
		pl.Add(bars)
		pl.Legend.Add(name, bars)
	}
	labels := make([]string, 0, len(events))
	for _, ev := range events {
		labels = append(labels, string(ev))
	}
	pl.NominalX(labels...)
	return errors.Wrap(pl.Save(plotWidth, plotHeight, file), "routing: save plot")
}

// capValues caps each value at barCeiling.
func capValues(values []float64) plotter.Values {
	out := make(plotter.Values, 0, len(values))
	for _, v := range values {
		out = append(out, min(v, barCeiling))
	}
	return out
}
