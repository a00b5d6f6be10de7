package platform

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxCauses bounds the causes that are told apart; calls of others are counted
// under an empty cause.
const maxCauses = 256

type op string

const (
	opGet    op = "get"
	opPut    op = "put"
	opDelete op = "delete"
	opList   op = "list"
	opWatch  op = "watch"
)

// Calls is the number of calls with one cause and operation, refused ones included.
type Calls struct {
	Cause string `json:"cause"`
	Op    string `json:"op"`
	Count int    `json:"count"`
}

type countKey struct {
	cause string
	op    op
}

type counts struct {
	byCause map[countKey]int
	seconds map[int64]int // calls in each of the last maxSeconds seconds, by Unix time
}

const maxSeconds = 600

func newCounts() counts {
	return counts{byCause: make(map[countKey]int), seconds: make(map[int64]int)}
}

func (c *counts) add(now time.Time, o op, cause string) {
	key := countKey{cause: cause, op: o}
	if _, ok := c.byCause[key]; !ok && len(c.byCause) >= maxCauses {
		key.cause = ""
	}
	c.byCause[key]++
	sec := now.Unix()
	c.seconds[sec]++
	if len(c.seconds) <= maxSeconds {
		return
	}
	maps.DeleteFunc(c.seconds, func(s int64, _ int) bool { return s <= sec-maxSeconds })
}

// window counts the calls of the present second against a rate limit.
type window struct {
	second int64
	used   int
}

func (w *window) over(now time.Time, limit int) bool {
	if limit == 0 {
		return false
	}
	if now.Unix() != w.second {
		*w = window{second: now.Unix()}
	}
	w.used++
	return w.used > limit
}

// count notes a call and returns the faults in force, and whether the call is
// above its rate limit.
func (p *Platform) count(o op, cause string) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.counts.add(now, o, cause)
	if o == opPut || o == opDelete {
		return p.faults, p.writes.over(now, p.faults.WritesPerSec)
	}
	return p.faults, p.reads.over(now, p.faults.ReadsPerSec)
}

// Calls returns the calls since the start, by cause and operation.
func (p *Platform) Calls() []Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Calls, 0, len(p.counts.byCause))
	for key, n := range p.counts.byCause {
		all = append(all, Calls{Cause: key.cause, Op: string(key.op), Count: n})
	}
	slices.SortFunc(all, func(a, b Calls) int {
		return cmp.Or(cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Op, b.Op))
	})
	return all
}

// Total returns the number of calls since the start.
func (p *Platform) Total() int {
	total := 0
	for _, c := range p.Calls() {
		total += c.Count
	}
	return total
}

// Busiest returns the largest number of calls within one second of the last
// ten minutes.
func (p *Platform) Busiest() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, n := range p.counts.seconds {
		most = max(most, n)
	}
	return most
}
