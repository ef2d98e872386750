package capacity

import (
	"image/color"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Draw writes a plot of a series as a PNG file: the points, the fitted line up to the design size or the
// largest measured size, and the line's value at the design size as a larger red ring.
func Draw(folder string, s *Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Title, s.XLabel, s.Unit
	var points plotter.XYs
	for _, point := range s.Points {
		points = append(points, plotter.XY(point))
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.ID)
	}
	line := Fit(s.Points)
	last := max(s.At, s.LargestSize())
	fitted, err := plotter.NewLine(plotter.XYs{{X: 0, Y: line.At(0)}, {X: last, Y: line.At(last)}})
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.ID)
	}
	fitted.Color = color.RGBA{B: 200, A: 255}
	target, err := plotter.NewScatter(plotter.XYs{{X: s.At, Y: line.At(s.At)}})
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.ID)
	}
	target.Shape, target.Color = plotter.DefaultGlyphStyle.Shape, color.RGBA{R: 220, A: 255}
	target.Radius = vg.Points(4)
	p.Add(plotter.NewGrid(), fitted, scatter, target)
	file := filepath.Join(folder, s.ID+".png")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "write %s.png", s.ID)
}
