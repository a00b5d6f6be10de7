package claim

// State is the state of a shard for a dump.
type State struct {
	Shard     int    `json:"shard"`
	Loaded    bool   `json:"loaded"`
	Sequence  uint64 `json:"sequence"` // of the segment that the next write goes to
	Version   uint64 `json:"version"`  // of the object of that segment
	Claims    int    `json:"claims"`   // active, or expired and not pruned yet
	Waiting   int    `json:"waiting"`  // claims that wait for the platform
	Unwritten int    `json:"notes"`    // releases and moves that are not written yet
	Memory    int    `json:"memory"`   // claims granted from memory alone and not recorded yet
	Failures  int    `json:"failures"` // consecutive platform calls that were unanswered or refused
}

// State returns the current state of the shard.
func (s *Shard) State() State {
	return State{
		Shard:     s.cfg.Shard,
		Loaded:    s.chain.loaded,
		Sequence:  s.chain.head.Sequence,
		Version:   uint64(s.chain.version),
		Claims:    len(s.chain.owners),
		Waiting:   len(s.pending),
		Unwritten: len(s.unwritten),
		Memory:    len(s.memory),
		Failures:  s.failures,
	}
}
