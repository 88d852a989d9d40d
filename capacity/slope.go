package capacity

import "math"

// A Point is one measurement: what Y was at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// A Slope is the straight line through the points of one measurement, by least
// squares. Residual is the root of the mean square distance, as a share of the
// largest Y.
type Slope struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Per      string  `json:"per"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// At returns the value that s gives for size x.
func (s Slope) At(x float64) float64 { return s.Base + s.Slope*x }

// Fit returns the slope through points.
func Fit(name, unit, per string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, most float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		most = math.Max(most, math.Abs(p.Y))
	}
	s.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Base = (sumY - s.Slope*sumX) / n
	var squares float64
	for _, p := range points {
		squares += math.Pow(p.Y-s.At(p.X), 2)
	}
	if most > 0 {
		s.Residual = math.Sqrt(squares/n) / most
	}
	return s
}
