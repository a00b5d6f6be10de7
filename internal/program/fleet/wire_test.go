package fleet_test

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// meter counts what passes through a UDP socket. Each connection has one dialled
// end, so that counting both directions there counts all of it once.
type meter struct {
	*net.UDPConn
	total *atomic.Int64
}

// packetHeader is an IPv4 and a UDP header, bytes.
const packetHeader = 28

func (m *meter) WriteTo(b []byte, addr net.Addr) (int, error) {
	m.total.Add(int64(len(b)) + packetHeader)
	return m.UDPConn.WriteTo(b, addr)
}

func (m *meter) ReadFrom(b []byte) (int, net.Addr, error) {
	n, addr, err := m.UDPConn.ReadFrom(b)
	m.total.Add(int64(n) + packetHeader)
	return n, addr, err
}

// plain hides all but the methods of a packet connection, so that QUIC uses them.
type plain struct{ net.PacketConn }

// TestMeasureWire measures what idle processes put on the wire, headers included.
func TestMeasureWire(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("MEASURE_WIRE"))
	if err != nil {
		t.Skip("MEASURE_WIRE is not set")
	}
	d := newDeployment(t)
	t.Cleanup(d.close)
	var total atomic.Int64
	d.socket = func(c net.PacketConn) net.PacketConn {
		return plain{&meter{UDPConn: c.(*net.UDPConn), total: &total}}
	}
	for i := range count {
		d.start(i)
	}
	d.apply(40)
	d.assertInForce(1)
	time.Sleep(15 * time.Second)
	begin, seconds := total.Load(), 20.0
	time.Sleep(20 * time.Second)
	sent := float64(total.Load()-begin) / seconds / float64(count)
	t.Logf("%d processes: %.0f B/s sent a process, IP and UDP headers included", count, sent)
	require.Positive(t, sent)
}
