package plan

import (
	"github.com/ansel1/merry/v2"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// Forecast is the predicted effect of a map on the time of a step, for one demand.
type Forecast struct {
	// Time is the time that a step spends in the experts, relative to the ideal: the
	// mean over the layers of the hottest rank's time.
	Time float64 `json:"time"`
	// Skew is the time of the hottest rank of each layer, summed over the layers,
	// divided by the same sum of the ranks' mean times.
	Skew float64 `json:"skew"`
	// TotalSkew is the skew of the ranks' times summed over all layers. It is lower than
	// Skew when different ranks are the hottest in different layers.
	TotalSkew float64   `json:"whole"`
	Hottest   int       `json:"hottest"`  // rank with the longest time summed over all layers
	Ranks     []float64 `json:"rankTime"` // per rank, mean over the layers, relative to the ideal
}

// Predict computes the forecast of a map for a demand. Shares are indexed by layer
// and expert, speeds by rank.
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
		l.reset(m.Layer(i), share[i*s.Experts:(i+1)*s.Experts], nil, nil)
		_, t := l.hottest()
		slowest += t
		for r, t := range l.rankTime {
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
	f.TotalSkew = ratio(f.Ranks[f.Hottest]*float64(s.Layers), mean)
	return f
}

// ratio returns a divided by b, or 1 if b is 0, which means that there is no work.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// fit checks that the shares and speeds have the lengths that the shape requires, and
// values in range.
func fit(s expertmap.Shape, share, speed []float64) error {
	if len(share) != s.Layers*s.Experts {
		return merry.Appendf(ErrInput, "%d shares instead of %d", len(share), s.Layers*s.Experts)
	}
	if len(speed) != s.Ranks {
		return merry.Appendf(ErrInput, "%d speeds instead of %d", len(speed), s.Ranks)
	}
	for i, v := range share {
		if !(v >= 0 && v <= 1) {
			return merry.Appendf(ErrInput, "share %v at index %d is out of range", v, i)
		}
	}
	for r, v := range speed {
		const slowest, fastest = 1e-3, 1e3
		if !(v >= slowest && v <= fastest) {
			return merry.Appendf(ErrInput, "speed %v of rank %d is out of range", v, r)
		}
	}
	return nil
}
