package acceptance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// A switch with a quarter of a data centre fails: its hosts may still hear each
// other. Too few of each one's neighbours are among them, so they lose contact
// one after the other, and the change is accepted without them.
func TestRackIsCutOff(t *testing.T) {
	w := ready(t, 60, 3)
	rack := make(map[*node]bool)
	for _, n := range w.nodes {
		if n.id.DataCentre == "dc1" && len(rack) < 5 && n != w.holder() && n != w.nodes[30] {
			rack[n] = true
			n.cutOff = true
		}
	}
	cutOff(w, func(n *node) bool { return rack[n] })
	w.apply("agenda", "second")
	w.until(acceptBound, func() bool { return len(w.accepted["agenda"]) == 2 })
	w.run(bound)
	for n := range rack {
		assertWork(t, w, false, n)
	}
	w.cut = nil
	for n := range rack {
		n.cutOff = false
	}
	assertInForce(t, w, 2, acceptBound)
	w.run(5 * time.Second)
	assertWork(t, w, true, w.nodes...)
}

// A region is cut off from the others and from the platform before it was
// offered the text. Its hosts hear each other and go on, with the document in
// force; so nothing is accepted, and it is reported who is waited for.
func TestRegionIsCutOffDuringStaging(t *testing.T) {
	w := ready(t, 36, 6)
	far := inRegion("region1")
	require.False(t, far(w.holder()))
	cutOff(w, far)
	for _, n := range w.nodes {
		n.cutOff = far(n)
	}
	w.apply("agenda", "second")
	w.run(30 * time.Second)
	assert.Len(t, w.accepted["agenda"], 1)
	assert.Len(t, w.lastNote["agenda"], 18)
	assertWork(t, w, true, w.nodes...)
	w.cut = nil
	assertInForce(t, w, 2, acceptBound)
}

// A region holds the text and is cut off before it hears that it was accepted.
// If its hosts went on, they would run an older document than the rest. They
// take no new work until the platform, which they reach, tells the outcome.
func TestRegionIsCutOffBeforeAcceptance(t *testing.T) {
	w := ready(t, 36, 6)
	far := inRegion("region1")
	w.platform.slow = func(c object.Call) time.Duration {
		if c.Cause == CauseAccept && c.Op == object.Put {
			return 300 * time.Millisecond
		}
		return 0
	}
	w.apply("agenda", "second")
	w.until(3*time.Second, phaseIs(w, accepting))
	cutOff(w, far)
	for _, n := range w.nodes {
		n.cutOff = far(n)
	}
	w.run(bound)
	var cut []*node
	for _, n := range w.nodes {
		if far(n) {
			cut = append(cut, n)
		}
	}
	assertWork(t, w, false, cut...)
	for _, n := range cut {
		n.cutOff = false
	}
	assertInForce(t, w, 2, 3*time.Second)
	w.run(2 * time.Second)
	assertWork(t, w, true, cut...)
}

// The platform is out for long, from the middle of a change on, so that nobody can
// read whether the change was recorded. All go on, and nothing more is accepted.
// When it returns, what was decided is recorded, and the fleet does not fall upon it.
func TestPlatformIsOutForLong(t *testing.T) {
	w := ready(t, 8, 2)
	w.apply("agenda", "second")
	w.until(time.Second, phaseIs(w, spreading))
	w.platform.out = true
	w.apply("agenda", "third")
	w.run(10 * time.Second)
	assertWork(t, w, true, w.nodes...)
	before := w.platform.calls
	w.run(10 * time.Minute)
	assert.Less(t, float64(w.platform.calls-before)/600, 4.0, "calls a second during the outage")
	assertWork(t, w, true, w.nodes...)
	assert.True(t, w.settled("agenda", 2))
	w.platform.out = false
	before = w.platform.calls
	w.run(2 * time.Second)
	assert.Less(t, w.platform.calls-before, 40, "calls in the first two seconds")
	assertInForce(t, w, 3, acceptBound)
	rec, err := DecodeRecord(w.platform.objects[recordKey("agenda")])
	require.NoError(t, err)
	require.Len(t, rec.Recent, 3)
	assert.Equal(t, DigestOf([]byte("second")), rec.Recent[1].Digest)
}

// Three hosts, a candidate for the lease among them, restart while they are cut
// off from the rest of the fleet, but not from the platform. They know only each
// other. Counting each other as the whole fleet, they would accept a document
// without all the others, who go on with the older one.
func TestHostsThatStartTogetherAreNotTheFleet(t *testing.T) {
	w := ready(t, 24, 2)
	alone := make(map[*node]bool)
	for _, n := range []*node{w.nodes[0], w.nodes[2], w.nodes[12]} {
		alone[n] = true
	}
	cutOff(w, func(n *node) bool { return alone[n] })
	for _, n := range w.nodes {
		n.cutOff = !alone[n]
		if alone[n] {
			w.start(n)
		}
	}
	w.run(12 * time.Second)
	w.apply("agenda", "second")
	w.run(20 * time.Second)
	assert.Len(t, w.accepted["agenda"], 1)
	for n := range alone {
		assert.Len(t, n.p.members.Records(), 24, n.id.Name)
	}
	w.cut = nil
	for _, n := range w.nodes {
		n.cutOff = false
	}
	assertInForce(t, w, 2, 2*acceptBound)
}
