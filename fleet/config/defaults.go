package config

import "time"

// Defaults of optional fields.
const (
	DefaultConnectTimeout   = Duration(250 * time.Millisecond)
	DefaultDeadline         = Duration(10 * time.Second)
	DefaultInitialSlots     = 1
	DefaultSuccessesPerSlot = 10
	DefaultQueueTeamPercent = 50
	DefaultQueueMaxWait     = Duration(time.Second)
	DefaultProbePath        = "/healthz"
	// DefaultQueuePerSlot is the number of waiting requests for each slot.
	DefaultQueuePerSlot = 4
)

// defaultRepeatableMethods are the methods that RFC 9110 defines as safe, without TRACE.
var defaultRepeatableMethods = []string{"GET", "HEAD", "OPTIONS"}

// SetDefaults fills fields that are left out and creates missing maps.
func (d *Document) SetDefaults() {
	d.initMaps()
	for name, service := range d.Services {
		d.Services[name] = service.withDefaults()
	}
	for name, route := range d.Routes {
		d.Routes[name] = route.withDefaults()
	}
	for name, team := range d.Teams {
		d.Teams[name] = team.withDefaults()
	}
}

func (d *Document) initMaps() {
	initMap(&d.Domains)
	initMap(&d.Services)
	initMap(&d.Routes)
	initMap(&d.Teams)
	initMap(&d.Operators)
}

// SetDefaults fills fields that are left out of the entries that the change sets.
func (c *Change) SetDefaults() {
	for name, service := range c.Services.Set {
		c.Services.Set[name] = service.withDefaults()
	}
	for name, route := range c.Routes.Set {
		c.Routes.Set[name] = route.withDefaults()
	}
	for name, team := range c.Teams.Set {
		c.Teams.Set[name] = team.withDefaults()
	}
}

func (s Service) withDefaults() Service {
	dropEmpty(&s.Domains)
	setDefault(&s.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&s.ProbePath, DefaultProbePath)
	setDefault(&s.Ramp.InitialSlots, DefaultInitialSlots)
	setDefault(&s.Ramp.SuccessesPerSlot, DefaultSuccessesPerSlot)
	setDefault(&s.Queue.Length, DefaultQueuePerSlot*s.Slots)
	setDefault(&s.Queue.TeamPercent, DefaultQueueTeamPercent)
	setDefault(&s.Queue.MaxWait, DefaultQueueMaxWait)
	return s
}

func (r Route) withDefaults() Route {
	dropEmpty(&r.Teams)
	setDefault(&r.Deadline, DefaultDeadline)
	if r.RepeatableMethods == nil {
		r.RepeatableMethods = defaultRepeatableMethods
	}
	return r
}

func (t Team) withDefaults() Team {
	dropEmpty(&t.KeyHashes)
	return t
}

// dropEmpty makes an empty list equal to one that is left out, so that Diff does not report it.
func dropEmpty(list *[]string) {
	if len(*list) == 0 {
		*list = nil
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func initMap[T any](m *map[string]T) {
	if *m == nil {
		*m = map[string]T{}
	}
}
