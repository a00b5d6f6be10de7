package acceptance

import (
	"slices"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
)

// fetch is the reading of a text that did not come with its stage.
type fetch struct {
	digest  Digest
	parts   []byte
	size    int
	tries   int // in a row without an answer
	nextAt  time.Time
	from    host.Name
	calling bool
}

func (f *fetch) active() bool { return !f.nextAt.IsZero() }

const (
	fetchInterval = 400 * time.Millisecond
	// platformAfter is after how many attempts without an answer of a peer the
	// platform is asked for the text.
	platformAfter = 3
)

// startFetch begins to read a text.
func (r *Replica) startFetch(now time.Time, c *copyOf, d Digest) {
	if c.fetch.active() && c.fetch.digest == d {
		return
	}
	c.fetch = fetch{digest: d, nextAt: now}
	r.fetchNext(now, c)
}

// fetchNext asks the next peer for the text, or the platform. Peers ask the
// first relay of their data centre and the relay asks the holder, so that the
// holder sends one copy to each data centre.
func (r *Replica) fetchNext(now time.Time, c *copyOf) {
	f := &c.fetch
	f.nextAt = now.Add(fetchInterval + time.Duration(r.rng.Int64N(int64(fetchInterval/2))))
	if f.tries >= platformAfter && !f.calling {
		f.calling = true
		r.call(now, object.Call{Op: object.Get, Key: textKey(c.service, f.digest), Cause: CauseText},
			pendingCall{cause: CauseText, service: c.service, digest: f.digest})
	}
	f.from = r.source(c)
	f.tries++
	if f.from != "" {
		r.want(c)
	}
}

func (r *Replica) want(c *copyOf) {
	msg := &Message{Kind: Want, Service: c.service, Digest: &c.fetch.digest, Offset: len(c.fetch.parts)}
	if c.inForce.Number > 0 && len(c.fetch.parts) == 0 {
		msg.Base = &c.inForce.Digest
	}
	r.sendTo(c.fetch.from, msg)
}

// source returns whom to ask for a text next.
func (r *Replica) source(c *copyOf) host.Name {
	var names []host.Name
	for _, name := range r.members.Relays(r.self.DataCentre, c.service+"/"+c.fetch.digest.String()) {
		if name == r.self.Name {
			// A relay asks the holder first, then its neighbours.
			names = append([]host.Name{c.staged.Holder}, names...)
			continue
		}
		names = append(names, name)
	}
	names = append(names, r.members.Neighbours(r.self.Name)...)
	names = slices.DeleteFunc(names, func(n host.Name) bool { return n == "" || n == r.self.Name })
	if len(names) == 0 {
		return ""
	}
	return names[c.fetch.tries%len(names)]
}

// wanted answers a question for a text with a patch, where the base is at hand,
// or with a part of the text.
func (r *Replica) wanted(msg *Message) {
	c, ok := r.copies[msg.Service]
	if !ok || msg.Digest == nil {
		return
	}
	text, ok := r.textOf(c, *msg.Digest)
	if !ok {
		return
	}
	out := &Message{Kind: Part, Service: msg.Service, Digest: msg.Digest, Size: len(text)}
	if msg.Base != nil {
		if base, ok := r.textOf(c, *msg.Base); ok {
			if patch := NewPatch(base, text).Encode(); len(patch) <= MaxPartBytes {
				out.Base = msg.Base
				out.Data = patch
				r.sendTo(msg.From, out)
				return
			}
		}
	}
	if msg.Offset > len(text) {
		return
	}
	out.Offset = msg.Offset
	out.Data = text[msg.Offset:min(len(text), msg.Offset+MaxPartBytes)]
	r.sendTo(msg.From, out)
}

func (r *Replica) textOf(c *copyOf, d Digest) ([]byte, bool) {
	switch {
	case c.inForce.Number > 0 && c.inForce.Digest == d:
		return c.inForce.Text, true
	case c.text != nil && c.staged.Digest == d:
		return c.text, true
	case c.own != nil && c.ownDigest == d:
		return c.own, true
	}
	return nil, false
}

// part takes in a part of a text.
func (r *Replica) part(now time.Time, msg *Message) {
	c, ok := r.copies[msg.Service]
	if !ok || msg.Digest == nil || !c.fetch.active() || c.fetch.digest != *msg.Digest || msg.Size > object.MaxValueBytes {
		return
	}
	f := &c.fetch
	if msg.Base != nil {
		if *msg.Base != c.inForce.Digest {
			return
		}
		if text, err := applyPatch(c.inForce.Text, msg.Data, f.digest); err == nil {
			r.fetched(now, c, text)
		}
		return
	}
	if msg.Offset != len(f.parts) || (len(msg.Data) == 0 && msg.Size > 0) {
		return
	}
	f.parts = append(f.parts, msg.Data...)
	f.tries = 0
	if len(f.parts) < msg.Size {
		f.from = msg.From
		f.nextAt = now.Add(fetchInterval)
		r.want(c)
		return
	}
	if DigestOf(f.parts) != f.digest {
		// Parts of different texts, or a damaged one: begin again elsewhere.
		*f = fetch{digest: f.digest, nextAt: now, tries: 1}
		return
	}
	r.fetched(now, c, f.parts)
}

// fetched uses a complete text whose digest fits.
func (r *Replica) fetched(now time.Time, c *copyOf, text []byte) {
	d := c.fetch.digest
	c.fetch = fetch{}
	if c.accepted > c.inForce.Number && d == c.digest {
		r.install(c, text)
		r.resumeStage(now, c)
		return
	}
	if c.staged.Digest == d && c.text == nil && !c.stage.isClosed() && c.staged.Number > c.accepted {
		r.holdText(now, c, text)
	}
}

// resumeStage reads the staged text if the accepted one went before it.
func (r *Replica) resumeStage(now time.Time, c *copyOf) {
	if c.stage != 0 && !c.stage.isClosed() && c.staged.Number > c.accepted && c.text == nil && c.refusal == "" {
		r.startFetch(now, c, c.staged.Digest)
	}
}
