package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y of a quantity at the size X.
type Point struct {
	X, Y float64
}

// Series is a quantity measured at several sizes.
type Series struct {
	ID     string // also the name of the plot file
	Table  string // the page's table that lists it
	Title  string
	XLabel string
	Unit   string
	Points []Point
	// At is the design size, to which the line is extrapolated.
	At float64
	// Limit is the required upper limit in the same unit; zero if the quantity has none.
	Limit float64
	// Mechanism is the part of the code that determines the quantity, and File is its source file.
	Mechanism, File string
}

// Line is the straight line fitted to the points of a series.
type Line struct {
	Intercept, Slope float64
	// Residual is the largest distance of a point from the line, as a share of the largest
	// measured value.
	Residual float64
}

// Fit fits a least-squares line to the points.
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

// MeasuredAtDesignSize returns the value measured at the design size itself, and false if there is none.
func (s *Series) MeasuredAtDesignSize() (float64, bool) {
	for _, p := range s.Points {
		if p.X == s.At {
			return p.Y, true
		}
	}
	return 0, false
}

// AtDesignSize returns the value at the design size: that of the line, or the measured one if it is
// higher, so that a quantity that grows faster than linearly is not understated.
func (s *Series) AtDesignSize() float64 {
	value := Fit(s.Points).At(s.At)
	if measured, ok := s.MeasuredAtDesignSize(); ok {
		return max(value, measured)
	}
	return value
}

// MaxToDesignSize returns the highest value up to the design size, measured or extrapolated.
func (s *Series) MaxToDesignSize() float64 {
	highest := s.AtDesignSize()
	for _, p := range s.Points {
		if p.X <= s.At {
			highest = max(highest, p.Y)
		}
	}
	return highest
}

// Exponent returns the exponent of the power law that fits the points, or false if there is none, as
// with values of zero. A line understates a quantity with an exponent well above one.
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

// LargestSize returns the largest measured size.
func (s *Series) LargestSize() float64 {
	largest := math.Inf(-1)
	for _, p := range s.Points {
		largest = max(largest, p.X)
	}
	return largest
}
