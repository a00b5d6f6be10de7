package entry

import (
	"time"

	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/wire/administration"
)

// MountAdministration adds the routes by which operators apply and audit
// documents. operator returns the proven name of who calls.
func (e *Entry) MountAdministration(g *echo.Group, operator func(echo.Context) string) {
	api := &administration.API{
		Records:  &administration.Records{Do: e.cfg.Platform.Do},
		Now:      time.Now,
		Operator: operator,
		InForce:  e.documents,
		Process:  e.process,
	}
	api.Mount(g)
}

// documents returns the documents in force here.
func (e *Entry) documents() []*document.Document {
	view := e.inForce.Load()
	if view == nil {
		return nil
	}
	return view.documents
}
