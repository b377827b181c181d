package capacity

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot on the page.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes one PNG file per slope into dir, named after the slope. It shows the
// measured points and the fitted line.
func Plot(dir string, m Measurements) error {
	for _, s := range m.Slopes {
		if err := plotSlope(filepath.Join(dir, s.Name+".png"), s); err != nil {
			return errors.Wrap(err, s.Name)
		}
	}
	return nil
}

func plotSlope(path string, s Slope) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Variable
	p.Y.Label.Text = s.Unit
	points := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		points[i] = plotter.XY{X: pt.X, Y: pt.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.Base + s.PerUnit*x })
	p.Add(plotter.NewGrid(), scatter, line)
	return p.Save(plotWidth, plotHeight, path)
}
