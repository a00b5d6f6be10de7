// Package routing holds the configuration that determines the service of a request:
// routes, the services behind them, the workspaces with their keys, and the limits
// on what a caller may send.
//
// A [Config] is built once by [New] and never changes afterwards, so that any
// number of requests may use it at the same time.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether and how a request may be repeated.
type Kind uint8

// The kinds of requests.
const (
	Unsafe    Kind = iota // may run at most once; the zero value is the strictest kind
	Safe                  // may run any number of times
	Streaming             // the response is a stream of events; may be repeated only if the route is resumable
)

// String returns the name of the kind as used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host name and path to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum time that a caller waits
	LatencyGoal time.Duration // target latency: a response, or its first event, within this time is on time
	GapGoal     time.Duration // target for the longest pause between two events of a response
	Priority    int           // 0 is the highest
	Shares      []Share
	MaxAttempts int  // targets that one request may be sent to
	Public      bool // requests need no key
	Resumable   bool // a stream may be continued by another target
	Generates   bool // requests contain prompts for a model engine
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a request, chosen by weight. The argument u is a number
// from 0 to 1.
func (r *Route) Pick(u float64) string {
	if len(r.Shares) == 0 {
		return ""
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Shares {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service and their expert group.
type Engine struct {
	MaxRequests int           // requests that run at the same time
	LayerSets   int           // sets of layers; the layers of a set share a row of the expert map
	Experts     int           // number of experts of a layer
	ExpertSlots int           // expert slots of a rank for each layer
	MaxCopies   int           // experts of a layer that a rank can copy for one map switch
	CopyTime    time.Duration // time that a rank takes to copy one expert; zero if it isn't configured
	// The duration of a pass; the fields are zero if it isn't configured. A pass has
	// EngineSteps steps. Each step takes EngineStepTime plus EngineStepPerRequest for each request
	// that runs at a rank. ExpertShare is the part of that time spent in the experts,
	// in which all ranks wait for the most loaded one.
	EngineSteps          int
	EngineStepTime       time.Duration
	EngineStepPerRequest time.Duration
	ExpertShare          float64
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // maximum number of connections to one target from all callers together
	Engine         *Engine // nil for services without model engines
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority is configured and takes precedence over the route's priority
}

// Limits bound what a caller may send and how long that may take. Zero means no
// limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keyed      bool // requests need a key, also if there are no workspaces
	Limits     Limits

	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Workspace
	services map[string]*Service
}

// New returns a copy of c with the indexes that its methods need.
func New(c Config) *Config {
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Workspace)
	c.services = make(map[string]*Service)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			c.byKey[k] = &c.Workspaces[i]
		}
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	return &c
}

// RouteFor returns the route of the host name with the longest prefix that matches the
// path, or nil. A port in the host name is ignored.
func (c *Config) RouteFor(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether requests need a key.
func (c *Config) RequiresKeys() bool {
	return c.Keyed || len(c.Workspaces) > 0
}

// Following returns the configuration as the successor of an earlier one, which may be nil.
// If requests needed a key before, they still do. Otherwise the keys that c revokes would be
// accepted, and so would any other.
func (c *Config) Following(earlier *Config) *Config {
	if earlier == nil || !earlier.RequiresKeys() || c.RequiresKeys() {
		return c
	}
	keyed := *c
	keyed.Keyed = true
	return &keyed
}

// WorkspaceOf returns the workspace that the key belongs to, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace {
	return c.byKey[key]
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	return c.services[name]
}
