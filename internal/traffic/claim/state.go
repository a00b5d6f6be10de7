package claim

// State is what a dump shows of a shard.
type State struct {
	Shard    int    `json:"shard"`
	Loaded   bool   `json:"loaded"`
	Sequence uint64 `json:"sequence"` // of the segment that is written next
	Version  uint64 `json:"version"`  // of its object
	Claims   int    `json:"claims"`   // in force or not pruned yet
	Waiting  int    `json:"waiting"`  // asks
	Notes    int    `json:"notes"`    // ends and moves that are not written yet
	Memory   int    `json:"memory"`   // granted from memory alone
	Failures int    `json:"failures"` // calls in a row that got no answer
}

// State returns the state of the shard.
func (s *Shard) State() State {
	return State{
		Shard:    s.cfg.Shard,
		Loaded:   s.chain.loaded,
		Sequence: s.chain.head.Sequence,
		Version:  uint64(s.chain.version),
		Claims:   len(s.chain.owners),
		Waiting:  len(s.asks),
		Notes:    len(s.notes),
		Memory:   len(s.memory),
		Failures: s.failures,
	}
}
