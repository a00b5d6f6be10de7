// Package topic generates the demand for the experts of a group, for tests and
// measurements.
//
// Each topic prefers some experts of each layer, with Zipf-like popularity. The
// mixture of topics drifts over the day: each topic has its own peak hour and a
// random walk. When a term starts, the mixture changes abruptly. The demand is
// divided into time windows, with lognormal noise per expert and Poisson noise of
// the counts. Ranks can be slow for a while. The same configuration and seed give
// the same demand.
package topic

import (
	"math"
	"math/rand/v2"
	"time"
)

// Slow is a period in which one rank works at a fraction of its normal speed.
type Slow struct {
	Rank     int
	From, To time.Duration
	Speed    float64
}

// Config describes a demand. Zero fields take the defaults in their comments; Layers,
// Experts and Ranks have no default.
type Config struct {
	Layers, Experts, Ranks int

	Window         time.Duration   // length of a window; default 1 min
	Topics         int             // default 16
	ZipfExponent   float64         // exponent of the popularity of a topic's experts; default 0.8
	TopicShare     float64         // share of the tokens that depends on topics; default 0.7
	DailyAmplitude float64         // amplitude of a topic's logarithmic daily cycle; default 0.8
	WalkDeviation  float64         // standard deviation of a topic's logarithmic random walk; default 0.3
	NoiseDeviation float64         // standard deviation of the logarithmic noise per expert and window; default 0.05
	Tokens         float64         // mean tokens per expert, layer and window; default 4000
	Terms          []time.Duration // times at which terms start, in ascending order
	TermGain       float64         // logarithmic gain of the topics that a term favours; default 1.5
	Slow           []Slow
}

func (c Config) withDefaults() Config {
	if c.Window == 0 {
		c.Window = time.Minute
	}
	if c.Topics == 0 {
		c.Topics = 16
	}
	setDefault(&c.ZipfExponent, 0.8)
	setDefault(&c.TopicShare, 0.7)
	setDefault(&c.DailyAmplitude, 0.8)
	setDefault(&c.WalkDeviation, 0.3)
	setDefault(&c.NoiseDeviation, 0.05)
	setDefault(&c.Tokens, 4000)
	setDefault(&c.TermGain, 1.5)
	return c
}

func setDefault(f *float64, value float64) {
	if *f == 0 {
		*f = value
	}
}

// Window is the demand in one window.
type Window struct {
	At             time.Duration // end of the window since the start of the day
	Counts         []uint32      // tokens by layer and expert
	Share          []float64     // Counts as shares of each layer's tokens
	NoiselessShare []float64     // Share without noise
	Speed          []float64     // per rank, 1 is normal
}

// Generator makes the windows of a demand one after another.
type Generator struct {
	cfg          Config
	rng          *rand.Rand
	preference   [][]float64 // per topic: share by layer and expert
	peak         []float64   // per topic: peak time as a fraction of the day
	walk         []float64   // per topic: logarithm of its random weight
	bias         []float64   // per topic: logarithm of its weight in the current term
	weight       []float64
	termsStarted int // number of terms that have started
	at           time.Duration
	mean         []float64
	window       Window
}

// New returns a generator that draws from rng.
func New(cfg Config, rng *rand.Rand) *Generator {
	cfg = cfg.withDefaults()
	cells := cfg.Layers * cfg.Experts
	g := &Generator{
		cfg:        cfg,
		rng:        rng,
		preference: make([][]float64, cfg.Topics),
		peak:       make([]float64, cfg.Topics),
		walk:       make([]float64, cfg.Topics),
		bias:       make([]float64, cfg.Topics),
		weight:     make([]float64, cfg.Topics),
		mean:       make([]float64, cells),
		window: Window{
			Counts: make([]uint32, cells),
			Share:  make([]float64, cells),
			Speed:  make([]float64, cfg.Ranks),
		},
	}
	for k := range g.preference {
		g.preference[k] = g.drawPreference()
		g.peak[k] = rng.Float64()
		g.walk[k] = cfg.WalkDeviation * rng.NormFloat64()
	}
	return g
}

// drawPreference returns Zipf weights for the experts of each layer, in random order.
func (g *Generator) drawPreference() []float64 {
	zipf := make([]float64, g.cfg.Experts)
	sum := 0.0
	for i := range zipf {
		zipf[i] = math.Pow(float64(i+1), -g.cfg.ZipfExponent)
		sum += zipf[i]
	}
	preference := make([]float64, 0, g.cfg.Layers*g.cfg.Experts)
	for range g.cfg.Layers {
		for _, i := range g.rng.Perm(g.cfg.Experts) {
			preference = append(preference, zipf[i]/sum)
		}
	}
	return preference
}

// Next returns the next window. Its slices are valid until the next call.
func (g *Generator) Next() Window {
	g.at += g.cfg.Window
	g.startTerm()
	g.stepWalks()
	g.mixTopics()
	g.drawCounts()
	g.setSpeeds()
	g.window.At = g.at
	g.window.NoiselessShare = g.mean
	return g.window
}

// startTerm chooses a quarter of the topics to favour when a term starts.
func (g *Generator) startTerm() {
	if g.termsStarted >= len(g.cfg.Terms) || g.at < g.cfg.Terms[g.termsStarted] {
		return
	}
	g.termsStarted++
	clear(g.bias)
	for range max(1, len(g.bias)/4) {
		g.bias[g.rng.IntN(len(g.bias))] = g.cfg.TermGain
	}
}

// stepWalks advances the random walk of each topic. The walk reverts to its mean with
// a time constant of hours.
func (g *Generator) stepWalks() {
	const memory = 2 * time.Hour
	keep := math.Exp(-float64(g.cfg.Window) / float64(memory))
	step := g.cfg.WalkDeviation * math.Sqrt(1-keep*keep)
	for k := range g.walk {
		g.walk[k] = keep*g.walk[k] + step*g.rng.NormFloat64()
	}
}

// mixTopics computes the mean share of each expert at the current time.
func (g *Generator) mixTopics() {
	day := g.at.Hours() / 24
	sum := 0.0
	for k := range g.weight {
		cycle := g.cfg.DailyAmplitude * math.Cos(2*math.Pi*(day-g.peak[k]))
		g.weight[k] = math.Exp(cycle + g.walk[k] + g.bias[k])
		sum += g.weight[k]
	}
	base := (1 - g.cfg.TopicShare) / float64(g.cfg.Experts)
	for i := range g.mean {
		g.mean[i] = base
	}
	for k, preference := range g.preference {
		w := g.cfg.TopicShare * g.weight[k] / sum
		for i, share := range preference {
			g.mean[i] += w * share
		}
	}
}

// drawCounts draws the token counts of the window.
func (g *Generator) drawCounts() {
	n := g.cfg.Experts
	for l := range g.cfg.Layers {
		sum := 0.0
		counts := g.window.Counts[l*n : (l+1)*n]
		for e := range counts {
			count := g.drawCount(g.mean[l*n+e])
			counts[e] = uint32(count)
			sum += count
		}
		for e, count := range counts {
			g.window.Share[l*n+e] = float64(count) / sum
		}
	}
}

// drawCount draws the token count of an expert with the given mean share. As counts
// are large, a normal distribution approximates the Poisson distribution.
func (g *Generator) drawCount(share float64) float64 {
	noise := math.Exp(g.cfg.NoiseDeviation * g.rng.NormFloat64())
	mean := share * noise * g.cfg.Tokens * float64(g.cfg.Experts)
	return max(0, math.Round(mean+math.Sqrt(mean)*g.rng.NormFloat64()))
}

func (g *Generator) setSpeeds() {
	for r := range g.window.Speed {
		g.window.Speed[r] = 1
	}
	for _, s := range g.cfg.Slow {
		if g.at >= s.From && g.at < s.To {
			g.window.Speed[s.Rank] = s.Speed
		}
	}
}
