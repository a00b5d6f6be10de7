package administration

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"wagtailshelf.example/wagtailshelf/internal/record/document"
	"wagtailshelf.example/wagtailshelf/internal/record/finding"
	"wagtailshelf.example/wagtailshelf/internal/record/history"
	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/record/status"
	"wagtailshelf.example/wagtailshelf/internal/wire/space"
)

// Headers of documents.
const (
	DigestHeader = "Wagtailshelf-Digest" // digest of the text
	ByHeader     = "Wagtailshelf-By"     // operator who applied it
	BaseHeader   = "Wagtailshelf-Base"   // digest of the text from which an edit started
)

const listPath = "/documents"

// MediaType is the media type of documents.
const MediaType = "application/yaml"

// API serves operators' calls. All fields but ActiveDocuments, ProcessStatus and Space are required.
type API struct {
	Records  *Records
	Now      func() time.Time
	Operator func(c echo.Context) string // name of the caller, already authenticated

	// ActiveDocuments returns the documents active at this process. A document is checked
	// together with those of other services, without reading all from the platform.
	ActiveDocuments func() []*document.Document

	// ProcessStatus returns the status of a service at this process.
	ProcessStatus func(service string) status.Process

	// Space bounds the bytes of the texts that are read at the same time; nil for no bound.
	Space *space.Budget
}

// Listing is one service in the response to GET /documents.
type Listing struct {
	Service string          `json:"service"`
	Version object.Version  `json:"version"`
	Digest  document.Digest `json:"digest"`
	By      string          `json:"by,omitempty"`
	At      time.Time       `json:"at,omitzero"`
}

// CheckResult is the response to a check.
type CheckResult struct {
	Findings finding.List      `json:"findings"`
	Changes  []document.Change `json:"changes"` // relative to the applied document
}

// Receipt is the response to an apply.
type Receipt struct {
	Service string            `json:"service"`
	Version object.Version    `json:"version"`
	Digest  document.Digest   `json:"digest"`
	Changes []document.Change `json:"changes"` // relative to the replaced document
}

// Conflict describes the change that somebody else has made in the meantime.
type Conflict struct {
	Version object.Version    `json:"version"` // 0 if the document is gone
	Digest  document.Digest   `json:"digest"`
	By      string            `json:"by,omitempty"`
	At      time.Time         `json:"at,omitzero"`
	Base    document.Digest   `json:"base,omitzero"` // the text from which Changes start
	Changes []document.Change `json:"changes"`
}

// Problem is the response to a failed call.
type Problem struct {
	Message  string       `json:"message"`
	Findings finding.List `json:"findings,omitempty"`
	Conflict *Conflict    `json:"conflict,omitempty"`
}

// HistoryEntry is a document in the response to GET history.
type HistoryEntry struct {
	history.Entry
	HasText bool `json:"hasText"`
}

// Mount adds the API's routes. The group's middleware must admit only operators.
func (a *API) Mount(g *echo.Group) {
	g.GET(listPath, a.mapErrors(a.list))
	g.GET("/documents/:service", a.mapErrors(a.show))
	g.PUT("/documents/:service", a.mapErrors(a.apply))
	g.POST("/documents/:service/check", a.mapErrors(a.check))
	g.GET("/documents/:service/diff", a.mapErrors(a.diff))
	g.GET("/documents/:service/history", a.mapErrors(a.history))
	g.GET("/documents/:service/status", a.mapErrors(a.status))
}

var errorStatus = []struct {
	err  error
	code int
}{
	{ErrNotFound, http.StatusNotFound},
	{ErrConflict, http.StatusPreconditionFailed},
	{ErrOvertaken, http.StatusPreconditionFailed},
	{ErrPlatform, http.StatusServiceUnavailable},
	{ErrUnknown, http.StatusGatewayTimeout},
	{ErrDamaged, http.StatusBadGateway},
	{document.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{errPrecondition, http.StatusPreconditionRequired},
	{errInput, http.StatusBadRequest},
	{errBusy, http.StatusServiceUnavailable},
}

var (
	errPrecondition = merry.Sentinel("If-Match with the version that was edited, or If-None-Match: * for a new document, is needed")
	errInput        = merry.Sentinel("the call can't be understood")
	errBusy         = merry.Sentinel("the process holds too many texts of others; nothing has changed")
)

// mapErrors returns a handler that converts the errors of h to problems.
func (a *API) mapErrors(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := checkService(c)
		if err == nil {
			err = h(c)
		}
		for _, each := range errorStatus {
			if errors.Is(err, each.err) {
				return c.JSON(each.code, Problem{Message: err.Error()})
			}
		}
		return err
	}
}

// checkService refuses names that would address objects of another kind or service.
func checkService(c echo.Context) error {
	name := c.Param("service")
	if c.Path() != listPath && !document.ValidService(name) {
		return merry.Appendf(errInput, "%q is not the name of a service", name)
	}
	return nil
}

func (a *API) list(c echo.Context) error {
	all, err := a.Records.All(c.Request().Context())
	if err != nil {
		return err
	}
	list := make([]Listing, 0, len(all))
	for service, d := range all {
		list = append(list, Listing{Service: service, Version: d.Version, Digest: d.Digest(), By: d.By, At: d.At})
	}
	slices.SortFunc(list, func(x, y Listing) int { return strings.Compare(x.Service, y.Service) })
	return c.JSON(http.StatusOK, list)
}

func (a *API) show(c echo.Context) error {
	ctx, service := c.Request().Context(), c.Param("service")
	if ref := c.QueryParam("ref"); ref != "" && ref != RefApplied {
		text, err := a.Records.Text(ctx, service, ref)
		if err != nil {
			return err
		}
		if text == nil {
			return merry.Appendf(ErrNotFound, "%s has no document before", service)
		}
		c.Response().Header().Set(DigestHeader, document.DigestOf(text).String())
		return c.Blob(http.StatusOK, MediaType, text)
	}
	d, err := a.Records.Applied(ctx, service)
	if err != nil {
		return err
	}
	h := c.Response().Header()
	h.Set("ETag", etag(d.Version))
	h.Set(DigestHeader, d.Digest().String())
	h.Set(ByHeader, d.By)
	if !d.At.IsZero() {
		h.Set("Last-Modified", d.At.UTC().Format(http.TimeFormat))
	}
	return c.Blob(http.StatusOK, MediaType, []byte(d.Text))
}

func etag(v object.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// ParseETag reads the version from an ETag.
func ParseETag(tag string) (object.Version, error) {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, merry.Appendf(errInput, "%s is not an ETag of a document", tag)
	}
	return object.Version(v), nil
}

func (a *API) diff(c echo.Context) error {
	ctx, service := c.Request().Context(), c.Param("service")
	from, err := a.Records.Document(ctx, service, orDefault(c.QueryParam("from"), RefBefore))
	if err != nil {
		return err
	}
	to, err := a.Records.Document(ctx, service, orDefault(c.QueryParam("to"), RefApplied))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, listOf(document.Diff(from, to)))
}

func orDefault(s, value string) string {
	if s == "" {
		return value
	}
	return s
}

// listOf returns an empty list for nil, which JSON would encode as null.
func listOf[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (a *API) history(c echo.Context) error {
	all, err := a.Records.History(c.Request().Context(), c.Param("service"))
	if err != nil {
		return err
	}
	if at := c.QueryParam("at"); at != "" {
		t, err := time.Parse(time.RFC3339, at)
		if err != nil {
			return merry.Appendf(errInput, "at must be a time such as 2026-03-02T14:05:00Z")
		}
		e, ok := history.ActiveAt(all, t)
		if !ok {
			return merry.Appendf(ErrNotFound, "the history has nothing that was in force then")
		}
		all = []history.Entry{e}
	}
	list := make([]HistoryEntry, len(all))
	for i, e := range all {
		list[i] = HistoryEntry{Entry: e, HasText: e.Text != nil}
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) status(c echo.Context) error {
	service := c.Param("service")
	d, err := a.Records.Applied(c.Request().Context(), service)
	if err != nil {
		return err
	}
	s := status.Status{Service: service, Applied: &status.Applied{
		Number: uint64(d.Version), Digest: d.Digest(), By: d.By, At: d.At,
	}}
	if a.ProcessStatus != nil {
		s.Processes = []status.Process{a.ProcessStatus(service)}
	}
	return c.JSON(http.StatusOK, s)
}
