package main

import (
	"os"
	"path/filepath"
	"time"

	"rosemaryline.dev/fleet/config"
)

// serviceTime is the time for which a healthy stand-in works on a request.
const serviceTime = 50 * time.Millisecond

// service is a service with the number of its backend servers.
type service struct {
	name    string
	servers int
}

// openRoute is a route with access "open", which callers use with their team's key.
type openRoute struct {
	path    string
	service string
	// write is true if a share of the requests (writeShare) is POST.
	write bool
	// nested is the path of the internal route that a share of the requests (nestedShare) calls, or "".
	nested string
	// teams and deadline come from the configuration; load sets them. teams are the teams that may use the route.
	teams    []string
	deadline time.Duration
}

// user is one of the two users of the fleet that section 1 of the design page describes, with the traffic that its callers
// send.
type user struct {
	name          string
	files         [2]string
	slots         int           // of each backend server
	domainDelay   time.Duration // one way between two failure domains
	clientDelay   time.Duration // one way between a caller and a VM
	domains       []string
	services      []service
	routes        []openRoute
	teams         []string
	floodTeam     string // sends above its rate in a scenario with flood
	grayService   string // service of the backend server that gets gray failures
	coldService   string // service whose backend servers restart in a cold state
	doc           *config.Document
	totalTeamRate float64 // sum of the teams' rates in requests per second
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

// load reads the user's configuration files from folder.
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

// loadRoute sets the deadline and the allowed teams of a route from the configuration. A route without a list of teams
// allows all teams.
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

// servers returns the number of backend servers, and so of VMs.
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

// vms returns the VMs, one per backend server. The backend servers of each service are spread evenly over the failure
// domains.
func (u *user) vms() []vm {
	var list []vm
	for _, s := range u.services {
		for i := range s.servers {
			list = append(list, vm{name: vmName(s.name, i), domain: len(list) % len(u.domains), service: s.name})
		}
	}
	return list
}
