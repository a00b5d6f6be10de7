package ingress

import (
	"context"
	"math"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectionBytes is the memory that a connection takes up beside its request: its goroutines and buffers.
	connectionBytes = 20 << 10
	// connectionShare is the part of a process's memory that the connections of callers may take up.
	connectionShare = 0.2
	// receiveBuffer is the size of a connection's receive buffer in the system. What a client has sent and nobody has read
	// lies there, and counts as memory of the process on some platforms. All of them together take up little more than
	// the connections themselves.
	receiveBuffer = 24 << 10
	// minConnections and minBytes are what each listener has room for in any case.
	minConnections = 8
	minBytes       = 512 << 10
	// maxOperatorConnections bounds the connections of a listener for operators: there are few of them.
	maxOperatorConnections = 64
	// machineShare is the part of a machine's memory that a process uses which is told of no bound.
	machineShare = 0.5
)

// Resources are what a process has.
type Resources struct {
	Memory      int64 // bytes
	Descriptors int
}

// Fill sets what is 0 to what the process can know by itself: the bound that its runtime was given for memory, or half
// of the machine's memory, and the kernel's limit of descriptors.
func (r Resources) Fill() Resources {
	if r.Memory <= 0 {
		r.Memory = debug.SetMemoryLimit(-1) // only returns the bound
	}
	if r.Memory == math.MaxInt64 {
		r.Memory = int64(machineShare * float64(machineMemory()))
	}
	var limit unix.Rlimit
	if r.Descriptors <= 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		r.Descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	return r
}

// leastMemory is the memory of a machine that does not tell it, in bytes.
const leastMemory = 512 << 20

// machineMemory returns the memory of the machine, in bytes.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return leastMemory
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return leastMemory
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return leastMemory
	}
	return kilobytes << 10
}

// Listen opens a listener whose connections have small receive buffers.
func Listen(at netip.AddrPort) (net.Listener, error) {
	network := "tcp"
	if at.Addr().Is4() {
		network = "tcp4"
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without it, the buffers have the size that the system chooses.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	return config.Listen(context.Background(), network, at.String())
}

// Kind is whom a listener is for.
type Kind uint8

// The kinds of listeners.
const (
	Callers  Kind = iota // callers of services
	Peers                // other processes of the system
	Operator             // checks of readiness, metrics and administration
)

// share is the part of a process's resources that a kind of listener may use. Together they leave a tenth of the
// descriptors for targets, the platform and files.
type share struct {
	descriptors float64
	memory      float64 // for headers and beginnings of bodies
	times       times
}

// times bound how long a client may take.
type times struct {
	head, idle, body, write time.Duration
}

var shares = map[Kind]share{
	Callers:  {0.75, 0.15, times{5 * time.Second, 2 * time.Minute, 30 * time.Second, 2 * time.Minute}},
	Peers:    {0.25, 0.10, times{5 * time.Second, time.Minute, 5 * time.Second, 10 * time.Second}},
	Operator: {1.0 / 32, 0.02, times{5 * time.Second, 2 * time.Minute, 10 * time.Second, 2 * time.Minute}},
}

// Limits returns the limits of a listener in a process with these resources.
func (r Resources) Limits(k Kind) Limits {
	s := shares[k]
	connections := min(s.descriptors*float64(r.Descriptors), connectionShare*float64(r.Memory)/connectionBytes)
	if k == Operator {
		connections = min(connections, maxOperatorConnections)
	}
	return Limits{
		Connections: max(int(connections), minConnections),
		Bytes:       max(int64(s.memory*float64(r.Memory)), minBytes),
		HeadBytes:   func() int { return 0 },
		HeadTime:    func() time.Duration { return s.times.head },
		IdleTime:    func() time.Duration { return s.times.idle },
		BodyTime:    s.times.body,
		WriteTime:   s.times.write,
	}
}
