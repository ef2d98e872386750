package experiment

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	boundPlotWidth  = 18 * vg.Centimeter
	boundPlotHeight = 9 * vg.Centimeter
	boundBarWidth   = 18 // points
)

// PlotBounds writes a PNG file with two bars for each scenario, the bound and what was served: the shares of requests
// in their objective, late and failed.
func PlotBounds(file string, scenarios []*BoundScenario) error {
	p := plot.New()
	p.Y.Label.Text = "share of requests, %: bound, served"
	p.Legend.Top = true
	var names []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	parts := []struct {
		name  string
		color color.Color
		of    func(Outcome) float64
	}{
		{"in objective", color.RGBA{R: 60, G: 150, B: 80, A: 255}, func(o Outcome) float64 { return o.InObjective }},
		{"late", color.RGBA{R: 230, G: 180, B: 60, A: 255}, func(o Outcome) float64 { return o.Late }},
		{"failed", color.RGBA{R: 200, G: 70, B: 60, A: 255}, func(o Outcome) float64 { return o.Failed }},
	}
	for side, outcomeOf := range []func(*BoundScenario) Outcome{
		func(s *BoundScenario) Outcome { rows := s.Rows(); return rows[len(rows)-1].Outcome },
		(*BoundScenario).ServedOutcome,
	} {
		var below *plotter.BarChart
		for _, part := range parts {
			var shares plotter.Values
			for _, s := range scenarios {
				o := outcomeOf(s)
				shares = append(shares, 100*part.of(o)/(o.InObjective+o.Late+o.Failed))
			}
			bars, err := plotter.NewBarChart(shares, vg.Points(boundBarWidth))
			if err != nil {
				return errors.Wrap(err, "plot bounds")
			}
			bars.Color, bars.Offset, bars.LineStyle.Width = part.color, vg.Points(boundBarWidth*(float64(side)-0.5)*1.1), 0
			if below != nil {
				bars.StackOn(below)
			}
			below = bars
			p.Add(bars)
			if side == 0 {
				p.Legend.Add(part.name, bars)
			}
		}
	}
	p.NominalX(names...)
	p.Y.Max = 130 // room for the legend
	return errors.Wrapf(p.Save(boundPlotWidth, boundPlotHeight, file), "write %s", file)
}
