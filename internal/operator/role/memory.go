package role

import "runtime/debug"

const (
	// memoryShare is the greatest share of the process's memory that is set as the memory limit of the Go
	// runtime, and leastMemoryShare the least. The rest is for memory that the runtime does not count: socket
	// buffers, and what is garbage until a collection has ended.
	memoryShare      = 0.7
	leastMemoryShare = 0.4
	// programBytes is what the runtime does not count in any process: the program itself and the stacks of the
	// C library.
	programBytes = 45 << 20
)

// limitMemory sets the limit of the Go runtime in a process that has some bytes of memory.
func limitMemory(total int64) {
	debug.SetMemoryLimit(max(min(shareOf(memoryShare, total), total-programBytes), shareOf(leastMemoryShare, total)))
}

func shareOf(share float64, total int64) int64 { return int64(share * float64(total)) }
