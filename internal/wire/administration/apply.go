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
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

// applyTimeout bounds how long an apply is retried whose responses are lost.
const applyTimeout = 15 * time.Second

// check reports the findings and changes of a text without applying it.
func (a *API) check(c echo.Context) error {
	held := a.Space.Hold(space.Callers)
	defer held.Release()
	text, err := body(c, held)
	if err != nil {
		return err
	}
	_, checked, err := a.checkText(c, text)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, checked)
}

// body reads the text of a document. What is longer than one may be is refused by its check.
func body(c echo.Context, held *space.Hold) ([]byte, error) {
	control := http.NewResponseController(c.Response())
	held.MayYield(func() { _ = control.SetReadDeadline(time.Now()) }) // not all writers support deadlines
	text, err := space.ReadAll(io.LimitReader(c.Request().Body, source.MaxBytes+1), -1, 0, held)
	if held.Complete() || errors.Is(err, space.ErrNoSpace) {
		return nil, merry.Wrap(errBusy)
	}
	if err != nil {
		return nil, merry.Appendf(errInput, "%v", err)
	}
	return text, nil
}

// checkText checks a text against the applied document, if there is one.
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
	held := a.Space.Hold(space.Callers)
	defer held.Release()
	text, err := body(c, held)
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

// precondition returns the version that the document must still have, or 0 if there
// must be none.
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
	current, err := a.Records.Apply(ctx, service, version, s)
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrOvertaken) {
		return c.JSON(http.StatusPreconditionFailed, Problem{
			Message:  err.Error(),
			Conflict: a.conflict(ctx, service, current, c.Request().Header.Get(BaseHeader)),
		})
	}
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(current.Version))
	return c.JSON(http.StatusOK, Receipt{Service: service, Version: current.Version, Digest: d.Digest(), Changes: checked.Changes})
}

// conflict returns the changes that the other operator has made: since the text from
// which this operator's edit started, if the history still has it, otherwise since the
// document before.
func (a *API) conflict(ctx context.Context, service string, current Applied, base string) *Conflict {
	conflict := &Conflict{Version: current.Version, Digest: current.Digest(), By: current.By, At: current.At, Changes: []document.Change{}}
	if current.Version == 0 {
		return conflict
	}
	from, err := a.Records.Document(ctx, service, orDefault(base, RefBefore))
	if err != nil {
		from, err = a.Records.Document(ctx, service, RefBefore)
	}
	if err != nil {
		return conflict // the version and the author are still useful
	}
	if from != nil {
		conflict.Base = from.Digest()
	}
	otherDoc, _ := document.Parse(service+".yaml", []byte(current.Text))
	conflict.Changes = listOf(document.Diff(from, otherDoc))
	return conflict
}
