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

// DefaultDeadline is the deadline of routes that configure none.
const DefaultDeadline = 10 * time.Second

// Route is a configured route in the form that entries use for each request.
type Route struct {
	Name   string
	Host   string // lower case; empty matches every host
	Path   string // normalized prefix without a trailing slash; empty matches every path
	Below  bool   // matches only paths that continue with a slash after Path
	Access config.Access
	// Priority is the configured priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that a request is sent to; 0 means no limit of the route.
	MaxAttempts int
	// Objective is the latency objective: the time from the arrival of a request within which its response is fully
	// useful. 0 means the deadline.
	Objective time.Duration
	// Deadline is the maximum time from the arrival of a request to the end of the response header.
	Deadline time.Duration

	service    string
	split      []config.SplitPart
	weights    float64 // sum of the split's weights
	teams      map[string]bool
	repeatable map[string]bool
	idempotent *bool
}

// PickService returns the service for a request. A route with a split chooses one at random by weight.
func (r *Route) PickService(rnd *rand.Rand) string {
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

// IsSplit reports whether the route distributes its requests among several services.
func (r *Route) IsSplit() bool { return len(r.split) > 0 }

// Services returns the names of the services that the route can choose. With a split, they are sorted and without
// duplicates.
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

// AllowsTeam reports whether the team may use the route. A route without configured teams is open to all.
func (r *Route) AllowsTeam(team string) bool {
	return len(r.teams) == 0 || r.teams[team]
}

// Repeatable reports whether a request with the method may run more than once. The route's idempotent setting takes
// precedence over its list of repeatable methods.
func (r *Route) Repeatable(method string) bool {
	if r.idempotent != nil {
		return *r.idempotent
	}
	return r.repeatable[method]
}

// Table finds the route of a request. It is immutable.
type Table struct {
	hosts map[string]map[string]*Route // host -> path prefix -> route
}

// NewTable builds the route table of a valid document. Of two routes with the same host and path, it uses the one
// whose name sorts first.
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
		Path:        normalizedPrefix(c.Path),
		Below:       c.Below,
		Access:      c.Access,
		Deadline:    c.Deadline.Std(),
		Priority:    c.Priority,
		MaxAttempts: c.MaxAttempts,
		Objective:   c.Objective.Std(),
		service:     c.Service,
		split:       c.Split,
		teams:       toSet(c.Teams),
		repeatable:  toSet(c.RepeatableMethods),
		idempotent:  c.Idempotent,
	}
	for _, part := range c.Split {
		r.weights += part.Weight
	}
	if r.Deadline <= 0 {
		r.Deadline = DefaultDeadline
	}
	if c.RepeatableMethods == nil {
		r.repeatable = toSet([]string{"GET", "HEAD", "OPTIONS"})
	}
	return r
}

// normalizedPrefix returns a prefix in the form that paths are compared in, without a trailing slash. A prefix with a bad escape,
// which an earlier build may have stored, stays as it is and matches nothing.
func normalizedPrefix(prefix string) string {
	if normalized, err := config.NormalizePath(prefix); err == nil {
		prefix = normalized
	}
	return strings.TrimRight(prefix, "/")
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

// Match returns the route of a request, and false if there is none. Routes for exactly this host take precedence over
// routes for every host; among the routes of a host, the longest prefix that ends at a segment boundary wins. The
// host may include a port; the path must be normalized.
func (t *Table) Match(host, path string) (*Route, bool) {
	if r, ok := longestPrefix(t.hosts[hostName(host)], path); ok {
		return r, true
	}
	return longestPrefix(t.hosts[""], path)
}

// longestPrefix returns the route with the longest matching prefix. It looks up each prefix of the path, so the cost
// depends on the number of path segments and not on the number of routes.
func longestPrefix(paths map[string]*Route, path string) (*Route, bool) {
	if len(paths) == 0 {
		return nil, false
	}
	prefix := path
	for {
		// A key with a trailing slash belongs to a route that matches only the paths below it.
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

// hostName returns the host in lower case, without a port or a trailing dot.
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

func toSet(items []string) map[string]bool {
	m := make(map[string]bool, len(items))
	for _, item := range items {
		m[item] = true
	}
	return m
}
