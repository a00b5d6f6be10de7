// Package routing holds the rules by which a request finds its service: routes,
// the services behind them, the workspaces with their keys, and the limits on
// what a caller may send.
//
// A [Config] is built once by [New] and never changes afterwards, so that any
// number of requests may use it at the same time.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated of a request.
type Kind uint8

// The kinds of requests.
const (
	Unsafe    Kind = iota // at most one run; the zero value is the most careful kind
	Safe                  // any number of runs
	Streaming             // a series of events; repeatable only where the route is resumable
)

// String names the kind as logs and metrics do.
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
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // longest time that a caller is kept waiting
	Aim         time.Duration // time within which an answer, or its first event, is on time
	GapAim      time.Duration // longest pause between two events of an answer that is on time
	Priority    int           // 0 is the highest
	Shares      []Share
	MaxAttempts int  // targets that one request may be sent to
	Public      bool // needs no key
	Resumable   bool // a stream may go on at another target
	Generates   bool // requests carry prompts for a model engine
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Pick chooses the service of a request by a number from 0 up to 1.
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
	Slots    int           // requests that run at the same time
	Layers   int           // sets of layers that share a row of the expert map
	Experts  int           // experts of a layer
	Places   int           // experts that a rank can hold of a layer
	Spare    int           // experts of a layer that a rank can copy for one change
	CopyTime time.Duration // that a rank takes to copy one expert; 0 if it is not told
	// What a pass takes; zero if it is not told. A pass has PassSteps steps, each of
	// StepTime and StepPerRequest for each request that runs at a rank. ExpertShare of
	// that is the experts' part, in which all wait for the most loaded rank.
	PassSteps      int
	StepTime       time.Duration
	StepPerRequest time.Duration
	ExpertShare    float64
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // that one target takes from all callers together
	Engine         *Engine // nil for plain services
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	Ranked   bool // Priority is given, and goes before that of the route
}

// Limits bound what a caller may send and how long it may take. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the rules.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Workspace
	services map[string]*Service
}

// New indexes a version of the rules.
func New(c Config) *Config {
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Workspace)
	c.services = make(map[string]*Service)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
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

// RouteFor returns the route with the longest prefix that begins the path, or
// nil. A port in the host name is ignored.
func (c *Config) RouteFor(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed tells whether requests need a key at all.
func (c *Config) Keyed() bool {
	return len(c.Workspaces) > 0
}

// Holder returns the workspace that a key belongs to, or nil.
func (c *Config) Holder(key string) *Workspace {
	return c.byKey[key]
}

// Service returns the service of that name, or nil.
func (c *Config) Service(name string) *Service {
	return c.services[name]
}
