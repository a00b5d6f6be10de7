package rankport

import (
	"testing"

	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// A head at a sidecar's address has no end. It would be collected, for each rank that a planner polls.
func TestHeadWithoutEnd(t *testing.T) {
	standin.RequireHeadsBounded(t, func(s *standin.Server) error {
		_, err := NewClient().Poll(t.Context(), s.Address, Poll{})
		return err
	})
}
