package register

import (
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
// asks for it. The holder of the lease compares it with the document in force
// too; a member that has an older one in force for a moment would find changes
// that nobody makes, and a refusal of one member refuses the document.
func (r *Register) Check(service string, text []byte) finding.List {
	var inForce *document.Document
	if c, ok := r.copies[service]; ok && r.held {
		inForce, _ = document.Parse(service+".yaml", c.document.Text)
	}
	d, list := document.Check(service+".yaml", text, inForce)
	return append(list, d.CheckService(service+".yaml", service)...)
}
