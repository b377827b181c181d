package capacity

import (
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the cost at one value of the variable.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is the cost of one more unit, fitted to measured points.
type Slope struct {
	// Name identifies the slope in the model and in the file of measurements.
	Name string `json:"name"`
	// Variable and Unit label the axes, such as "subscribers" and "CPU s/s".
	Variable string `json:"variable"`
	Unit     string `json:"unit"`
	// PerUnit is the cost of one unit of the variable, Base the cost at zero.
	PerUnit float64 `json:"per_unit"`
	Base    float64 `json:"base"`
	// R2 is the coefficient of determination of the fit.
	R2     float64 `json:"r2"`
	Points []Point `json:"points"`
}

// Fit returns the line through the points by linear least squares.
func Fit(name, variable, unit string, points []Point) Slope {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	base, perUnit := stat.LinearRegression(xs, ys, nil, false)
	return Slope{
		Name: name, Variable: variable, Unit: unit,
		PerUnit: perUnit, Base: base,
		R2:     stat.RSquared(xs, ys, nil, base, perUnit),
		Points: points,
	}
}

// Measurements are the slopes of one run with the machine, date and command that
// produced them.
type Measurements struct {
	Machine string  `json:"machine"`
	Date    string  `json:"date"`
	Command string  `json:"command"`
	Slopes  []Slope `json:"slopes"`
}

// Get returns the slope with the given name and whether it was measured.
func (m Measurements) Get(name string) (Slope, bool) {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s, true
		}
	}
	return Slope{}, false
}
