package shares

import "time"

// Report is what one process saw of a service since its former report. Work and demand are in slot time: the time that
// requests hold a slot of a backend server.
type Report struct {
	Service     string `json:"service"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `json:"sequence"`
	// PeriodMs is the time that the report covers.
	PeriodMs int64 `json:"periodMs"`
	// Slots is how many requests the backend servers of the VM may run now. It is 0 without one, while the circuit breaker
	// is open, and while it does not serve.
	Slots float64 `json:"slots,omitempty"`
	// Busy is the mean number of requests that ran in the period.
	Busy float64 `json:"busy,omitempty"`
	// QueuedMs is the slot time of the queued requests.
	QueuedMs int64 `json:"queuedMs,omitempty"`
	// CallsMs is the slot time of the requests that this entry must not refuse because of a share, such as calls of running
	// requests, and that it sent to the service in the period.
	CallsMs int64 `json:"callsMs,omitempty"`
	// Demand is the slot time of the new requests that arrived at this entry, also of those that it refused.
	Demand []Demand `json:"demand,omitempty"`
}

// Demand is the slot time of the requests of one team with one priority.
type Demand struct {
	Team string `json:"team"`
	// Weight is the weight of the team; 0 means 1.
	Weight   float64 `json:"weight,omitempty"`
	Priority int     `json:"priority"`
	WorkMs   int64   `json:"workMs"`
}

// Decision holds what entries may admit. An entry uses it for Config.ValidFor after it sent the report.
type Decision struct {
	Service  string `json:"service"`
	Sequence uint64 `json:"sequence"`
	// Short is false if entries admit everything.
	Short bool `json:"short"`
	// Ranks is sorted by priority.
	Ranks []Rank `json:"ranks,omitempty"`
	// RetryAfterMs is the mean delay for refused requests; 0 means that it is not known.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// Rank holds the shares of the requests with one priority. Shares are from 0 to 1.
type Rank struct {
	Priority int `json:"priority"`
	// Share is the share of the requests of the teams that are not listed.
	Share float64 `json:"share"`
	// Teams are the teams with the lowest shares, at most maxListedTeams, sorted by name.
	Teams []TeamShare `json:"teams,omitempty"`
}

// TeamShare is the share of the requests of one team.
type TeamShare struct {
	Team  string  `json:"team"`
	Share float64 `json:"share"`
}

// Config holds the settings of a Decider or an Admitter. Zero values have defaults.
type Config struct {
	Service string
	// FirstSequence is the sequence of the decisions before the first one. A wall clock in milliseconds makes the decisions of a
	// new owner newer than those of its predecessor.
	FirstSequence uint64
	// Start is when the process became the owner of the service.
	Start time.Duration
	// ValidFor is how long an entry uses a decision after it sent the report. Default: 1.5 s, three reports.
	ValidFor time.Duration
}

// Defaults and limits of Config and of the algorithms.
const (
	// DefaultValidFor tolerates two lost reports.
	DefaultValidFor = 1500 * time.Millisecond
	// MinRetryAfter and MaxRetryAfter limit the delays that refused callers are asked to wait for.
	MinRetryAfter = time.Second
	MaxRetryAfter = 10 * time.Second
)

func (c Config) withDefaults() Config {
	if c.ValidFor <= 0 {
		c.ValidFor = DefaultValidFor
	}
	return c
}
