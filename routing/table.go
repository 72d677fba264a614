package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"rosemaryline.dev/fleet/config"
)

// DefaultDeadline applies to routes that set no deadline.
const DefaultDeadline = 10 * time.Second

// Route is one route of the configuration in the form that entries use for each request.
type Route struct {
	Name   string
	Host   string // lower case; empty matches every host
	Path   string // prefix without a slash at its end; empty matches every path
	Below  bool   // matches only paths that go on with a slash after Path
	Access config.Access
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to; 0 is no bound.
	MaxAttempts int
	// Objective is the time within which an answer is of full use; 0 is the deadline.
	Objective time.Duration
	// Deadline bounds a request from its arrival to the last byte of its answer's header.
	Deadline time.Duration

	service    string
	split      []config.SplitPart
	weights    float64 // sum of the split's weights
	teams      map[string]bool
	repeatable map[string]bool
	idempotent *bool
}

// Pick returns the service of one request. A split route draws it by weight.
func (r *Route) Pick(rnd *rand.Rand) string {
	if len(r.split) == 0 {
		return r.service
	}
	at := rnd.Float64() * r.weights
	for _, part := range r.split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return r.split[len(r.split)-1].Service
}

// Services returns the services that the route's requests may go to.
func (r *Route) Services() []string {
	if len(r.split) == 0 {
		return []string{r.service}
	}
	names := map[string]bool{}
	for _, part := range r.split {
		names[part.Service] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// AllowsTeam tells whether the team may use the route.
func (r *Route) AllowsTeam(team string) bool {
	return len(r.teams) == 0 || r.teams[team]
}

// Repeatable tells whether requests with the method may be repeated.
func (r *Route) Repeatable(method string) bool {
	if r.idempotent != nil {
		return *r.idempotent
	}
	return r.repeatable[method]
}

// Table finds the route of a request. It does not change after NewTable.
type Table struct {
	hosts map[string]map[string]*Route // host -> path prefix -> route
}

// NewTable builds the route table of a valid document. Of two routes with equal host and path, the one whose name
// sorts first is kept.
func NewTable(doc *config.Document) *Table {
	t := &Table{hosts: make(map[string]map[string]*Route)}
	names := make([]string, 0, len(doc.Routes))
	for name := range doc.Routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.add(newRoute(name, doc.Routes[name]))
	}
	return t
}

func newRoute(name string, c config.Route) *Route {
	r := &Route{
		Name:        name,
		Host:        strings.ToLower(c.Host),
		Path:        strings.TrimRight(c.Path, "/"),
		Below:       c.Below,
		Access:      c.Access,
		Deadline:    c.Deadline.Std(),
		Priority:    c.Priority,
		MaxAttempts: c.MaxAttempts,
		Objective:   c.Objective.Std(),
		service:     c.Service,
		split:       c.Split,
		teams:       set(c.Teams),
		repeatable:  set(c.RepeatableMethods),
		idempotent:  c.Idempotent,
	}
	for _, part := range c.Split {
		r.weights += part.Weight
	}
	if r.Deadline <= 0 {
		r.Deadline = DefaultDeadline
	}
	if c.RepeatableMethods == nil {
		r.repeatable = set([]string{"GET", "HEAD", "OPTIONS"})
	}
	return r
}

func (t *Table) add(r *Route) {
	paths := t.hosts[r.Host]
	if paths == nil {
		paths = make(map[string]*Route)
		t.hosts[r.Host] = paths
	}
	key := r.Path
	if r.Below {
		key += "/"
	}
	if paths[key] == nil {
		paths[key] = r
	}
}

// Match returns the route of a request. A route for exactly this host goes before routes for every host; among the
// routes of a host, the longest prefix that ends at a segment boundary wins. The host may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	if r, ok := longestPrefix(t.hosts[hostName(host)], path); ok {
		return r, true
	}
	return longestPrefix(t.hosts[""], path)
}

// longestPrefix looks up each prefix of the path, so its cost depends on the depth of the path and not on the number
// of routes.
func longestPrefix(paths map[string]*Route, path string) (*Route, bool) {
	if len(paths) == 0 {
		return nil, false
	}
	prefix := path
	for {
		// A key with a slash at its end belongs to a route for the paths below it.
		if strings.HasSuffix(prefix, "/") {
			if r := paths[prefix]; r != nil {
				return r, true
			}
		}
		prefix = strings.TrimSuffix(prefix, "/")
		if r := paths[prefix]; r != nil {
			return r, true
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil, false
		}
		prefix = prefix[:cut+1]
	}
}

func hostName(host string) string {
	if strings.HasPrefix(host, "[") {
		if end := strings.IndexByte(host, ']'); end > 0 {
			host = host[:end+1]
		}
	} else if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

func set(items []string) map[string]bool {
	m := make(map[string]bool, len(items))
	for _, item := range items {
		m[item] = true
	}
	return m
}
