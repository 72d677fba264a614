package routing

import (
	"sort"
	"strings"
	"time"

	"rosemaryline.dev/fleet/config"
)

// DefaultDeadline applies to routes that set no deadline.
const DefaultDeadline = 10 * time.Second

// Route is one route of the configuration in the form that entries use for each request.
type Route struct {
	Name    string
	Host    string // lower case; empty matches every host
	Path    string // prefix without a slash at its end; empty matches every path
	Service string
	Access  config.Access
	// Deadline bounds a request from its arrival to the last byte of its answer's header.
	Deadline time.Duration

	teams      map[string]bool
	repeatable map[string]bool
}

// AllowsTeam tells whether the team may use the route.
func (r *Route) AllowsTeam(team string) bool {
	return len(r.teams) == 0 || r.teams[team]
}

// Repeatable tells whether requests with the method may be repeated.
func (r *Route) Repeatable(method string) bool {
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
		Name:       name,
		Host:       strings.ToLower(c.Host),
		Path:       strings.TrimRight(c.Path, "/"),
		Service:    c.Service,
		Access:     c.Access,
		Deadline:   c.Deadline.Std(),
		teams:      set(c.Teams),
		repeatable: set(c.RepeatableMethods),
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
	if paths[r.Path] == nil {
		paths[r.Path] = r
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
	prefix := strings.TrimRight(path, "/")
	for {
		if r := paths[prefix]; r != nil {
			return r, true
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil, false
		}
		prefix = prefix[:cut]
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
