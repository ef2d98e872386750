package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a quantity at a size.
type Point struct {
	X, Y float64
}

// Series is one quantity at several sizes.
type Series struct {
	ID     string // names the plot
	Table  string // names the table of the page
	Title  string
	XLabel string
	Unit   string
	Points []Point
	// At is the target size, at which the line is read.
	At float64
	// Limit is that of the requirements in the same unit; zero if there is none for the quantity.
	Limit float64
	// Mechanism carries the quantity and lives in File.
	Mechanism, File string
}

// Line is a straight line through the points of a series.
type Line struct {
	Intercept, Slope float64
	// Residual is the largest distance of a point from the line, as a share of the largest
	// measured value.
	Residual float64
}

// Fit returns the least-squares line of the points.
func Fit(points []Point) Line {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	largest := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
		largest = max(largest, math.Abs(p.Y))
	}
	var l Line
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if largest > 0 {
			l.Residual = max(l.Residual, math.Abs(p.Y-l.At(p.X))/largest)
		}
	}
	return l
}

// At returns the value of the line at a size.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Measured returns the value that was measured at the target size itself, if there is one.
func (s *Series) Measured() (float64, bool) {
	for _, p := range s.Points {
		if p.X == s.At {
			return p.Y, true
		}
	}
	return 0, false
}

// Target returns the value at the target size: that of the line, or the measured one if it is
// higher, so that a quantity which grows faster than its line is not understated.
func (s *Series) Target() float64 {
	value := Fit(s.Points).At(s.At)
	if measured, ok := s.Measured(); ok {
		return max(value, measured)
	}
	return value
}

// Worst returns the highest value up to the target size.
func (s *Series) Worst() float64 {
	worst := s.Target()
	for _, p := range s.Points {
		if p.X <= s.At {
			worst = max(worst, p.Y)
		}
	}
	return worst
}

// Exponent returns the power of the size that the quantity grows with, or false if the points do
// not show one. A line understates a quantity with a power well above one.
func (s *Series) Exponent() (float64, bool) {
	var xs, ys []float64
	for _, p := range s.Points {
		if p.X <= 0 || p.Y <= 0 {
			return 0, false
		}
		xs, ys = append(xs, math.Log(p.X)), append(ys, math.Log(p.Y))
	}
	_, exponent := stat.LinearRegression(xs, ys, nil, false)
	return exponent, !math.IsNaN(exponent)
}

// Largest returns the largest measured size.
func (s *Series) Largest() float64 {
	largest := math.Inf(-1)
	for _, p := range s.Points {
		largest = max(largest, p.X)
	}
	return largest
}
