package trial

import (
	"context"
	"fmt"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/fleet/host"
	"wagtailshelf.example/wagtailshelf/internal/program/documents"
	"wagtailshelf.example/wagtailshelf/internal/record/document"
)

// activationLimit is the longest time from storing a document until it is
// active in all processes.
const activationLimit = 11 * time.Second

// documentKey identifies a document in one incarnation of a process.
type documentKey struct {
	process     host.Name
	incarnation host.Incarnation
	service     string
}

// activeDocuments are the active documents of one incarnation of a process.
type activeDocuments struct {
	host.Identity
	documents []documents.State
}

// allActiveDocuments returns the active documents of each running process.
func (d *Deployment) allActiveDocuments(ctx context.Context) ([]activeDocuments, error) {
	var all []activeDocuments
	for _, e := range d.Entries {
		state, err := e.State(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, activeDocuments{state.Identity, state.Documents})
	}
	for _, t := range d.Targets {
		if t.sidecarDown {
			continue
		}
		state, err := t.Sidecar.State(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, activeDocuments{state.Identity, state.Documents})
	}
	return all, nil
}

// checkActiveDocuments compares the active documents of all processes with
// those of the last check.
func (s *session) checkActiveDocuments(ctx context.Context) error {
	_, err := s.findLagging(ctx)
	return err
}

// awaitActive waits until the stored documents are active in all processes, for
// activationLimit at the most, and checks that they are.
func (s *session) awaitActive(ctx context.Context) error {
	deadline := time.Now().Add(activationLimit)
	for {
		lagging, err := s.findLagging(ctx)
		if err != nil {
			return err
		}
		if lagging == "" || time.Now().After(deadline) {
			s.check(activeEverywhere, lagging == "", "%s is not in force after %v", lagging, activationLimit)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// findLagging returns a process in which a stored document is not active, and
// the name of that document. It returns an empty string if there is none. It
// also checks the numbers of all active documents.
func (s *session) findLagging(ctx context.Context) (string, error) {
	all, err := s.allActiveDocuments(ctx)
	if err != nil {
		return "", err
	}
	lagging := ""
	for _, c := range all {
		s.checkDocumentNumbers(c)
		for service, text := range s.documents {
			if !c.contains(service, text) {
				lagging = fmt.Sprintf("%s at %s", service, c.Name)
			}
		}
	}
	return lagging, nil
}

// checkDocumentNumbers checks that no document's number has decreased since the
// last check.
func (s *session) checkDocumentNumbers(c activeDocuments) {
	for _, d := range c.documents {
		key := documentKey{process: c.Name, incarnation: c.Incarnation, service: d.Service}
		previous := s.documentNumbers[key]
		s.check(neverReverts, d.Number >= previous, "%s at %s went from %d to %d", d.Service, key.process, previous, d.Number)
		s.documentNumbers[key] = d.Number
	}
}

// contains reports whether a text is the active document of a service.
func (c activeDocuments) contains(service, text string) bool {
	for _, d := range c.documents {
		if d.Service == service {
			return d.Digest == document.DigestOf([]byte(text))
		}
	}
	return false
}

// changeDocuments stores several changes of a document while drafts run. The
// second one is stored before the first one is active everywhere.
func (s *session) changeDocuments(ctx context.Context) error {
	_, err := s.duringDrafts(ctx, func() error {
		for change := range documentChangeCount {
			if err := s.Put(ctx, "redaction", RedactionDocument(s.redaction, "")+changeComment(change)); err != nil {
				return err
			}
			if change == 0 {
				continue // the next one is stored at once
			}
			if err := s.awaitActive(ctx); err != nil {
				return err
			}
		}
		return nil
	})
	return err
}

// changeComment returns a comment line that changes a document's text, but not
// its meaning.
func changeComment(change int) string {
	return fmt.Sprintf("# change %d\n", change)
}
