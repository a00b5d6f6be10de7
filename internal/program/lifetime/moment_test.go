package lifetime

import (
	"flag"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	startCount = flag.Int("lifetime.starts", 5, "how many starts of each role get a signal at a random moment")
	startSeed  = flag.Uint64("lifetime.seed", 63001, "the seed of these moments")
)

// startTime is how long after a start a signal is sent at the latest.
const startTime = 30 * time.Millisecond

// Guards against a signal at any moment of a start that ends the process as if it had failed. What comes before the
// program's first instruction is the system's, and is only counted.
func TestSignalAtARandomMoment(t *testing.T) {
	draws := rand.New(rand.NewPCG(*startSeed, 1))
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		for _, r := range roles(t) {
			t.Run(r.name+" "+s.String(), func(t *testing.T) {
				before, failed := 0, 0
				var latest time.Duration
				for range *startCount {
					moment := time.Duration(draws.Int64N(int64(startTime)))
					p := r.start(t)
					time.Sleep(moment)
					handled := p.Handles(s)
					p.Signal(s)
					if s == syscall.SIGHUP {
						p.Await(startTime)
						p.Signal(syscall.SIGTERM)
					}
					require.True(t, p.Await(limit))
					switch {
					case p.EndedByItself() == "":
					case !handled:
						before++
					default:
						failed++
						latest = max(latest, moment)
						t.Logf("at %s: %s", moment, p.End())
					}
				}
				t.Logf("of %d starts, %d were ended before the first instruction, and %d after it, up to %s", *startCount, before, failed, latest)
				require.Zero(t, failed)
			})
		}
	}
}
