package platform

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxCauses bounds the causes that are counted separately; calls with further causes
// are counted under an empty cause.
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

type callCounts struct {
	byCause   map[countKey]int
	perSecond map[int64]int // calls in each of the last maxSeconds seconds, by Unix time
}

const maxSeconds = 600

func newCallCounts() callCounts {
	return callCounts{byCause: make(map[countKey]int), perSecond: make(map[int64]int)}
}

func (c *callCounts) add(now time.Time, o op, cause string) {
	key := countKey{cause: cause, op: o}
	if _, ok := c.byCause[key]; !ok && len(c.byCause) >= maxCauses {
		key.cause = ""
	}
	c.byCause[key]++
	sec := now.Unix()
	c.perSecond[sec]++
	if len(c.perSecond) <= maxSeconds {
		return
	}
	maps.DeleteFunc(c.perSecond, func(s int64, _ int) bool { return s <= sec-maxSeconds })
}

// rateWindow counts the calls of the current second, for a rate limit.
type rateWindow struct {
	second int64
	used   int
}

// overLimit counts a call and reports whether it is above the limit; 0 for no limit.
func (w *rateWindow) overLimit(now time.Time, limit int) bool {
	if limit == 0 {
		return false
	}
	if now.Unix() != w.second {
		*w = rateWindow{second: now.Unix()}
	}
	w.used++
	return w.used > limit
}

// countCall counts a call. It returns the current faults, and whether the call is
// above its rate limit.
func (p *Platform) countCall(o op, cause string) (Faults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	p.counts.add(now, o, cause)
	if o == opPut || o == opDelete {
		return p.faults, p.writes.overLimit(now, p.faults.WritesPerSec)
	}
	return p.faults, p.reads.overLimit(now, p.faults.ReadsPerSec)
}

// Calls returns the numbers of calls since the start, by cause and operation.
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

// PeakRate returns the largest number of calls in one second during the last ten
// minutes.
func (p *Platform) PeakRate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, n := range p.counts.perSecond {
		most = max(most, n)
	}
	return most
}
