package document

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"wagtailshelf.example/wagtailshelf/internal/record/finding"
)

// MaxDeadline is the longest permitted deadline of a route. A graceful shutdown of a
// process may take that long.
const MaxDeadline = 10 * time.Minute

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

var routeRules = []Rule{
	{
		Name:  "route-path",
		Title: "There is at least one route; each has methods and a path of plain segments, `{name}` for any one segment, and `*` at the end for the rest.",
		Why:   "A request that no route matches is refused.",
		check: checkRoutePaths,
	},
	{
		Name:  "route-overlap",
		Title: "No two routes have the same path and a method in common.",
		Why:   "Whether a request may be repeated would depend on the order of the routes.",
		check: checkRouteOverlap,
	},
	{
		Name:  "route-bounds",
		Title: "A route's deadline is from 1ms to 10m, its `maxBody` at most `limits.maxBody`, its cost not below zero and not zero as a whole.",
		Why:   "Queues are ordered by cost: work without any would go before all other work.",
		check: checkRouteBounds,
	},
	{
		Name:  "claims",
		Title: "`claims.retention` is at least twice the longest deadline and at most 24h; `claims.window` is from 1ms to 1s; `claims.onPlatformOutage` is `refuse` or `memoryOnly`.",
		Why:   "A caller that repeats a request after its deadline must still meet the claim of the first.",
		check: checkClaims,
	},
}

func checkRoutePaths(p *pass) {
	if len(p.Routes) == 0 {
		p.report("routes", finding.Missing, "at least one route must be given")
	}
	for i, r := range p.Routes {
		path := entryPath("routes", i, "path")
		if p.requireValue(path, r.Path != "") && !validPath(r.Path) {
			p.report(path, finding.Invalid,
				"path %q must begin with /, have neither empty, encoded nor dot segments, and * only as its end", r.Path)
		}
		p.checkMethods(i, r)
	}
}

func (p *pass) checkMethods(i int, r Route) {
	path := entryPath("routes", i, "methods")
	if len(r.Methods) == 0 {
		p.report(path, finding.Missing, "%s is missing", path)
	}
	for j, m := range r.Methods {
		if !slices.Contains(methods, m) {
			p.report(path+index(j), finding.Invalid, "method %q must be one of %s", m, strings.Join(methods, ", "))
		}
	}
}

func validPath(path string) bool {
	segments, ok := splitPath(path)
	if !ok || path[0] != '/' {
		return false
	}
	for i, s := range segments {
		last := i == len(segments)-1
		braces := strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}") && len(s) > 2
		if s == "*" && last || braces {
			continue
		}
		if strings.ContainsAny(s, "*{}?#% ") {
			return false
		}
	}
	return true
}

func checkRouteOverlap(p *pass) {
	seen := make(map[string]string)
	for i := range p.Routes {
		r := &p.Routes[i]
		for _, m := range r.Methods {
			p.requireUnique(seen, entryPath("routes", i, "path"), m+" "+pathShape(r.Path), "route")
		}
	}
}

// pathShape returns a path without the names of its variables.
func pathShape(path string) string {
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if strings.HasPrefix(s, "{") {
			segments[i] = "{}"
		}
	}
	return strings.Join(segments, "/")
}

func checkRouteBounds(p *pass) {
	for i, r := range p.Routes {
		if r.Deadline < time.Millisecond || r.Deadline > MaxDeadline {
			p.report(entryPath("routes", i, "deadline"), finding.Invalid, "deadline %v must be from 1ms to %v", r.Deadline, MaxDeadline)
		}
		if r.MaxBody > p.Limits.MaxBody {
			p.report(entryPath("routes", i, "maxBody"), finding.Invalid, "maxBody %v is above limits.maxBody, %v", r.MaxBody, p.Limits.MaxBody)
		}
		if r.Cost.Fixed < 0 || r.Cost.PerKiB < 0 || r.Cost.Fixed+r.Cost.PerKiB == 0 {
			p.report(entryPath("routes", i, "cost"), finding.Invalid, "cost must not be below zero, nor zero as a whole")
		}
	}
}

// LongestDeadline returns the longest deadline of all routes.
func (d *Document) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, r := range d.Routes {
		longest = max(longest, r.Deadline)
	}
	return longest
}

func checkClaims(p *pass) {
	c := p.Claims
	if c.OnPlatformOutage != Refuse && c.OnPlatformOutage != MemoryOnly {
		p.report("claims.onPlatformOutage", finding.Invalid, "onPlatformOutage must be refuse or memoryOnly, not %q", c.OnPlatformOutage)
	}
	least := 2 * p.LongestDeadline()
	if c.Retention < least || c.Retention > 24*time.Hour {
		p.report("claims.retention", finding.Invalid,
			"retention %v must be from %v (twice the longest deadline) to 24h", c.Retention, least)
	}
	if c.Window < time.Millisecond || c.Window > time.Second {
		p.report("claims.window", finding.Invalid, "window %v must be from 1ms to 1s", c.Window)
	}
}
