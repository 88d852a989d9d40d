package capacity

import "math"

// A Point is one measurement: the value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// A Slope is the least-squares line through the points of one measured quantity.
// Residual is the root mean square error, as a share of the largest absolute Y.
type Slope struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Per      string  `json:"per"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// At returns the value of the line at size x.
func (s Slope) At(x float64) float64 { return s.Base + s.Slope*x }

// Fit returns the least-squares line through points, which must have at least two
// different X.
func Fit(name, unit, per string, points []Point) Slope {
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, maxY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		maxY = math.Max(maxY, math.Abs(p.Y))
	}
	s.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Base = (sumY - s.Slope*sumX) / n
	var sumSquares float64
	for _, p := range points {
		sumSquares += math.Pow(p.Y-s.At(p.X), 2)
	}
	if maxY > 0 {
		s.Residual = math.Sqrt(sumSquares/n) / maxY
	}
	return s
}
