package administration

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/source"
)

// applyTimeout bounds how long an apply whose answers are lost is looked after.
const applyTimeout = 15 * time.Second

// check answers what applying a text would do.
func (a *API) check(c echo.Context) error {
	text, err := body(c)
	if err != nil {
		return err
	}
	_, checked, err := a.checkText(c, text)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, checked)
}

func body(c echo.Context) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(c.Request().Body, source.MaxBytes+1))
	if err != nil {
		return nil, merry.Appendf(errInput, "%v", err)
	}
	return text, nil
}

// checkText checks a text against the document that is applied, if there is one.
func (a *API) checkText(c echo.Context, text []byte) (*document.Document, CheckResult, error) {
	service := c.Param("service")
	before, err := a.Records.Document(c.Request().Context(), service, RefApplied)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return nil, CheckResult{}, err
	}
	var others []*document.Document
	if a.ActiveDocuments != nil {
		others = a.ActiveDocuments()
	}
	d, findings := document.Check(service+".yaml", text, before, others...)
	findings = append(findings, d.CheckService(service+".yaml", service)...)
	return d, CheckResult{Findings: listOf(findings), Changes: listOf(document.Diff(before, d))}, nil
}

// apply checks a text and writes it on the condition that nobody else has
// changed the document since the operator read it.
func (a *API) apply(c echo.Context) error {
	version, err := precondition(c.Request().Header)
	if err != nil {
		return err
	}
	text, err := body(c)
	if err != nil {
		return err
	}
	d, checked, err := a.checkText(c, text)
	if err != nil {
		return err
	}
	if len(checked.Findings) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, Problem{
			Message: "the document failed its checks; nothing has changed", Findings: checked.Findings,
		})
	}
	return a.write(c, version, d, checked)
}

// precondition returns the version that must still be there, 0 for none.
func precondition(h http.Header) (object.Version, error) {
	if tag := h.Get("If-Match"); tag != "" {
		return ParseETag(tag)
	}
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	return 0, errPrecondition
}

func (a *API) write(c echo.Context, version object.Version, d *document.Document, checked CheckResult) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	service := c.Param("service")
	s := document.Submission{By: a.Operator(c), At: a.Now().UTC(), Text: string(d.Text())}
	stands, err := a.Records.Apply(ctx, service, version, s)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrOvertaken) {
		return c.JSON(http.StatusPreconditionFailed, Problem{
			Message:  err.Error(),
			Conflict: a.conflict(ctx, service, stands, c.Request().Header.Get(BaseHeader)),
		})
	}
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(stands.Version))
	return c.JSON(http.StatusOK, Receipt{Service: service, Version: stands.Version, Digest: d.Digest(), Changes: checked.Changes})
}

// conflict says what the other operator has changed: since the text that this
// one began with, if the history still has it, else since the one before.
func (a *API) conflict(ctx context.Context, service string, stands Applied, base string) *Conflict {
	k := &Conflict{Version: stands.Version, Digest: stands.Digest(), By: stands.By, At: stands.At, Changes: []document.Change{}}
	if stands.Version == 0 {
		return k
	}
	from, err := a.Records.Document(ctx, service, orDefault(base, RefBefore))
	if err != nil {
		from, err = a.Records.Document(ctx, service, RefBefore)
	}
	if err != nil {
		return k // the version and the author are still worth telling
	}
	if from != nil {
		k.Base = from.Digest()
	}
	theirs, _ := document.Parse(service+".yaml", []byte(stands.Text))
	k.Changes = listOf(document.Diff(from, theirs))
	return k
}
