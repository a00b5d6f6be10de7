package entry

import (
	"time"

	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

// MountAdministration adds the routes with which operators apply and audit
// documents. operator returns the authenticated name of the caller.
func (e *Entry) MountAdministration(g *echo.Group, operator func(echo.Context) string) {
	api := &administration.API{
		Records:         &administration.Records{Do: e.cfg.Platform.Do},
		Now:             time.Now,
		Operator:        operator,
		ActiveDocuments: e.activeDocuments,
		ProcessStatus:   e.process,
		Space:           &space.Budget{Total: int64(textShare * float64(e.cfg.Resources.Fill().Memory))},
	}
	api.Mount(g)
}

// activeDocuments returns the documents that are active in this entry.
func (e *Entry) activeDocuments() []*document.Document {
	view := e.active.Load()
	if view == nil {
		return nil
	}
	return view.documents
}
