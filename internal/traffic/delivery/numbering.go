package delivery

import "sync"

const (
	// sparseShare is the share of a service's runs that must have a gap for gaps to be its way of
	// numbering.
	sparseShare = 1.0 / 3
	// assumedRuns is how many runs without a gap a service is assumed to have had.
	assumedRuns = 8
	// maxRuns bounds the runs that are counted, so that newer ones weigh more.
	maxRuns = 256
)

// Numbering tells how the servers of a service number the events of their streams. Numbers that rise by
// one show that an event is missing; where they rise in other steps, as offsets do, they don't. A service
// is taken to number by one until a third of its runs have gaps. It is safe for concurrent use.
type Numbering struct {
	mu         sync.Mutex
	runs, gaps float64
}

// note counts a run, and whether it had a gap. It reports whether gaps are the service's way of numbering.
func (n *Numbering) note(gap bool) (sparse bool) {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runs >= maxRuns {
		n.runs, n.gaps = n.runs/2, n.gaps/2
	}
	n.runs++
	if gap {
		n.gaps++
	}
	return n.gaps > sparseShare*(n.runs+assumedRuns)
}

// Numberings keeps the numbering of each service. The zero value is ready to use.
type Numberings struct {
	mu       sync.Mutex
	services map[string]*Numbering
}

// Of returns the numbering of a service.
func (s *Numberings) Of(service string) *Numbering {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[string]*Numbering)
	}
	n := s.services[service]
	if n == nil {
		n = &Numbering{}
		s.services[service] = n
	}
	return n
}
