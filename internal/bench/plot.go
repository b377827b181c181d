package bench

import (
	"image/color"
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/galenabridge/galenabridge/internal/note"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// SavePlots writes the plots of a result as PNG files into dir, which it creates if
// needed.
func (r *Result) SavePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create report folder")
	}
	for name, draw := range map[string]func(*plot.Plot) error{
		"latency.png":  r.drawLatency,
		"share.png":    r.drawShare,
		"replicas.png": r.drawReplicas,
		"refusals.png": r.drawRefusals,
	} {
		p := plot.New()
		if err := draw(p); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name)); err != nil {
			return errors.Wrapf(err, "save %s", name)
		}
	}
	return nil
}

// drawLatency plots the 99th percentile of each class by second.
func (r *Result) drawLatency(p *plot.Plot) error {
	p.Title.Text = r.Profile + ": p99 by class"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "latency (ms)"
	classes := []note.Class{note.ClassInteractive, note.ClassCorrection, note.ClassBulk}
	for i, class := range classes {
		var points plotter.XYs
		for t, sec := range r.Seconds {
			if stats, ok := sec.Classes[class]; ok && stats.Served > 0 {
				points = append(points, plotter.XY{X: float64(t), Y: stats.P99})
			}
		}
		if err := addLine(p, i, string(class), points); err != nil {
			return err
		}
	}
	return nil
}

// addLine adds a line in the i-th color to plot and legend. It adds nothing without
// points.
func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	p.Add(line)
	p.Legend.Add(name, line)
	p.Legend.Top = true
	return nil
}

// drawShare plots the served share of each workspace.
func (r *Result) drawShare(p *plot.Plot) error {
	p.Title.Text = r.Profile + ": served share by workspace"
	p.Y.Min, p.Y.Max = 0, 1
	names := sortedKeys(r.Workspaces)
	values := make(plotter.Values, len(names))
	for i, name := range names {
		values[i] = r.Workspaces[name].Share
	}
	return addBars(p, names, values)
}

// drawReplicas plots the shares of reads that replicas and the primary served.
func (r *Result) drawReplicas(p *plot.Plot) error {
	p.Title.Text = r.Profile + ": reads by server"
	p.Y.Min, p.Y.Max = 0, 1
	return addBars(p, []string{"replicas", "primary"}, plotter.Values{r.ReplicaShare, 1 - r.ReplicaShare})
}

func addBars(p *plot.Plot, names []string, values plotter.Values) error {
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = color.RGBA{R: 70, G: 110, B: 160, A: 255}
	p.Add(bars)
	p.NominalX(names...)
	return nil
}

// drawRefusals plots the failed requests of each second by cause.
func (r *Result) drawRefusals(p *plot.Plot) error {
	p.Title.Text = r.Profile + ": refusals by cause"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "refusals per second"
	causes := make(map[string]int)
	for _, sec := range r.Seconds {
		for cause, n := range sec.Refusals {
			causes[cause] += n
		}
	}
	for i, cause := range sortedKeys(causes) {
		points := make(plotter.XYs, len(r.Seconds))
		for t, sec := range r.Seconds {
			points[t] = plotter.XY{X: float64(t), Y: float64(sec.Refusals[cause])}
		}
		if err := addLine(p, i, cause, points); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
