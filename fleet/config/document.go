// Package config holds the fleet configuration document: its types, how a base file and a site overlay become one
// document, how a document is checked, and how two documents differ.
package config

// Access tells who may use a route.
type Access string

const (
	// AccessOpen routes accept callers on the caller listener with a team's key.
	AccessOpen Access = "open"
	// AccessPublic routes accept callers on the caller listener without a key. No team's rate is charged.
	AccessPublic Access = "public"
	// AccessInternal routes accept only backend servers, on the local listener of their VM.
	AccessInternal Access = "internal"
)

// Role is what an operator may do.
type Role string

const (
	// RoleViewer may read state.
	RoleViewer Role = "viewer"
	// RoleOperator may also change configuration, keys and failure domain status.
	RoleOperator Role = "operator"
	// RoleAdmin may also change control membership and restore snapshots.
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
	// Region is the region that the failure domain lies in.
	Region string `json:"region"`
}

// Service is a set of equivalent backend servers.
type Service struct {
	// Domains are the failure domains that the service lives in; empty means all.
	Domains []string `json:"domains,omitempty"`
	// Slots is the number of requests one backend server may run at once.
	Slots int `json:"slots"`
	// Connections is the limit of open connections to one backend server.
	Connections int `json:"connections"`
	// FloorPercent is the share of announced capacity, in percent, that ejection must leave in service.
	FloorPercent int `json:"floorPercent"`
	// Ramp describes how a cold backend server receives more work.
	Ramp Ramp `json:"ramp"`
	// Queue bounds the waiting requests in front of one backend server.
	Queue Queue `json:"queue"`
	// ConnectTimeout bounds opening a connection to a backend server. Default 250ms.
	ConnectTimeout Duration `json:"connectTimeout,omitempty"`
	// ResponseTimeout bounds the wait for response headers of a backend server. Default: the route's deadline.
	ResponseTimeout Duration `json:"responseTimeout,omitempty"`
	// ProbePath is what a probe of a suspected or ejected backend server requests. Default "/healthz".
	ProbePath string `json:"probePath,omitempty"`
	// NestedCalls is true where running requests of other services call this service.
	NestedCalls bool `json:"nestedCalls,omitempty"`
}

// Ramp describes the growth of a cold backend server's concurrency.
type Ramp struct {
	// InitialSlots is the concurrency of a cold backend server. Default 1.
	InitialSlots int `json:"initialSlots,omitempty"`
	// SuccessesPerSlot is the number of successes at normal latency that add one slot. Default 10.
	SuccessesPerSlot int `json:"successesPerSlot,omitempty"`
	// Rate is the number of requests a second that a cold backend server bears. Where it is set, it replaces the growth
	// by slots: a cold backend server uses all its slots at this rate until Time is over. Default 0, no rate.
	Rate float64 `json:"rate,omitempty"`
	// Time is how long a backend server stays cold after its start, unless it tells so itself. It needs Rate.
	Time Duration `json:"time,omitempty"`
}

// Queue bounds the waiting requests in front of one backend server.
type Queue struct {
	// Length is the number of waiting requests. Default 4 times the slots.
	Length int `json:"length,omitempty"`
	// TeamPercent is the share of the queue, in percent, that one team may fill. Default 50.
	TeamPercent int `json:"teamPercent,omitempty"`
	// MaxWait is the longest wait before a request is refused as not run. Default 1s.
	MaxWait Duration `json:"maxWait,omitempty"`
}

// Route maps a host and path prefix to a service.
type Route struct {
	// Host is the request's host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// Path is a path prefix that ends at a segment boundary, for example "/rounds".
	Path string `json:"path"`
	// Below limits the route to paths below Path: "/rounds/1" and "/rounds/", but not "/rounds".
	Below bool `json:"below,omitempty"`
	// Service is the name of the service that runs the request; empty where Split is set.
	Service string `json:"service,omitempty"`
	// Split divides the requests among services by weight.
	Split []SplitPart `json:"split,omitempty"`
	// Access tells who may use the route.
	Access Access `json:"access"`
	// Teams are the teams that may use the route; empty means all teams.
	Teams []string `json:"teams,omitempty"`
	// RepeatableMethods are the methods whose requests may be repeated. Default GET, HEAD, OPTIONS; an empty list means
	// none, which is why the JSON form keeps it.
	RepeatableMethods []string `json:"repeatableMethods,omitzero"`
	// Idempotent tells for all methods whether requests may be repeated. Default: RepeatableMethods decide.
	Idempotent *bool `json:"idempotent,omitempty"`
	// Priority ranks the route's requests where work waits; 0 is the most urgent. A team's priority goes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the backend servers that one request is sent to. Default 0, no bound of the route.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Objective is the time within which an answer is of full use to the caller. Default 0, the deadline.
	Objective Duration `json:"objective,omitempty"`
	// Deadline bounds a request from its arrival to the last byte of its answer's header. Default 10s.
	Deadline Duration `json:"deadline,omitempty"`
}

// SplitPart is one service of a split route.
type SplitPart struct {
	Service string `json:"service"`
	// Weight is the service's share of the requests relative to the other parts.
	Weight float64 `json:"weight"`
}

// Team is a tenant whose callers present keys.
type Team struct {
	// Unlimited teams have neither rate nor burst.
	Unlimited bool `json:"unlimited,omitempty"`
	// Priority ranks the team's requests and goes before the route's priority. Default: the route's priority.
	Priority *int `json:"priority,omitempty"`
	// Rate is the sustained rate over the whole fleet, in requests a second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may exceed the rate at once.
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
