package main

import (
	"os"
	"path/filepath"
	"time"

	"rosemaryline.dev/fleet/config"
)

// serviceTime is the time that a healthy stand-in takes for a request.
const serviceTime = 50 * time.Millisecond

// service is a service and its backend servers.
type service struct {
	name    string
	servers int
}

// openRoute is a route that callers use.
type openRoute struct {
	path    string
	service string
	// write is true where half of the requests are POST.
	write bool
	// nested is the path of the internal call that a quarter of the requests cause, or "".
	nested string
	// rules of the configuration, set by load
	teams    []string
	deadline time.Duration
}

// user is one of the users of section 1 of the design page.
type user struct {
	name          string
	files         [2]string
	slots         int
	domainDelay   time.Duration
	clientDelay   time.Duration
	domains       []string
	services      []service
	routes        []openRoute
	teams         []string
	floodTeam     string
	grayService   string
	coldService   string
	doc           *config.Document
	totalTeamRate float64
}

var users = []*user{
	{
		name:        "glashelder",
		files:       [2]string{"glashelder/base.yaml", "glashelder/nl-west.yaml"},
		slots:       5,
		domainDelay: 500 * time.Microsecond,
		clientDelay: 8 * time.Millisecond,
		domains:     []string{"nl-west-a", "nl-west-b", "nl-west-c"},
		services:    []service{{"rondes", 6}, {"planning", 15}, {"incasso", 6}},
		routes: []openRoute{
			{path: "/rounds", service: "rondes"},
			{path: "/bookings", service: "planning", write: true, nested: "/addresses"},
			{path: "/direct-debits", service: "incasso", write: true, nested: "/addresses"},
		},
		teams:       []string{"field-app", "office", "customer-portal", "billing", "partners", "support", "reporting", "payroll"},
		floodTeam:   "customer-portal",
		grayService: "rondes",
		coldService: "rondes",
	},
	{
		name:        "akmola",
		files:       [2]string{"akmola/base.yaml", "akmola/astana.yaml"},
		slots:       7,
		domainDelay: 1400 * time.Microsecond,
		clientDelay: 8 * time.Millisecond,
		domains:     []string{"astana-1", "astana-2", "astana-3", "astana-4"},
		services:    []service{{"preview-desk", 8}, {"proof-room", 17}, {"approval-office", 8}},
		routes: []openRoute{
			{path: "/brochures", service: "preview-desk"},
			{path: "/proofs", service: "proof-room", write: true, nested: "/fonts"},
			{path: "/approvals", service: "approval-office", write: true},
		},
		teams:       []string{"public-readers", "editors", "printers", "translators", "districts", "council", "archive", "press"},
		floodTeam:   "public-readers",
		grayService: "preview-desk",
		coldService: "preview-desk",
	},
}

// load reads the user's configuration files.
func (u *user) load(folder string) error {
	var data [2][]byte
	for i, name := range u.files {
		var err error
		if data[i], err = os.ReadFile(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	doc, err := config.Load(data[0], data[1], u.files)
	if err != nil {
		return err
	}
	u.doc = doc
	for i := range u.routes {
		u.loadRoute(&u.routes[i])
	}
	u.totalTeamRate = 0
	for _, team := range u.teams {
		u.totalTeamRate += doc.Teams[team].Rate
	}
	return nil
}

// loadRoute takes the deadline and the allowed teams from the configuration; an empty list allows all teams.
func (u *user) loadRoute(r *openRoute) {
	for _, rule := range u.doc.Routes {
		if rule.Path != r.path {
			continue
		}
		r.deadline = rule.Deadline.Std()
		r.teams = rule.Teams
	}
	if len(r.teams) == 0 {
		r.teams = u.teams
	}
}

func (u *user) servers() int {
	sum := 0
	for _, s := range u.services {
		sum += s.servers
	}
	return sum
}

// vm is one VM with a process and a backend server.
type vm struct {
	name    string
	domain  int // index in user.domains
	service string
}

// vms spreads the backend servers of each service evenly over the failure domains.
func (u *user) vms() []vm {
	var list []vm
	for _, s := range u.services {
		for i := range s.servers {
			list = append(list, vm{name: vmName(s.name, i), domain: len(list) % len(u.domains), service: s.name})
		}
	}
	return list
}
