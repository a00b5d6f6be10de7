// Package topic generates the expert demand of a group for tests and
// measurements.
//
// Each topic prefers some experts of each layer, with Zipf-like popularity. The
// mixture of topics drifts through the day, each topic with its own peak hour
// and a random walk; it changes at once when a term starts. Windows carry
// lognormal noise per expert and Poisson noise of the counts, and ranks can be
// slow for a while. The same configuration and seed give the same demand.
package topic

import (
	"math"
	"math/rand/v2"
	"time"
)

// Slow is a time in which one rank works at a fraction of its normal speed.
type Slow struct {
	Rank     int
	From, To time.Duration
	Speed    float64
}

// Config describes a demand. Zero values of the shape of the demand take the
// defaults given with them.
type Config struct {
	Layers, Experts, Ranks int

	Window   time.Duration   // length of a window; default 1 min
	Topics   int             // default 16
	Exponent float64         // Zipf exponent of a topic's experts; default 0.8
	Topical  float64         // part of the tokens that depends on topics; default 0.7
	Daily    float64         // amplitude of a topic's logarithmic daily cycle; default 0.8
	Wander   float64         // deviation of a topic's logarithmic random walk; default 0.3
	Noise    float64         // deviation of the logarithmic noise per expert and window; default 0.05
	Tokens   float64         // mean tokens per expert, layer and window; default 4000
	Terms    []time.Duration // times of sharp shifts, rising
	Surge    float64         // logarithmic gain of the topics that a term start favours; default 1.5
	Slow     []Slow
}

func (c Config) withDefaults() Config {
	if c.Window == 0 {
		c.Window = time.Minute
	}
	if c.Topics == 0 {
		c.Topics = 16
	}
	setFloat(&c.Exponent, 0.8)
	setFloat(&c.Topical, 0.7)
	setFloat(&c.Daily, 0.8)
	setFloat(&c.Wander, 0.3)
	setFloat(&c.Noise, 0.05)
	setFloat(&c.Tokens, 4000)
	setFloat(&c.Surge, 1.5)
	return c
}

func setFloat(f *float64, value float64) {
	if *f == 0 {
		*f = value
	}
}

// Window is the demand in one window.
type Window struct {
	At             time.Duration // end of the window since the start of the day
	Counts         []uint32      // tokens per layer and expert
	Share          []float64     // Counts as parts of each layer's tokens
	NoiselessShare []float64     // Share without the noise of the window
	Speed          []float64     // per rank, 1 is normal
}

// Generator makes the windows of a demand one after another.
type Generator struct {
	cfg    Config
	rng    *rand.Rand
	taste  [][]float64 // per topic: share per layer and expert
	phase  []float64   // per topic: peak as a part of the day
	walk   []float64   // per topic: logarithm of its random weight
	bias   []float64   // per topic: logarithm of its weight in the present term
	weight []float64
	terms  int // term starts passed
	at     time.Duration
	mean   []float64
	window Window
}

// New returns a generator that draws from rng.
func New(cfg Config, rng *rand.Rand) *Generator {
	cfg = cfg.withDefaults()
	cells := cfg.Layers * cfg.Experts
	g := &Generator{
		cfg:    cfg,
		rng:    rng,
		taste:  make([][]float64, cfg.Topics),
		phase:  make([]float64, cfg.Topics),
		walk:   make([]float64, cfg.Topics),
		bias:   make([]float64, cfg.Topics),
		weight: make([]float64, cfg.Topics),
		mean:   make([]float64, cells),
		window: Window{
			Counts: make([]uint32, cells),
			Share:  make([]float64, cells),
			Speed:  make([]float64, cfg.Ranks),
		},
	}
	for k := range g.taste {
		g.taste[k] = g.drawTaste()
		g.phase[k] = rng.Float64()
		g.walk[k] = cfg.Wander * rng.NormFloat64()
	}
	return g
}

// drawTaste gives the experts of each layer Zipf weights in random order.
func (g *Generator) drawTaste() []float64 {
	zipf := make([]float64, g.cfg.Experts)
	sum := 0.0
	for i := range zipf {
		zipf[i] = math.Pow(float64(i+1), -g.cfg.Exponent)
		sum += zipf[i]
	}
	taste := make([]float64, 0, g.cfg.Layers*g.cfg.Experts)
	for range g.cfg.Layers {
		for _, i := range g.rng.Perm(g.cfg.Experts) {
			taste = append(taste, zipf[i]/sum)
		}
	}
	return taste
}

// Next returns the next window. Its slices are valid until the next call.
func (g *Generator) Next() Window {
	g.at += g.cfg.Window
	g.startTerm()
	g.wander()
	g.mix()
	g.count()
	g.setSpeeds()
	g.window.At = g.at
	g.window.NoiselessShare = g.mean
	return g.window
}

// startTerm favours a quarter of the topics anew when a term starts.
func (g *Generator) startTerm() {
	if g.terms >= len(g.cfg.Terms) || g.at < g.cfg.Terms[g.terms] {
		return
	}
	g.terms++
	clear(g.bias)
	for range max(1, len(g.bias)/4) {
		g.bias[g.rng.IntN(len(g.bias))] = g.cfg.Surge
	}
}

// wander moves each topic's random weight, which forgets its past in hours.
func (g *Generator) wander() {
	const memory = 2 * time.Hour
	keep := math.Exp(-float64(g.cfg.Window) / float64(memory))
	step := g.cfg.Wander * math.Sqrt(1-keep*keep)
	for k := range g.walk {
		g.walk[k] = keep*g.walk[k] + step*g.rng.NormFloat64()
	}
}

// mix computes the mean share of each expert at the present time.
func (g *Generator) mix() {
	day := g.at.Hours() / 24
	sum := 0.0
	for k := range g.weight {
		cycle := g.cfg.Daily * math.Cos(2*math.Pi*(day-g.phase[k]))
		g.weight[k] = math.Exp(cycle + g.walk[k] + g.bias[k])
		sum += g.weight[k]
	}
	base := (1 - g.cfg.Topical) / float64(g.cfg.Experts)
	for i := range g.mean {
		g.mean[i] = base
	}
	for k, taste := range g.taste {
		w := g.cfg.Topical * g.weight[k] / sum
		for i, share := range taste {
			g.mean[i] += w * share
		}
	}
}

// count draws the tokens of the window.
func (g *Generator) count() {
	n := g.cfg.Experts
	for l := range g.cfg.Layers {
		sum := 0.0
		counts := g.window.Counts[l*n : (l+1)*n]
		for e := range counts {
			c := g.draw(g.mean[l*n+e])
			counts[e] = uint32(c)
			sum += c
		}
		for e, c := range counts {
			g.window.Share[l*n+e] = float64(c) / sum
		}
	}
}

// draw returns the tokens of an expert with a mean share. The normal
// distribution stands for the Poisson distribution, as counts are large.
func (g *Generator) draw(share float64) float64 {
	noise := math.Exp(g.cfg.Noise * g.rng.NormFloat64())
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
