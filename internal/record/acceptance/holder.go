package acceptance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/fleet/lease"
	"wagtailshelf.example/wagtailshelf/internal/fleet/member"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// phase is how far a change has come.
type phase uint8

const (
	idle      phase = iota
	storing         // the text is being written
	staging         // the stage is being recorded
	spreading       // members are told, and answer
	accepting       // the acceptance is being written
	archiving       // old entries are being moved to the history
)

// job is the holder's state for one service.
type job struct {
	service string
	record  Record
	version object.Version // of the record
	loaded  bool

	text     []byte
	digest   Digest
	author   string
	desired  object.Version // of the document that the text comes from
	rejected Digest         // a text that failed a check, not to be staged again
	seenAt   time.Time      // when the text was first seen

	phase    phase
	next     Record // being written
	attempt  uint64
	stage    StageVersion
	fact     stageFact
	ids      map[member.ID]bool
	answered map[member.ID]bool
	whole    map[host.DataCentre]time.Time // when all of a data centre were last heard of
	lastHold time.Time                     // when the last new member said that it holds the text
	tellAt   time.Time                     // when it is next reported who is waited for
	decided  bool                          // the acceptance counts though its write is not confirmed
	retryAt  time.Time
	callID   uint64    // of the call on its way, 0 if there is none
	calledAt time.Time // when it was made

	history        History
	historyVersion object.Version
	archived       Number                    // entries up to this number are in the history
	texts          map[Digest]object.Version // written under this lease
}

const (
	retryInterval = 250 * time.Millisecond
	// reloadInterval is how often all documents are read again, in case a watch
	// has gone silent and the news of a change was lost too.
	reloadInterval = 30 * time.Second
	// replyPatience is how long a reply may take; the adapter's own bound is shorter.
	replyPatience = 5 * time.Second
	// waitReport is after how long it is reported who is waited for.
	waitReport = 2 * time.Second
)

// Holder carries the duty of accepting documents while its lease is held. It is
// not safe for use by several goroutines.
type Holder struct {
	self    host.Identity
	lease   *lease.Lease
	members *member.Members
	replica *Replica
	cfg     Config
	rng     *rand.Rand

	fence  lease.Fence // 0 while the lease is not held
	roster roster
	ready  bool // the records of all services have been read
	jobs   map[string]*job
	calls  map[uint64]holderCall
	callID uint64
	listAt time.Time // when all documents are read next
	out    []Action
}

// holderCall is a platform call on its way.
type holderCall struct {
	cause   object.Cause
	op      object.Op
	service string
	fence   lease.Fence
	digest  Digest
}

func newHolder(cfg Config, l *lease.Lease, members *member.Members, r *Replica, rng *rand.Rand) *Holder {
	return &Holder{
		self:    cfg.Member.Self,
		lease:   l,
		members: members,
		replica: r,
		cfg:     cfg,
		rng:     rng,
		jobs:    make(map[string]*job),
		calls:   make(map[uint64]holderCall),
	}
}

// gained begins the duty: the roster and what the platform has of all services
// are read first.
func (h *Holder) gained(now time.Time, f lease.Fence) {
	h.fence = f
	h.jobs = make(map[string]*job)
	h.calls = make(map[uint64]holderCall)
	h.ready = false
	h.emit(Action{Kind: Watch, On: true})
	h.listAt = now.Add(reloadInterval)
	h.startRoster(now)
}

// lost ends the duty. Stages whose acceptance was not yet being written are
// closed: this process will never accept them, whoever holds the lease now, and
// to say so takes the members out of doubt.
func (h *Holder) lost() {
	for _, service := range h.services() {
		if j := h.jobs[service]; j.phase == spreading {
			h.closeStage(j)
		}
	}
	h.fence = 0
	h.jobs = make(map[string]*job)
	h.emit(Action{Kind: Watch, On: false})
}

func (h *Holder) closeStage(j *job) {
	j.phase = idle
	empty := j.fact
	empty.Patch = nil
	empty.Doubtful = nil
	h.emit(Action{Kind: publish, Fact: newFact(stagePrefix+j.service, uint64(j.stage.closed()), empty)})
}

// observed takes in a document that the platform's watch, or a read, shows.
func (h *Holder) observed(now time.Time, o object.Object) {
	if h.fence == 0 || o.Key.Kind() != DocumentKind {
		return
	}
	j := h.job(o.Key.Name())
	if o.Version <= j.desired {
		// A watch or a read that lags, or the read that completes what a watch
		// showed before this holder was ready.
		h.consider(now, j)
		return
	}
	text, author, err := h.cfg.Desired(o.Value)
	if err != nil {
		h.emit(Action{Kind: Rejected, Service: j.service, Version: o.Version, Reason: err.Error()})
		return
	}
	j.desired = o.Version
	j.text = text
	j.author = author
	j.digest = DigestOf(text)
	j.seenAt = now
	j.rejected = Digest{}
	if j.phase == spreading && j.digest != j.fact.Digest {
		h.closeStage(j)
	}
	h.consider(now, j)
}

// applied takes in that a document was applied somewhere.
func (h *Holder) applied(service string, version object.Version) {
	if h.fence == 0 || h.job(service).desired >= version {
		return
	}
	h.call(object.Call{Op: object.Get, Key: documentKey(service), Cause: CauseDesired}, holderCall{service: service})
}

func (h *Holder) job(service string) *job {
	j, ok := h.jobs[service]
	if !ok {
		j = &job{service: service, record: Record{Service: service}, texts: make(map[Digest]object.Version)}
		h.jobs[service] = j
	}
	return j
}

func (h *Holder) services() []string {
	names := make([]string, 0, len(h.jobs))
	for name := range h.jobs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// tick does what is due at now.
func (h *Holder) tick(now time.Time) {
	if !h.lease.Holds(now) || h.fence == 0 {
		return
	}
	h.tickRoster(now)
	if !now.Before(h.listAt) {
		h.load(now)
	}
	for _, service := range h.services() {
		j := h.jobs[service]
		if j.phase == spreading {
			h.evaluate(now, j)
		}
		if j.phase == accepting && !h.leaseIsFresh(now) {
			h.decide(now, j)
		}
		if j.callID != 0 && now.Sub(j.calledAt) >= replyPatience {
			// The reply was lost on its way to here: go on as after a lost answer.
			j.callID = 0
			h.retry(now, j)
		}
		if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
			j.retryAt = time.Time{}
			h.resume(now, j)
		}
	}
}

// deadline returns when something is due next; the zero time means never.
func (h *Holder) deadline() time.Time {
	if h.fence == 0 {
		return time.Time{}
	}
	next := sooner(h.listAt, h.rosterDeadline())
	for _, j := range h.jobs {
		next = sooner(next, j.retryAt)
		if j.callID != 0 {
			next = sooner(next, j.calledAt.Add(replyPatience))
		}
		if j.phase == spreading {
			next = sooner(next, j.tellAt)
		}
	}
	return next
}

func (h *Holder) call(c object.Call, p holderCall) {
	h.callID++
	c.ID = h.callID*partCount + holderPart
	p.cause = c.Cause
	p.op = c.Op
	p.fence = h.fence
	h.calls[h.callID] = p
	h.emit(Action{Kind: Call, Call: c})
}

// replied takes in the end of a platform call. Replies to calls made under an
// earlier fence are dropped: what they say is read again.
func (h *Holder) replied(now time.Time, reply object.Reply) {
	p, ok := h.calls[reply.ID]
	if !ok {
		return
	}
	delete(h.calls, reply.ID)
	if p.fence != h.fence {
		return
	}
	switch {
	case p.cause == CauseRoster:
		h.rosterAnswered(now, reply.ID, p, reply)
	case p.op == object.List:
		h.loaded(now, reply)
	case p.cause == CauseDesired:
		if reply.Status == object.Done {
			h.observed(now, reply.Object)
		}
	default:
		h.written(now, h.job(p.service), reply.ID, p, reply)
	}
}

// load reads the records of all services and, once they are known, their documents.
func (h *Holder) load(now time.Time) {
	h.listAt = now.Add(reloadInterval)
	if h.roster.written == 0 {
		return
	}
	prefix := object.Key(AcceptanceKind + "/")
	if h.ready {
		prefix = DocumentKind + "/"
	}
	h.call(object.Call{Op: object.List, Key: prefix, Cause: CauseDesired}, holderCall{})
}

// loaded takes in the records of all services, or their documents.
func (h *Holder) loaded(now time.Time, reply object.Reply) {
	if reply.Status != object.Done {
		h.listAt = now.Add(retryInterval + time.Duration(h.rng.Int64N(int64(retryInterval))))
		return
	}
	for _, o := range reply.Objects {
		switch o.Key.Kind() {
		case AcceptanceKind:
			h.adopt(now, h.job(o.Key.Name()), o)
		case DocumentKind:
			h.observed(now, o)
		}
	}
	if !h.ready {
		h.ready = true
		h.load(now)
	}
}

// adopt takes in a record as the platform has it.
func (h *Holder) adopt(now time.Time, j *job, o object.Object) {
	rec, err := DecodeRecord(o)
	if err != nil {
		h.violate("acceptance record cannot be read: " + string(o.Key) + ": " + err.Error())
		return
	}
	accepted := h.replica.copyOf(j.service).accepted
	if o.Version < j.version || rec.Entry.Number+1 < accepted {
		// A read that lags. Writing on it would only meet a conflict.
		j.retryAt = now.Add(retryInterval)
		return
	}
	if rec.Fence > h.fence {
		if h.lease.Holds(now) {
			h.violate("record of " + j.service + " written under a fence higher than that of the holder")
		}
		h.emit(Action{Kind: resign})
		return
	}
	j.record = rec
	j.version = o.Version
	j.loaded = true
	if rec.Entry.Number > 0 {
		h.replica.publishRecord(&rec)
	}
	if rec.Staged != nil {
		j.attempt = max(j.attempt, rec.Staged.Attempt)
	}
	if rec.Entry.Number < accepted {
		h.recover(now, j)
		return
	}
	h.consider(now, j)
}

func (h *Holder) emit(a Action) { h.out = append(h.out, a) }

func (h *Holder) violate(text string) {
	h.emit(Action{Kind: Violate, Violation: text})
}

// retry waits a little before a job goes on, longer while the platform is out.
func (h *Holder) retry(now time.Time, j *job) {
	j.retryAt = now.Add(retryInterval + time.Duration(h.rng.Int64N(int64(retryInterval))))
}

// serviceOfKey returns the service that a fact is about.
func serviceOfKey(key string) string {
	_, service, _ := strings.Cut(key, "/")
	return service
}
