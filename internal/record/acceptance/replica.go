package acceptance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// CheckFunc checks the text of a service's document.
type CheckFunc func(service string, text []byte) finding.List

// Document is a text that is in force.
type Document struct {
	Service  string
	Number   Number
	Digest   Digest
	Text     []byte
	Findings finding.List // of this program, if the text was accepted by another version of it
}

// copyOf is what one process has of one service's document.
type copyOf struct {
	service  string
	inForce  Document
	accepted Number // the highest number known, at least that in force
	digest   Digest // of that number

	stage   StageVersion // the newest known, 0 if there was none
	staged  stageFact
	text    []byte // of the stage, once held
	refusal string // why the staged text is refused
	freshAt time.Time
	hold    question
	fetch   fetch

	own       []byte // a text that this process offers as the holder of the lease
	ownDigest Digest
}

// question is a message that is repeated until it is answered.
type question struct {
	seq      uint64
	asked    []asked   // the last ones
	answered bool      // the last one
	heardAt  time.Time // when the last answer came
	tries    int       // questions without an answer
	nextAt   time.Time // zero if nothing is to be asked
}

// asked notes when a question was sent.
type asked struct {
	seq uint64
	at  time.Time
}

// doubtful tells whether the copy holds a stage whose outcome is not known.
func (c *copyOf) doubtful() bool {
	return c.stage != 0 && !c.stage.isClosed() && c.staged.Number > c.accepted && c.text != nil
}

// asking tells whether this process goes on saying that it holds, or refuses, a text.
func (c *copyOf) asking() bool {
	return (c.doubtful() || c.refusal != "") && !c.hold.nextAt.IsZero()
}

// Replica keeps the documents of one process. It is not safe for use by several
// goroutines.
type Replica struct {
	self    host.Identity
	members *member.Members
	check   CheckFunc
	rng     *rand.Rand
	timeout time.Duration

	copies map[string]*copyOf
	seq    uint64
	calls  map[uint64]pendingCall
	callID uint64

	listAt   time.Time // when the numbers are next read from the platform
	listing  bool
	listSent time.Time
	listFail int
	listedAt time.Time // when a read of them last succeeded
	readAt   time.Time // when the last complete read was sent, zero if all of it is in force
	out      []Action
}

// pendingCall is a platform call on its way.
type pendingCall struct {
	cause   object.Cause
	service string
	digest  Digest
	stage   StageVersion
	sentAt  time.Time
}

func newReplica(now time.Time, cfg Config, members *member.Members, rng *rand.Rand) *Replica {
	return &Replica{
		self:    cfg.Member.Self,
		members: members,
		check:   cfg.Check,
		rng:     rng,
		timeout: members.Config().Timeout,
		copies:  make(map[string]*copyOf),
		calls:   make(map[uint64]pendingCall),
		listAt:  now,
	}
}

func (r *Replica) copyOf(service string) *copyOf {
	c, ok := r.copies[service]
	if !ok {
		c = &copyOf{service: service}
		r.copies[service] = c
	}
	return c
}

// learned takes in a fact that package member has learnt.
func (r *Replica) learned(now time.Time, f member.Fact) {
	kind, service, _ := strings.Cut(f.Key, "/")
	switch kind + "/" {
	case acceptedPrefix:
		var a acceptedFact
		if err := decodeFact(f, &a); err != nil {
			r.violate("accepted fact cannot be read: " + err.Error())
			return
		}
		r.learnAccepted(now, r.copyOf(service), Number(f.Version), a.Digest)
	case stagePrefix:
		var s stageFact
		if err := decodeFact(f, &s); err != nil {
			r.violate("stage fact cannot be read: " + err.Error())
			return
		}
		r.learnStage(now, r.copyOf(service), StageVersion(f.Version), s)
	}
}

// learnAccepted takes in an accepted number. A lower one than that in force is
// old news, wherever it comes from: a lagging read, a late message, a peer that
// has just restarted. It changes nothing.
func (r *Replica) learnAccepted(now time.Time, c *copyOf, n Number, d Digest) {
	if n == c.accepted && d != c.digest {
		r.violate("two documents under one number of " + c.service)
		return
	}
	if n <= c.accepted {
		return
	}
	c.accepted = n
	c.digest = d
	if c.text != nil && c.staged.Digest == d {
		r.install(c, c.text)
		return
	}
	r.startFetch(now, c, d)
}

// install puts the accepted text in force.
func (r *Replica) install(c *copyOf, text []byte) {
	if c.accepted <= c.inForce.Number {
		r.violate("number in force does not rise for " + c.service)
		return
	}
	if DigestOf(text) != c.digest {
		r.violate("text in force has another digest than was accepted for " + c.service)
		return
	}
	c.inForce = Document{Service: c.service, Number: c.accepted, Digest: c.digest, Text: text}
	if r.check != nil && c.text == nil {
		c.inForce.Findings = r.check(c.service, text)
	}
	c.fetch = fetch{}
	r.emit(Action{Kind: InForce, Document: c.inForce})
	r.settle(acceptedPrefix+c.service, uint64(c.accepted))
	if c.staged.Number <= c.accepted {
		r.dropStage(c)
	}
}

// learnStage takes in an offered text.
func (r *Replica) learnStage(now time.Time, c *copyOf, v StageVersion, s stageFact) {
	if v <= c.stage {
		return
	}
	if s.Number > c.accepted+1 && s.Base != (Digest{}) {
		// A stage tells that the number before it was accepted. Otherwise a
		// member that missed that news would take the newer stage for its only
		// doubt, be told that it is open, and go on with an older document.
		r.learnAccepted(now, c, s.Number-1, s.Base)
	}
	r.dropStage(c)
	c.stage = v
	c.staged = s
	if v.isClosed() || s.Number <= c.accepted {
		r.dropStage(c)
		return
	}
	if text, ok := r.textOf(c, s.Digest); ok {
		r.holdText(now, c, text)
		return
	}
	if s.Base == c.inForce.Digest && len(s.Patch) > 0 {
		if text, err := applyPatch(c.inForce.Text, s.Patch, s.Digest); err == nil {
			r.holdText(now, c, text)
			return
		}
	}
	if c.accepted == c.inForce.Number {
		r.startFetch(now, c, s.Digest)
	}
	// Otherwise the accepted text is being read. It goes first: without it this
	// process has no contact, and might be the one that others wait for.
}

func applyPatch(base, encoded []byte, want Digest) ([]byte, error) {
	p, err := DecodePatch(encoded)
	if err != nil {
		return nil, err
	}
	text, err := p.Apply(base)
	if err != nil {
		return nil, err
	}
	if DigestOf(text) != want {
		return nil, ErrPatch
	}
	return text, nil
}

// dropStage forgets the staged text. The stage counts as settled: nothing
// depends on it any more.
func (r *Replica) dropStage(c *copyOf) {
	c.text = nil
	c.refusal = ""
	c.hold = question{}
	if c.accepted == c.inForce.Number {
		c.fetch = fetch{} // it could only be for the stage
	}
	if c.stage != 0 {
		r.settle(stagePrefix+c.service, uint64(c.stage))
	}
}

// holdText keeps a staged text and says so, or refuses it.
//
// From here on the stage is in doubt: it may be accepted without this process
// hearing of it. Contact with neighbours that did not know the stage shows that
// it was not accepted then, because acceptance waits for all that have contact.
func (r *Replica) holdText(now time.Time, c *copyOf, text []byte) {
	if r.check != nil {
		if found := r.check(c.service, text); found.Err() != nil {
			c.refusal = found.Error()
			c.hold.nextAt = now
			r.ask(now, c)
			return
		}
	}
	c.text = text
	c.freshAt = r.members.ContactUntil().Add(-r.timeout)
	r.settle(stagePrefix+c.service, uint64(c.stage))
	c.hold.nextAt = now
	r.ask(now, c)
}

// holdInterval is how often a member asks what became of a stage.
const holdInterval = 700 * time.Millisecond

// ask tells the collector that the text is held or refused. The answer tells
// that the stage was still open after the question was sent.
func (r *Replica) ask(now time.Time, c *copyOf) {
	r.seq++
	if c.hold.seq != 0 && !c.hold.answered {
		c.hold.tries++
	}
	c.hold.seq = r.seq
	c.hold.answered = false
	c.hold.asked = append(c.hold.asked, asked{r.seq, now})
	if len(c.hold.asked) > 8 {
		c.hold.asked = c.hold.asked[1:]
	}
	msg := &Message{Kind: Hold, Service: c.service, Stage: c.stage, Seq: r.seq, Answered: r.answeredOf(now, c.staged.Doubtful)}
	msg.Heard = !c.hold.heardAt.IsZero() && now.Sub(c.hold.heardAt) <= wholeWindow
	id := member.IDOf(r.self.Name, r.self.Incarnation)
	if c.refusal == "" {
		msg.IDs = []member.ID{id}
	} else {
		msg.Refusals = []Refusal{{Member: r.self.Name, Reason: cut(c.refusal, MaxReasonBytes)}}
	}
	r.sendTo(r.collector(c), msg)
	wait := holdInterval
	if len(c.hold.asked) == 1 {
		wait = holdInterval / 2
	}
	c.hold.nextAt = now.Add(wait - wait/8 + time.Duration(r.rng.Int64N(int64(wait/4))))
}

// collector returns whom to tell: a relay of the data centre. After each question
// that was not answered it is the next one and, after two, the holder itself.
func (r *Replica) collector(c *copyOf) host.Name {
	relays := r.members.Relays(r.self.DataCentre, collectorKey(c.service, c.stage))
	n := c.hold.tries % 3
	if n < len(relays) {
		return relays[n]
	}
	return c.staged.Holder
}

// answeredOf returns which of the members that the holder thinks have failed are
// not silent to this one.
func (r *Replica) answeredOf(now time.Time, ids []member.ID) []member.ID {
	if len(ids) == 0 {
		return nil
	}
	var out []member.ID
	since := now.Add(-silentTimeouts * r.members.Config().Bound())
	for _, p := range r.members.AnsweredPeers(since) {
		for _, id := range ids {
			if p == id {
				out = append(out, id)
			}
		}
	}
	return out
}

// stillOpen takes in that a stage was open after a question was sent.
func (r *Replica) stillOpen(now time.Time, msg *Message) {
	c, ok := r.copies[msg.Service]
	if !ok || msg.Stage != c.stage {
		return
	}
	c.hold.heardAt = now
	for _, a := range c.hold.asked {
		if a.seq == msg.Seq && a.at.After(c.freshAt) {
			c.freshAt = a.at
			c.hold.answered = true
		}
	}
}

// offer keeps a text that this process is about to stage.
func (r *Replica) offer(service string, text []byte) {
	c := r.copyOf(service)
	c.own = text
	c.ownDigest = DigestOf(text)
}

// services returns the services of which something is known, in order.
func (r *Replica) services() []string {
	return slices.Sorted(maps.Keys(r.copies))
}

// workUntil returns until when this process may take new work: as long as it has
// contact and knows of no stage that may have been accepted meanwhile.
func (r *Replica) workUntil() time.Time {
	until := r.members.ContactUntil()
	for _, c := range r.copies {
		if c.doubtful() {
			if end := c.freshAt.Add(r.timeout); end.Before(until) {
				until = end
			}
		}
	}
	return until
}

func (r *Replica) settle(key string, version uint64) {
	r.emit(Action{Kind: settle, Fact: member.Fact{Key: key, Version: version}})
}

func (r *Replica) emit(a Action) { r.out = append(r.out, a) }

func (r *Replica) violate(text string) {
	r.emit(Action{Kind: Violate, Violation: text})
}

func (r *Replica) sendTo(name host.Name, msg *Message) {
	msg.From = r.self.Name
	r.emit(Action{Kind: Send, Name: name, Envelope: &Envelope{Document: msg}})
}

func cut(s string, n int) string {
	if len(s) > n {
		return s[:n]
	}
	return s
}

func collectorKey(service string, v StageVersion) string {
	return service + "/" + v.String()
}
