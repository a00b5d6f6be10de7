package plan

import (
	"cmp"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/expert/expertmap"
)

// maxRooms bounds the cells that relocations consider as destinations.
const maxRooms = 24

// room is a cell that can be had: it is empty, or its expert has other hosts
// that can take over.
type room struct {
	cell int
	rank int
	out  uint16
	rest float64 // time of the rank without the cell's expert
	lost float64 // potential lost on the other hosts of the expert
}

// tryRelocations considers changes in which an expert makes way into a room. With
// few slots per rank single changes get stuck: the rank with a replica to spare
// is too busy to take the hot expert, and the rank that could take it has
// nothing to spare.
func (s *search) tryRelocations() {
	s.findRooms()
	first := s.hot * s.shape.Slots
	for i, e := range s.row(s.hot) {
		if e == expertmap.Empty {
			continue
		}
		s.tryMove(first+i, e)
		s.tryMakeWay(e)
		s.trySpread(e)
	}
}

// findRooms lists the rooms on ranks that would be the least busy.
func (s *search) findRooms() {
	s.rooms = s.rooms[:0]
	for cell, out := range s.cells {
		s.work--
		r := cell / s.shape.Slots
		if r == s.hot {
			continue
		}
		s.addRoom(room{cell: cell, rank: r, out: out, rest: s.time[r]})
	}
	slices.SortFunc(s.rooms, func(a, b room) int {
		return cmp.Or(cmp.Compare(a.rest, b.rest), cmp.Compare(a.cell, b.cell))
	})
	s.rooms = s.rooms[:min(len(s.rooms), maxRooms)]
}

func (s *search) addRoom(m room) {
	if m.out != expertmap.Empty {
		if s.count[m.out] < 2 || s.held[m.cell] {
			return
		}
		lost, ok := s.burden(m.out, m.rank, expertmap.Empty, 0)
		if !ok {
			return
		}
		m.lost = lost
		m.rest -= s.part[m.out] * s.inv[m.rank]
	}
	s.rooms = append(s.rooms, m)
}

// tryMove considers moving an expert of the hottest rank into a room and leaving
// its cell empty.
func (s *search) tryMove(cell int, mine uint16) {
	if s.held[cell] {
		return
	}
	relief := potential(s.limit) - potential(s.limit-s.part[mine]*s.inv[s.hot])
	for _, m := range s.rooms {
		s.work--
		after := m.rest + s.part[mine]*s.inv[m.rank]
		if after >= s.limit || s.has(m.rank, mine) || s.clash(m, s.hot) {
			continue
		}
		win := relief + potential(s.time[m.rank]) - potential(after) - m.lost
		s.offer(win, 1, change{cell: int32(cell), other: int32(m.cell), in: expertmap.Empty, also: mine})
	}
}

// clash tells whether a rank is among those that take over when the room's
// expert leaves it.
func (s *search) clash(m room, rank int) bool {
	return m.out != expertmap.Empty && s.has(rank, m.out)
}

// tryMakeWay considers a further replica of an expert of the hottest rank, in a
// cell whose expert moves into a room.
func (s *search) tryMakeWay(in uint16) {
	part := s.share[in] / float64(s.count[in]+1)
	relief := s.relief(in, s.part[in]-part)
	for cell, moved := range s.cells {
		r := cell / s.shape.Slots
		if moved == expertmap.Empty || s.held[cell] || s.has(r, in) {
			continue
		}
		after := s.time[r] + (part-s.part[moved])*s.inv[r]
		if after >= s.limit {
			continue
		}
		win := relief + potential(s.time[r]) - potential(after)
		s.tryRooms(cell, r, moved, in, win)
	}
}

func (s *search) tryRooms(cell, r int, moved, in uint16, win float64) {
	for _, m := range s.rooms {
		s.work--
		if m.rank == r || m.out == in || m.out == moved || s.has(m.rank, moved) || s.clash(m, r) {
			continue
		}
		after := m.rest + s.part[moved]*s.inv[m.rank]
		if after >= s.limit {
			// The rooms are in the order of their rest, which on ranks of like
			// speed is that of the time after.
			return
		}
		total := win + potential(s.time[m.rank]) - potential(after) - m.lost
		s.offer(total, 2, change{cell: int32(cell), other: int32(m.cell), in: in, also: moved})
	}
}

// trySpread considers a further replica of an expert of the hottest rank in one
// room, together with a further replica, in another room, of an expert that the
// first room's rank keeps: that rank takes on one and is relieved of the other.
func (s *search) trySpread(in uint16) {
	part := s.share[in] / float64(s.count[in]+1)
	relief := s.relief(in, s.part[in]-part)
	for _, m := range s.rooms {
		if m.out == in || s.has(m.rank, in) {
			continue
		}
		for i, kept := range s.row(m.rank) {
			if m.cell != m.rank*s.shape.Slots+i && kept != expertmap.Empty {
				s.trySecond(m, in, kept, m.rest+part*s.inv[m.rank], relief-m.lost)
			}
		}
	}
}

// trySecond looks for the room of the second replica. The first room's rank
// takes busy with the expert in and before it is relieved of kept.
func (s *search) trySecond(first room, in, kept uint16, busy, win float64) {
	part := s.share[kept] / float64(s.count[kept]+1)
	less := s.part[kept] - part
	after := busy - less*s.inv[first.rank]
	if after >= s.limit {
		return
	}
	win += potential(s.time[first.rank]) - potential(after)
	for _, m := range s.rooms {
		s.work--
		if m.rank == first.rank || m.out == in || m.out == kept || s.has(m.rank, kept) {
			continue
		}
		same := m.out != expertmap.Empty && m.out == first.out
		if same || s.clash(m, first.rank) || s.clash(first, m.rank) {
			continue
		}
		then := m.rest + part*s.inv[m.rank]
		if then >= s.limit {
			return
		}
		total := win + potential(s.time[m.rank]) - potential(then) - m.lost
		s.offer(total, 2, change{cell: int32(first.cell), other: int32(m.cell), in: in, also: kept})
	}
}
