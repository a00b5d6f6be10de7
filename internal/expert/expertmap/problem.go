package expertmap

import (
	"fmt"
	"slices"
)

// ProblemKind is a kind of fault of a map.
type ProblemKind string

// Kinds of faults.
const (
	NoReplica  ProblemKind = "noReplica"  // an expert is on no rank, so its tokens have nowhere to go
	OutOfRange ProblemKind = "outOfRange" // a slot names an expert that the layer doesn't have
	Repeated   ProblemKind = "repeated"   // a rank holds an expert twice in one layer, which has no benefit
)

// maxProblems bounds the number of faults that are reported for one map. A map
// with one fault often has thousands of the same kind.
const maxProblems = 32

// Problem is one fault of a map. Rank is -1 if the fault concerns a whole layer.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	Layer  int         `json:"layer"`
	Rank   int         `json:"rank"`
	Expert uint16      `json:"expert"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: layer %d, rank %d, expert %d", p.Kind, p.Layer, p.Rank, p.Expert)
}

// Problems returns the faults of the map, at most the first 32. A map without faults
// may be activated; any other must not be.
func (m *Map) Problems() []Problem {
	var found []Problem
	for layer := range m.shape.Layers {
		found = append(found, m.checkRows(layer)...)
		found = append(found, m.checkReplicas(layer)...)
		if len(found) >= maxProblems {
			return found[:maxProblems]
		}
	}
	return found
}

// checkRows returns the slots of a layer that are out of range or repeat an expert
// of the same rank.
func (m *Map) checkRows(layer int) []Problem {
	var found []Problem
	for rank := range m.shape.Ranks {
		row := m.Row(layer, rank)
		for slot, e := range row {
			if e == Empty {
				continue
			}
			if int(e) >= m.shape.Experts {
				found = append(found, Problem{OutOfRange, layer, rank, e})
				continue
			}
			if slices.Contains(row[:slot], e) {
				found = append(found, Problem{Repeated, layer, rank, e})
			}
		}
	}
	return found
}

// checkReplicas returns the experts of a layer that no rank holds.
func (m *Map) checkReplicas(layer int) []Problem {
	var found []Problem
	counts := m.Replicas(layer, make([]uint16, m.shape.Experts))
	for e, n := range counts {
		if n == 0 {
			found = append(found, Problem{NoReplica, layer, -1, uint16(e)})
		}
	}
	return found
}
