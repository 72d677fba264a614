// Package loadgen sends an open-loop load to the callers' listeners of fleets and compares how it ends. Load and experiment
// are its commands.
package loadgen

import (
	"bytes"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Limits of a Spec.
const (
	maxRate     = 10_000
	maxDuration = time.Hour
	maxRounds   = 100
	maxBody     = 16 << 20
	// maxRequests limits the requests of one measurement, whose arrivals are kept in memory: 24 MB of them.
	maxRequests = 1_000_000
	// maxKinds and maxTeams bound the histograms of a measurement in memory, each of which takes about 0.2 MB.
	maxKinds = 50
	maxTeams = 200
	// minReadRate bounds Kind.ReadRate from below, so that the pauses between two reads stay below a second.
	minReadRate = readChunk
	// maxBurstFactor bounds Burst.Factor; customers' teams send five to seven times their usual load.
	maxBurstFactor = 1000
	// DefaultTimeout is the default of Kind.Timeout.
	DefaultTimeout = 10 * time.Second
	// DefaultReadyTimeout is the default of Target.ReadyTimeout.
	DefaultReadyTimeout = 30 * time.Second
)

// Spec describes a load and the fleets that get it.
type Spec struct {
	// Seed sets the arrivals; each target gets the same ones.
	Seed uint64 `yaml:"seed"`
	// Duration is how long requests are sent. Requests of the first WarmUp of it are not counted.
	Duration time.Duration `yaml:"duration"`
	WarmUp   time.Duration `yaml:"warmUp"`
	// Rounds is how often an experiment measures each target. Default 3.
	Rounds int    `yaml:"rounds"`
	Kinds  []Kind `yaml:"requests"`
	// Keys are the keys of teams, which their requests present. Fleets that the experiment starts issue the others.
	Keys    map[string]string `yaml:"keys"`
	Targets []Target          `yaml:"targets"`
	// Fleet is the fleet that the experiment starts for each measurement; nil if the targets have URLs.
	Fleet *Fleet `yaml:"fleet"`
}

// Kind is one kind of request.
type Kind struct {
	Name   string `yaml:"name"`
	Method string `yaml:"method"`
	// Path may contain {n}, which is replaced by the number of the request.
	Path    string            `yaml:"path"`
	Headers map[string]string `yaml:"headers"`
	// Body is the size of the body in bytes. With BodyMax it is the mean of an exponential distribution that BodyMax limits.
	Body    int `yaml:"body"`
	BodyMax int `yaml:"bodyMax"`
	// Rate is the mean number of requests per second, of each team if there are Teams; arrivals are random (Poisson).
	Rate  float64  `yaml:"rate"`
	Teams []string `yaml:"teams"`
	// Bursts multiply the rate for a time.
	Bursts []Burst `yaml:"bursts"`
	// ReadRate is the number of bytes per second at which the caller reads the response. Default: 0, as fast as it arrives.
	ReadRate int `yaml:"readRate"`
	// From and For limit the time of the arrivals, for bursts. Default: the whole duration.
	From time.Duration `yaml:"from"`
	For  time.Duration `yaml:"for"`
	// Objective is the time until the last byte of a response that counts as in time. Default: Timeout.
	Objective time.Duration `yaml:"objective"`
	// Timeout is how long the caller waits.
	Timeout time.Duration `yaml:"timeout"`
}

// Burst multiplies the rate of a kind of request for a time.
type Burst struct {
	// Team is the team whose rate is multiplied. Default: all teams.
	Team string `yaml:"team"`
	// Factor is the rate during the burst, relative to the usual one.
	Factor float64       `yaml:"factor"`
	From   time.Duration `yaml:"from"`
	For    time.Duration `yaml:"for"`
}

// Target is a fleet that gets the load.
type Target struct {
	Name string `yaml:"name"`
	// Config changes the configuration of Spec.Fleet, as an overlay of `rosemaryline apply` does.
	Config map[string]any `yaml:"config"`
	// Daemon is the rosemarylined binary of Spec.Fleet. Default: that of the command line.
	Daemon string `yaml:"daemon"`
	// URL is the address of a fleet that the experiment does not start itself, or starts with Command.
	URL string `yaml:"url"`
	// Command starts the fleet before each measurement of an experiment; empty if it runs already. It is ended with SIGTERM.
	Command []string `yaml:"command"`
	// Ready is a URL that responds with status 200 once the fleet is ready. Default: URL, with any status.
	Ready        string        `yaml:"ready"`
	ReadyTimeout time.Duration `yaml:"readyTimeout"`

	against []int // indexes of the targets with which this one is compared; nil: the first one
}

// Load reads and checks a file. Errors name the line and the field.
func Load(path string) (*Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read load file")
	}
	spec, err := Parse(data)
	return spec, errors.Wrap(err, path)
}

// Parse parses and checks the text of a load file.
func Parse(data []byte) (*Spec, error) {
	if line, field, err := checkDurations(data); err != nil {
		return nil, errors.Wrapf(err, "line %d, field %s", line, field)
	}
	spec := &Spec{}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(spec); err != nil {
		return nil, errors.New(yaml.FormatError(err, false, true))
	}
	spec.setDefaults()
	if field, err := spec.check(); err != nil {
		return nil, errors.Wrapf(err, "line %d, field %s", lineOf(data, field), field)
	}
	return spec, nil
}

func (s *Spec) setDefaults() {
	if s.Rounds == 0 {
		s.Rounds = 3
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if k.Method == "" {
			k.Method = http.MethodGet
		}
		if k.Timeout == 0 {
			k.Timeout = DefaultTimeout
		}
		if k.Objective == 0 {
			k.Objective = k.Timeout
		}
		if k.For == 0 {
			k.For = s.Duration - k.From
		}
	}
	if s.Fleet != nil {
		s.Fleet.setDefaults(s.Duration)
	}
	for i := range s.Targets {
		if s.Targets[i].ReadyTimeout == 0 {
			s.Targets[i].ReadyTimeout = DefaultReadyTimeout
		}
	}
}

// check returns the first field with a wrong value, and the reason.
func (s *Spec) check() (field string, err error) {
	switch {
	case s.Duration <= 0 || s.Duration > maxDuration:
		return "duration", errors.Errorf("must be above 0 and at most %s", maxDuration)
	case s.WarmUp < 0 || s.WarmUp >= s.Duration:
		return "warmUp", errors.New("must be shorter than the duration")
	case s.Rounds < 1 || s.Rounds > maxRounds:
		return "rounds", errors.Errorf("must be 1 to %d", maxRounds)
	case len(s.Kinds) == 0:
		return "requests", errors.New("at least one kind of request is needed")
	case len(s.Kinds) > maxKinds:
		return "requests", errors.Errorf("at most %d kinds of requests are allowed", maxKinds)
	case len(s.teamNames()) > maxTeams:
		return "requests", errors.Errorf("at most %d teams are allowed", maxTeams)
	case len(s.Targets) == 0:
		return "targets", errors.New("at least one target is needed")
	}
	names := map[string]bool{}
	for i := range s.Kinds {
		if field, err := s.Kinds[i].check(s.Duration, names); err != nil {
			return fmt.Sprintf("requests[%d].%s", i, field), err
		}
	}
	if s.expectedRequests() > maxRequests {
		return "requests", errors.Errorf("%.0f requests are expected, at most %d are allowed", s.expectedRequests(), maxRequests)
	}
	names = map[string]bool{}
	for i := range s.Targets {
		if field, err := s.Targets[i].check(names, s.Fleet != nil); err != nil {
			return fmt.Sprintf("targets[%d].%s", i, field), err
		}
	}
	if s.Fleet == nil {
		return "", nil
	}
	if field, err := s.Fleet.check(s.Duration); err != nil {
		return "fleet." + field, err
	}
	for i := range s.Targets {
		if _, field, err := s.document(i); err != nil {
			return field, err
		}
	}
	return "", nil
}

// expectedRequests returns the mean number of requests of one measurement.
func (s *Spec) expectedRequests() float64 {
	sum := 0.0
	for i := range s.Kinds {
		k := &s.Kinds[i]
		sum += k.Rate * k.For.Seconds() * float64(len(k.teams()))
		for _, b := range k.Bursts {
			sum += k.Rate * (b.Factor - 1) * b.For.Seconds() * float64(len(k.burstTeams(&b)))
		}
	}
	return sum
}

func (k *Kind) check(duration time.Duration, names map[string]bool) (field string, err error) {
	duplicate := names[k.Name]
	names[k.Name] = true
	switch {
	case k.Name == "" || duplicate:
		return "name", errors.New("must be set and differ from the others")
	case k.Path == "" || k.Path[0] != '/':
		return "path", errors.New("must begin with a slash")
	case !(k.Rate > 0 && k.Rate <= maxRate):
		return "rate", errors.Errorf("must be above 0 and at most %d per second", maxRate)
	case k.Body < 0 || k.Body > maxBody:
		return "body", errors.Errorf("must be 0 to %d bytes", maxBody)
	case k.BodyMax != 0 && (k.BodyMax < k.Body || k.BodyMax > maxBody):
		return "bodyMax", errors.Errorf("must be the body or more, and at most %d bytes", maxBody)
	case k.ReadRate != 0 && k.ReadRate < minReadRate:
		return "readRate", errors.Errorf("must be at least %d bytes per second", minReadRate)
	case k.From < 0 || k.From >= duration:
		return "from", errors.New("must lie within the duration")
	case k.For <= 0 || k.From+k.For > duration:
		return "for", errors.New("must end within the duration")
	case k.Timeout <= 0:
		return "timeout", errors.New("must be above 0")
	case k.Objective <= 0 || k.Objective > k.Timeout:
		return "objective", errors.New("must be above 0 and at most the timeout")
	}
	if _, err := http.NewRequest(k.Method, "http://host"+k.Path, nil); err != nil {
		return "method", err
	}
	teams := map[string]bool{}
	for i, team := range k.Teams {
		if team == "" || teams[team] {
			return fmt.Sprintf("teams[%d]", i), errors.New("must be set and differ from the others")
		}
		teams[team] = true
	}
	for i := range k.Bursts {
		if field, err := k.Bursts[i].check(k, teams); err != nil {
			return fmt.Sprintf("bursts[%d].%s", i, field), err
		}
	}
	return "", nil
}

func (b *Burst) check(k *Kind, teams map[string]bool) (field string, err error) {
	switch {
	case b.Team != "" && !teams[b.Team]:
		return "team", errors.Errorf("%q is none of the teams of this kind of request", b.Team)
	case !(b.Factor > 1 && b.Factor <= maxBurstFactor):
		return "factor", errors.Errorf("must be above 1 and at most %d", maxBurstFactor)
	case b.From < k.From:
		return "from", errors.New("must not be before the first request of this kind")
	case b.For <= 0 || b.From+b.For > k.From+k.For:
		return "for", errors.New("must be set and end within the time of this kind of request")
	}
	return "", nil
}

// teams returns the teams that send the kind of request; a single empty one if there are none.
func (k *Kind) teams() []string {
	if len(k.Teams) == 0 {
		return []string{""}
	}
	return k.Teams
}

// teamNames returns the names of all teams in order.
func (s *Spec) teamNames() []string {
	var names []string
	for i := range s.Kinds {
		names = append(names, s.Kinds[i].Teams...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// burstTeams returns the teams that a burst concerns.
func (k *Kind) burstTeams(b *Burst) []string {
	if b.Team != "" {
		return []string{b.Team}
	}
	return k.teams()
}

func (t *Target) check(names map[string]bool, ownFleet bool) (field string, err error) {
	duplicate := names[t.Name]
	names[t.Name] = true
	switch {
	case t.Name == "" || duplicate:
		return "name", errors.New("must be set and differ from the others")
	case t.ReadyTimeout < 0:
		return "readyTimeout", errors.New("must be above 0")
	case ownFleet && t.URL != "":
		return "url", errors.New("must not be set, because the file has a fleet")
	case ownFleet && t.Ready != "":
		return "ready", errors.New("must not be set, because the file has a fleet")
	case ownFleet && len(t.Command) > 0:
		return "command", errors.New("must not be set, because the file has a fleet")
	case ownFleet:
		return "", nil
	case t.Config != nil:
		return "config", errors.New("needs a fleet in the file")
	case t.Daemon != "":
		return "daemon", errors.New("needs a fleet in the file")
	}
	for _, u := range []struct{ field, text string }{{"url", t.URL}, {"ready", t.Ready}} {
		parsed, err := url.Parse(u.text)
		if u.field == "ready" && u.text == "" {
			continue
		}
		if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
			return u.field, errors.Errorf("%q is no URL of the form http://host:port", u.text)
		}
	}
	return "", nil
}
