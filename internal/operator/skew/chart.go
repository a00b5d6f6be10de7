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

// ratios are the weights of moves over skew that make the curve.
var ratios = []float64{0.01, 0.3, 3, 10, 30, 100, 300, 1000, 3000}

// curve is a set of planners that differ in their weights only.
func curve() []policy {
	var list []policy
	for _, r := range ratios {
		p := policy{name: "planner", kind: planned}
		p.weights.Skew, p.weights.Moves = 1, r
		list = append(list, p)
	}
	return list
}

var (
	curveColor   = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	shippedColor = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	otherColor   = color.RGBA{R: 60, G: 60, B: 60, A: 255}
)

// drawCurve draws skew over loads per hour and saves it as a PNG.
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

// skewTicks marks round numbers. The library's own ticks lie at uneven ones, whose
// labels are rounded and so tell wrong values.
func skewTicks(low, high float64) []plot.Tick {
	const most = 8
	steps := []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5}
	step := steps[len(steps)-1]
	for _, s := range steps {
		if (high-low)/s <= most {
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

// point is where a result lies. A policy without loads is drawn at one per hour,
// as the scale is logarithmic.
func point(r result) plotter.XY {
	return plotter.XY{X: max(1, r.loadsPerHour()), Y: mean(r.skews)}
}

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

// addPoints marks and names the baselines and the shipped settings.
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
		s.Color = otherColor
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
			labels.Offset.Y = vg.Points(-16) // beside it lies the same, relabelled
		}
		p.Add(s, labels)
	}
	return nil
}
