package plan

import (
	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// noCell marks a change of a single cell.
const noCell = -1

// change is one step of the search: it gives new contents to one or two cells.
type change struct {
	cell  int32
	other int32 // or noCell
	in    uint16
	also  uint16  // new content of other
	loads int32   // loads of this and all earlier changes of the layer
	time  float64 // time of the layer's hottest rank after it
	anew  bool    // part of packing the layer anew
}

// dropPrice is what dropping a replica counts for when candidates are compared.
// It loads nothing, but the replica may be wanted back.
const dropPrice = 0.5

// least is the smallest improvement that counts, so that rounding can't keep
// the search busy.
const least = 1e-9

// search finds changes that cool the hottest ranks of a layer.
type search struct {
	*layer
	work int // candidates that may still be compared

	hot   int
	limit float64 // time of the hottest rank
	best  change
	score float64
	rooms []room
}

// potential weighs a rank's time so that the hottest dominate the sum.
func potential(t float64) float64 {
	t *= t
	t *= t
	return t * t
}

// run appends up to loads loads' worth of changes to dst, and stops when the
// hottest rank is no slower than floor or can't be helped.
func (s *search) run(dst []change, loads int, floor float64) []change {
	total := 0
	for s.work > 0 {
		if !s.next(floor) {
			break
		}
		cost := s.best.cost()
		if total+cost > loads {
			break
		}
		total += cost
		s.apply(s.best)
		_, s.best.time = s.hottest()
		s.best.loads = int32(total)
		dst = append(dst, s.best)
	}
	return dst
}

// cost is the number of loads of the change by itself.
func (c change) cost() int {
	n := 0
	if c.other != noCell && c.also != expertmap.Empty {
		n++
	}
	if c.in != expertmap.Empty {
		n++
	}
	return n
}

func (s *search) apply(c change) {
	if c.other == noCell {
		s.set(int(c.cell), c.in)
		return
	}
	s.set(int(c.cell), expertmap.Empty)
	s.set(int(c.other), c.also)
	s.set(int(c.cell), c.in)
}

// next chooses the best change around the hottest rank.
func (s *search) next(floor float64) bool {
	s.hot, s.limit = s.hottest()
	if s.limit <= floor {
		return false
	}
	s.score = 0
	first := s.hot * s.shape.Slots
	for i, e := range s.row(s.hot) {
		if e == expertmap.Empty {
			continue
		}
		s.tryReplicas(e)
		s.tryExchanges(first+i, e)
		s.tryDrop(first+i, e)
		s.tryLighter(first+i, e)
	}
	if s.score <= least {
		s.tryRelocations()
	}
	return s.score > least
}

// offer keeps the candidate if it wins the most per price.
func (s *search) offer(win, price float64, c change) {
	if score := win / price; score > s.score {
		s.score = score
		s.best = c
	}
}

// tryReplicas considers a further replica of an expert of the hottest rank, on
// each other rank, in place of an expert that has other replicas.
func (s *search) tryReplicas(in uint16) {
	part := s.share[in] / float64(s.count[in]+1)
	less := s.part[in] - part
	relief := s.relief(in, less)
	for r, t := range s.time {
		if t+part*s.inv[r]-s.peak[r] >= s.limit || s.has(r, in) {
			continue
		}
		first := r * s.shape.Slots
		for i, out := range s.row(r) {
			s.tryReplace(first+i, r, out, in, part, less, relief)
		}
	}
}

// relief is the potential won on the present hosts of an expert if each is
// relieved of less.
func (s *search) relief(e uint16, less float64) float64 {
	win := 0.0
	for _, q := range s.hosts[e] {
		t := s.time[q]
		win += potential(t) - potential(t-less*s.inv[q])
	}
	return win
}

// tryReplace considers the expert in for the cell of rank r that holds out.
func (s *search) tryReplace(cell, r int, out, in uint16, part, less, relief float64) {
	s.work--
	after := s.time[r] + part*s.inv[r]
	if out != expertmap.Empty {
		if s.count[out] < 2 || s.held[cell] {
			return
		}
		after -= s.part[out] * s.inv[r]
	}
	win := relief + potential(s.time[r]) - potential(after)
	if after >= s.limit || win <= s.score {
		return
	}
	if out != expertmap.Empty {
		lost, ok := s.burden(out, r, in, less)
		if !ok {
			return
		}
		win -= lost
	}
	s.offer(win, 1, change{cell: int32(cell), other: noCell, in: in})
}

// burden is the potential lost on the other hosts of an expert when rank r
// gives it up, while the hosts of the expert eased are relieved of less. It is
// not ok if one of them would become as slow as the hottest rank is now.
func (s *search) burden(out uint16, r int, eased uint16, less float64) (lost float64, ok bool) {
	more := s.share[out]/float64(s.count[out]-1) - s.part[out]
	for _, q := range s.hosts[out] {
		if int(q) == r {
			continue
		}
		t := s.time[q]
		if eased != expertmap.Empty && s.has(int(q), eased) {
			t -= less * s.inv[q]
		}
		after := t + more*s.inv[q]
		if after >= s.limit {
			return 0, false
		}
		lost += potential(after) - potential(t)
	}
	return lost, true
}

// tryExchanges considers exchanging an expert of the hottest rank with a
// lighter one of another rank.
func (s *search) tryExchanges(cell int, mine uint16) {
	if s.held[cell] {
		return
	}
	hot := potential(s.limit)
	for r, t := range s.time {
		if r == s.hot || s.has(r, mine) {
			continue
		}
		first := r * s.shape.Slots
		for i, theirs := range s.row(r) {
			s.tryExchange(cell, first+i, r, t, hot, mine, theirs)
		}
	}
}

func (s *search) tryExchange(cell, other, r int, t, hot float64, mine, theirs uint16) {
	s.work--
	if theirs == expertmap.Empty || s.held[other] || s.has(s.hot, theirs) {
		return
	}
	d := s.part[mine] - s.part[theirs]
	after := t + d*s.inv[r]
	if d <= 0 || after >= s.limit {
		return
	}
	win := hot - potential(s.limit-d*s.inv[s.hot]) + potential(t) - potential(after)
	s.offer(win, 2, change{cell: int32(cell), other: int32(other), in: theirs, also: mine})
}

// tryDrop considers leaving an expert of the hottest rank to its other hosts.
func (s *search) tryDrop(cell int, out uint16) {
	s.work--
	if s.count[out] < 2 || s.held[cell] {
		return
	}
	lost, ok := s.burden(out, s.hot, expertmap.Empty, 0)
	if !ok {
		return
	}
	after := s.limit - s.part[out]*s.inv[s.hot]
	win := potential(s.limit) - potential(after) - lost
	s.offer(win, dropPrice, change{cell: int32(cell), other: noCell, in: expertmap.Empty})
}

// tryLighter considers a replica of a lighter expert in place of one of the
// hottest rank's experts that has other hosts.
func (s *search) tryLighter(cell int, out uint16) {
	if s.count[out] < 2 || s.held[cell] {
		return
	}
	for e := range s.shape.Experts {
		in := uint16(e)
		part := s.share[in] / float64(s.count[in]+1)
		s.work--
		if part >= s.part[out] || s.has(s.hot, in) {
			continue
		}
		less := s.part[in] - part
		s.tryReplace(cell, s.hot, out, in, part, less, s.relief(in, less))
	}
}
