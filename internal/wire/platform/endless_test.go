package platform_test

import (
	"testing"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
	"wagtailshelf.example/wagtailshelf/platform/standin"
)

// A head at the platform's address has no end.
func TestHeadWithoutEnd(t *testing.T) {
	standin.RequireHeadsBounded(t, func(s *standin.Server) error {
		c := platform.New(platform.Config{URL: "http://" + s.Address.String(), Budget: largeBudget})
		defer c.Close()
		return c.Do(t.Context(), object.Call{Op: object.Get, Key: "documents/agenda"}).Err
	})
}
