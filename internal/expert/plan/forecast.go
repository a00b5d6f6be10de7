package plan

import (
	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Forecast is what a map does with a demand.
type Forecast struct {
	// Time is what the experts' part of a step takes relative to the ideal: the
	// mean over the layers of the hottest rank's time.
	Time float64 `json:"time"`
	// Skew is the time of each layer's hottest rank, summed over the layers, over
	// the same sum of the mean rank.
	Skew float64 `json:"skew"`
	// Whole is the skew of the ranks' times over all layers together. It is lower
	// than Skew, as ranks that are hot in different layers even out.
	Whole   float64   `json:"whole"`
	Hottest int       `json:"hottest"`  // rank with the longest time over all layers
	Ranks   []float64 `json:"rankTime"` // per rank, mean over the layers, relative to the ideal
}

// Predict computes what a map does with a demand. Shares are per layer and
// expert, speeds per rank.
func Predict(m *expertmap.Map, share, speed []float64) (Forecast, error) {
	s := m.Shape()
	if err := fit(s, share, speed); err != nil {
		return Forecast{}, err
	}
	return predict(newLayer(s, speed), m, share), nil
}

func predict(l *layer, m *expertmap.Map, share []float64) Forecast {
	s := m.Shape()
	f := Forecast{Ranks: make([]float64, s.Ranks)}
	slowest, mean := 0.0, 0.0
	for i := range s.Layers {
		l.load(m.Layer(i), share[i*s.Experts:(i+1)*s.Experts], nil, nil)
		_, t := l.hottest()
		slowest += t
		for r, t := range l.time {
			f.Ranks[r] += t / float64(s.Layers)
			mean += t / float64(s.Ranks)
		}
	}
	f.Time = slowest / float64(s.Layers)
	f.Skew = ratio(slowest, mean)
	for r, t := range f.Ranks {
		if t > f.Ranks[f.Hottest] {
			f.Hottest = r
		}
	}
	f.Whole = ratio(f.Ranks[f.Hottest]*float64(s.Layers), mean)
	return f
}

// ratio is a over b, or 1 if there is no work at all.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// fit checks that shares and speeds belong to the shape and can be computed with.
func fit(s expertmap.Shape, share, speed []float64) error {
	if len(share) != s.Layers*s.Experts {
		return merry.Appendf(ErrInput, "%d shares instead of %d", len(share), s.Layers*s.Experts)
	}
	if len(speed) != s.Ranks {
		return merry.Appendf(ErrInput, "%d speeds instead of %d", len(speed), s.Ranks)
	}
	for i, v := range share {
		if !(v >= 0 && v <= 1) {
			return merry.Appendf(ErrInput, "share %v at %d", v, i)
		}
	}
	for r, v := range speed {
		const slowest, fastest = 1e-3, 1e3
		if !(v >= slowest && v <= fastest) {
			return merry.Appendf(ErrInput, "speed %v of rank %d", v, r)
		}
	}
	return nil
}
