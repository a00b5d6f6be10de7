package skew

import (
	"image/color"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// ratios are the ratios of the weight of moves to that of skew, one for each point of
// the curve.
var ratios = []float64{0.01, 0.3, 3, 10, 30, 100, 300, 1000, 3000}

// curvePolicies returns planners that differ only in their weights.
func curvePolicies() []policy {
	var list []policy
	for _, r := range ratios {
		p := policy{name: "planner", kind: planned}
		p.weights.Skew, p.weights.Moves = 1, r
		list = append(list, p)
	}
	return list
}

var (
	curveColor    = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	shippedColor  = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	baselineColor = color.RGBA{R: 60, G: 60, B: 60, A: 255}
)

// drawCurve plots skew against loads per hour and saves the plot as a PNG.
func drawCurve(path, title string, list []result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "experts loaded per hour"
	p.Y.Label.Text = "mean skew (hottest rank over mean rank)"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{}
	p.Y.Tick.Marker = plot.TickerFunc(skewTicks)
	p.Add(plotter.NewGrid())
	if err := addCurve(p, list); err != nil {
		return err
	}
	if err := addPoints(p, list); err != nil {
		return err
	}
	const width, height = 8 * vg.Inch, 5 * vg.Inch
	return p.Save(width, height, path)
}

// skewTicks returns ticks at round numbers. The library's own ticks lie at other numbers,
// whose labels are rounded and so show wrong values.
func skewTicks(low, high float64) []plot.Tick {
	const maxTicks = 8
	steps := []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5}
	step := steps[len(steps)-1]
	for _, s := range steps {
		if (high-low)/s <= maxTicks {
			step = s
			break
		}
	}
	var ticks []plot.Tick
	for i := math.Ceil(low / step); i*step <= high; i++ {
		ticks = append(ticks, plot.Tick{Value: i * step, Label: strconv.FormatFloat(i*step, 'f', 2, 64)})
	}
	return ticks
}

// point returns the position of a result in the plot. A policy without loads is drawn at
// one load per hour, since the scale is logarithmic.
func point(r result) plotter.XY {
	return plotter.XY{X: max(1, r.loadsPerHour()), Y: mean(r.skews)}
}

// addCurve draws the results of the planners as a line, ordered by their loads.
func addCurve(p *plot.Plot, list []result) error {
	var line plotter.XYs
	for _, r := range list {
		if r.kind == planned {
			line = append(line, point(r))
		}
	}
	slices.SortFunc(line, func(a, b plotter.XY) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	l, s, err := plotter.NewLinePoints(line)
	if err != nil {
		return err
	}
	l.Color, s.Color = curveColor, curveColor
	s.Shape = draw.CircleGlyph{}
	p.Add(l, s)
	return nil
}

// addPoints draws and labels the baselines and the shipped settings.
func addPoints(p *plot.Plot, list []result) error {
	for _, r := range list {
		if r.kind == planned && !r.shipped {
			continue
		}
		at := plotter.XYs{point(r)}
		s, err := plotter.NewScatter(at)
		if err != nil {
			return err
		}
		s.Shape = draw.BoxGlyph{}
		s.Radius = vg.Points(4)
		s.Color = baselineColor
		if r.shipped {
			s.Color = shippedColor
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: at, Labels: []string{r.label()}})
		if err != nil {
			return err
		}
		labels.Offset = vg.Point{Y: vg.Points(8)}
		if r.kind != never {
			labels.TextStyle[0].XAlign = draw.XRight
		}
		if r.kind == resolve {
			labels.Offset.Y = vg.Points(-16) // below the point, since the point of the baseline relabel lies next to it
		}
		p.Add(s, labels)
	}
	return nil
}
