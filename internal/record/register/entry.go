package register

import (
	"maps"
	"slices"

	"wagtailshelf.example/wagtailshelf/internal/record/acceptance"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
)

// EntryOf returns an accepted document as the history has it, without its text.
func EntryOf(e acceptance.Entry) history.Entry {
	return history.Entry{
		Number: uint64(e.Number), Digest: document.Digest(e.Digest), By: e.Author, At: e.AcceptedAt,
		Holder: e.Holder, Fence: uint64(e.Fence), Version: e.DocumentVersion, LeftOut: e.LeftOut,
	}
}

// EntriesOf returns accepted documents as the history has them.
func EntriesOf(list []acceptance.Entry) []history.Entry {
	out := make([]history.Entry, len(list))
	for i, e := range list {
		out[i] = EntryOf(e)
	}
	return out
}

// AcceptedOf returns an accepted document as the status has it.
func AcceptedOf(e acceptance.Entry) status.Accepted {
	return status.Accepted{
		Number: uint64(e.Number), Digest: document.Digest(e.Digest),
		By: e.Author, At: e.AcceptedAt, Version: e.DocumentVersion,
	}
}

// Desired takes text and author out of the value of documents/<service>, as
// the acceptance asks for them.
func Desired(value []byte) (text []byte, author string, err error) {
	s := document.DecodeSubmission(value)
	return []byte(s.Text), s.By, nil
}

// Check checks a text before it is staged and at each member, as the acceptance
// asks for it. The holder of the lease compares it with the documents in force
// too; a member that has an older one in force for a moment would find changes
// that nobody makes, and a refusal of one member refuses the document.
func (r *Register) Check(service string, text []byte) finding.List {
	var inForce *document.Document
	var others []*document.Document
	if r.held {
		inForce, others = r.documents(service)
	}
	d, list := document.Check(service+".yaml", text, inForce, others...)
	return append(list, d.CheckService(service+".yaml", service)...)
}

// documents returns the document in force of a service, nil if there is none,
// and where the requests of the others come from.
func (r *Register) documents(service string) (own *document.Document, others []*document.Document) {
	for _, name := range slices.Sorted(maps.Keys(r.copies)) {
		c := r.copies[name]
		switch {
		case name != service && c.routing != nil:
			others = append(others, c.routing)
		case name == service && c.document.Number > 0:
			own, _ = document.Parse(name+".yaml", c.document.Text)
		}
	}
	return own, others
}

// readRouting reads where the requests of one service come from, if that is not
// known yet. To read a large document takes 40 ms, and the process that answers
// probes is the one that waits: all documents at once would cost it its contact.
func (r *Register) readRouting() {
	if !r.held {
		return
	}
	for name, c := range r.copies {
		if c.routing == nil && c.document.Number > 0 {
			d, _ := document.Parse(name+".yaml", c.document.Text)
			c.routing = &document.Document{Service: d.Service, PathPrefix: d.PathPrefix, Hosts: d.Hosts}
			r.copies[name] = c
			return
		}
	}
}
