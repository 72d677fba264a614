// Package config defines the fleet configuration document. It merges a base file and a site overlay into a document,
// validates documents, and computes the changes between them.
package config

// Access defines which callers may use a route.
type Access string

const (
	// AccessOpen routes accept callers on the caller listener that present a team's key.
	AccessOpen Access = "open"
	// AccessPublic routes accept callers on the caller listener without a key. Their requests count towards no team's
	// rate.
	AccessPublic Access = "public"
	// AccessInternal routes accept only backend servers, on the local listener of their VM.
	AccessInternal Access = "internal"
)

// Role defines what an operator may do.
type Role string

const (
	// RoleViewer may read state.
	RoleViewer Role = "viewer"
	// RoleOperator may also change the configuration, keys and the status of failure domains.
	RoleOperator Role = "operator"
	// RoleAdmin may also change operators and the members of the control group, and read and restore snapshots.
	RoleAdmin Role = "admin"
)

// Document is one complete fleet configuration. Maps are keyed by name.
type Document struct {
	Domains   map[string]Domain   `json:"domains"`
	Services  map[string]Service  `json:"services"`
	Routes    map[string]Route    `json:"routes"`
	Teams     map[string]Team     `json:"teams"`
	Operators map[string]Operator `json:"operators,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	// Region is the name of the region to which the failure domain belongs.
	Region string `json:"region"`
}

// Service is a set of equivalent backend servers.
type Service struct {
	// Domains are the failure domains in which the service runs; empty means all.
	Domains []string `json:"domains,omitempty"`
	// Slots is the number of requests that one backend server may run at once.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections to one backend server.
	Connections int `json:"connections"`
	// FloorPercent is the share of the announced capacity, in percent, that must stay in service when backend servers
	// are ejected or, unless forced, a failure domain is taken out.
	FloorPercent int `json:"floorPercent"`
	// Ramp describes how the load on a cold backend server increases.
	Ramp Ramp `json:"ramp"`
	// Queue limits the requests that wait for one backend server.
	Queue Queue `json:"queue"`
	// Concurrency is how the number of requests that one backend server runs at once is limited: ConcurrencyRamp or
	// ConcurrencyAdaptive. Empty means ConcurrencyRamp. SetDefaults keeps it empty, because older members of the
	// control group refuse documents with this field.
	Concurrency string `json:"concurrency,omitempty"`
	// ConnectTimeout limits the time to open a connection to a backend server. Default: 250ms.
	ConnectTimeout Duration `json:"connectTimeout,omitempty"`
	// ResponseTimeout limits the wait for the response headers of a backend server. Default: the route's deadline.
	ResponseTimeout Duration `json:"responseTimeout,omitempty"`
	// ProbePath is the path that probes of a suspect or ejected backend server request. Default: "/healthz".
	ProbePath string `json:"probePath,omitempty"`
	// NestedCalls is true if other services call this service while they run a request.
	NestedCalls bool `json:"nestedCalls,omitempty"`
	// Placement is how entries choose the VM for a request. Default: "", the same as PlacementTwoChoices. The default is
	// not written into documents, so that builds that do not know the field can read them.
	Placement Placement `json:"placement,omitempty"`
	// HeldBytes limits the bytes of the bodies of the requests that run on one backend server at once. Default: 0, no limit. The
	// default is not written into documents, so that builds that do not know the field can read them.
	HeldBytes int `json:"heldBytes,omitempty"`
	// Shares is who divides the capacity of the service while it is short of it: SharesNone or SharesFleet. Empty means
	// SharesNone. SetDefaults keeps it empty, as for Placement.
	Shares string `json:"shares,omitempty"`
}

// Values of Service.Shares.
const (
	// SharesNone leaves it to the gates, each on its own.
	SharesNone = "none"
	// SharesFleet divides the capacity among teams and priorities over the whole fleet, at the entries.
	SharesFleet = "fleet"
)

// Values of Service.Concurrency.
const (
	// ConcurrencyRamp starts a cold backend server with few slots and adds others with successful requests; see Ramp.
	ConcurrencyRamp = "ramp"
	// ConcurrencyAdaptive starts with all announced slots and lowers their number on evidence of overload.
	ConcurrencyAdaptive = "adaptive"
)

// Placement is how entries choose the VM for a request.
type Placement string

const (
	// PlacementTwoChoices chooses the VM with the lower load of two random ones.
	PlacementTwoChoices Placement = "two-choices"
	// PlacementLeastCompletion chooses the VM at which the request is expected to end first, of two random ones, by the
	// likely cost of the request and the work at the VM.
	PlacementLeastCompletion Placement = "least-completion"
)

// Ramp describes how the load on a cold backend server increases.
type Ramp struct {
	// InitialSlots is the number of slots with which a cold backend server starts. Default: 1.
	InitialSlots int `json:"initialSlots,omitempty"`
	// SuccessesPerSlot is the number of successful requests at normal latency after which one slot is added. Default:
	// 10.
	SuccessesPerSlot int `json:"successesPerSlot,omitempty"`
	// Rate limits the load on a cold backend server, in requests a second. If it is set, slots are not added one by
	// one: a cold backend server uses all its slots, but at most at this rate, until Time is over. Default: 0, no
	// limit.
	Rate float64 `json:"rate,omitempty"`
	// Time is how long a backend server stays cold after its start, unless it announces that time itself. It is valid
	// only with Rate.
	Time Duration `json:"time,omitempty"`
}

// Queue limits the requests that wait for one backend server.
type Queue struct {
	// Length is the maximum number of waiting requests. Default: 4 times the slots.
	Length int `json:"length,omitempty"`
	// TeamPercent is the share of the queue, in percent, that one team may use. Default: 50.
	TeamPercent int `json:"teamPercent,omitempty"`
	// MaxWait is the time after which a waiting request is refused without having run. Default: 1s.
	MaxWait Duration `json:"maxWait,omitempty"`
}

// Route maps a host and path prefix to a service.
type Route struct {
	// Host is the host of the request without the port; empty matches every host.
	Host string `json:"host,omitempty"`
	// Path is a path prefix that matches whole segments: "/rounds" matches "/rounds" and "/rounds/1", not "/roundsX".
	Path string `json:"path"`
	// Below limits the route to paths below Path: "/rounds/1" and "/rounds/", but not "/rounds".
	Below bool `json:"below,omitempty"`
	// Service is the name of the service that runs the request; it is empty if Split is set.
	Service string `json:"service,omitempty"`
	// Split distributes the requests among several services by weight.
	Split []SplitPart `json:"split,omitempty"`
	// Access defines which callers may use the route.
	Access Access `json:"access"`
	// Teams are the teams that may use the route; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// RepeatableMethods are the methods whose requests may be sent again. Default: GET, HEAD and OPTIONS. An empty list
	// means none, so the JSON form includes an empty list and omits only nil.
	RepeatableMethods []string `json:"repeatableMethods,omitzero"`
	// Idempotent sets for all methods whether requests may be sent again. Default: nil, RepeatableMethods applies.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Priority orders the route's waiting requests; 0 is the most urgent. The priority of the team overrides it.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts limits the number of backend servers to which one request is sent. Default: 0, no limit by the route.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Objective is the time within which a response is of full use to the caller. Default: 0, the deadline.
	Objective Duration `json:"objective,omitempty"`
	// Deadline limits the time from the arrival of a request to the last byte of its response header. Default: 10s.
	Deadline Duration `json:"deadline,omitempty"`
}

// SplitPart is one service of a split route.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is the service's share of the requests relative to the other parts.
	Weight float64 `json:"weight"`
}

// Team is a tenant. Its callers authenticate with keys.
type Team struct {
	// Unlimited exempts the team from Rate and Burst.
	Unlimited bool `json:"unlimited,omitempty"`
	// Priority orders the team's waiting requests and overrides the route's priority. Default: the route's priority.
	Priority *int `json:"priority,omitempty"`
	// Rate is the sustained rate that the team may use in the whole fleet, in requests a second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests by which the team may exceed Rate at once.
	Burst int `json:"burst"`
	// KeyHashes are lower-case hex SHA-256 sums of the team's keys.
	KeyHashes []string `json:"keyHashes,omitempty"`
}

// Operator is a person or program that may use the operators' API.
type Operator struct {
	Role Role `json:"role"`
	// CredentialHash is the lower-case hex SHA-256 sum of the operator's credential.
	CredentialHash string `json:"credentialHash"`
}
