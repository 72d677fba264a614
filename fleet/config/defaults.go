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
	// DefaultQueuePerSlot is the default of Queue.Length, in waiting requests for each slot of the service.
	DefaultQueuePerSlot = 4
)

// defaultRepeatableMethods are the methods that RFC 9110 defines as safe, except TRACE.
var defaultRepeatableMethods = []string{"GET", "HEAD", "OPTIONS"}

// SetDefaults sets the fields that are missing from the document to their defaults and creates missing maps.
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

// SetDefaults sets the fields that are missing from the entries in the change to their defaults.
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
	normalizeEmpty(&s.Domains)
	if s.Concurrency == ConcurrencyRamp {
		s.Concurrency = ""
	}
	setDefault(&s.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&s.ProbePath, DefaultProbePath)
	setDefault(&s.Ramp.InitialSlots, DefaultInitialSlots)
	setDefault(&s.Ramp.SuccessesPerSlot, DefaultSuccessesPerSlot)
	setDefault(&s.Queue.Length, DefaultQueuePerSlot*s.Slots)
	setDefault(&s.Queue.TeamPercent, DefaultQueueTeamPercent)
	setDefault(&s.Queue.MaxWait, DefaultQueueMaxWait)
	if s.Placement == PlacementTwoChoices {
		s.Placement = ""
	}
	if s.Shares == SharesNone {
		s.Shares = ""
	}
	return s
}

func (r Route) withDefaults() Route {
	normalizeEmpty(&r.Teams)
	setDefault(&r.Deadline, DefaultDeadline)
	if r.RepeatableMethods == nil {
		r.RepeatableMethods = defaultRepeatableMethods
	}
	return r
}

func (t Team) withDefaults() Team {
	normalizeEmpty(&t.KeyHashes)
	return t
}

// normalizeEmpty sets an empty list to nil, as if it were missing, so that Diff does not report a difference.
func normalizeEmpty(list *[]string) {
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
