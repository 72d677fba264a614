package config

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of field values.
const (
	maxNameLength  = 63
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueueLength = 100_000
	maxHeldBytes   = 1 << 40
	maxRate        = 1e8
	maxBurst       = 100_000_000
	maxPriority    = 1_000
	maxAttempts    = 1_000
	// maxDuration limits every duration of a document.
	maxDuration = Duration(time.Hour)
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]*[a-z0-9])?$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

type checker struct {
	doc  *Document
	errs []FieldError
}

func (c *checker) fail(path, format string, args ...any) {
	c.errs = append(c.errs, FieldError{Field: path, Problem: fmt.Sprintf(format, args...)})
}

// ValidName reports whether name is valid as the name of an entry.
func ValidName(name string) bool { return len(name) <= maxNameLength && namePattern.MatchString(name) }

func (c *checker) checkName(path, name string) {
	if !ValidName(name) {
		c.fail(path, "a name has 1 to %d of a-z, 0-9, - and _, and starts and ends with a letter or digit", maxNameLength)
	}
}

func (c *checker) checkRange(path string, value, low, high int) {
	if value < low || value > high {
		c.fail(path, "%d is not in %d to %d", value, low, high)
	}
}

func (c *checker) checkPositive(path string, d Duration) {
	if d <= 0 || d > maxDuration {
		c.fail(path, "%s is not above 0s and at most %s", d.Std(), maxDuration.Std())
	}
}

func (c *checker) checkHash(path, hash string) {
	if !hashPattern.MatchString(hash) {
		c.fail(path, "not a SHA-256 sum of 64 lower-case hex digits")
	}
}

func (c *checker) checkDomain(name string, d Domain) {
	path := joinPath("domains", name)
	c.checkName(path, name)
	if d.Region == "" {
		c.fail(path+".region", "is required")
		return
	}
	c.checkName(path+".region", d.Region)
}

func (c *checker) checkService(name string, s Service) {
	path := joinPath("services", name)
	c.checkName(path, name)
	for i, domain := range s.Domains {
		if _, ok := c.doc.Domains[domain]; !ok {
			c.fail(indexPath(path+".domains", i), "no domain %q", domain)
		}
		if slices.Contains(s.Domains[:i], domain) {
			c.fail(indexPath(path+".domains", i), "domain %q is listed twice", domain)
		}
	}
	c.checkRange(path+".slots", s.Slots, 1, maxSlots)
	c.checkRange(path+".connections", s.Connections, max(1, s.Slots), maxConnections)
	c.checkRange(path+".floorPercent", s.FloorPercent, 1, 100)
	c.checkRange(path+".ramp.initialSlots", s.Ramp.InitialSlots, 1, max(1, s.Slots))
	c.checkRange(path+".ramp.successesPerSlot", s.Ramp.SuccessesPerSlot, 1, 1000)
	if math.IsNaN(s.Ramp.Rate) || s.Ramp.Rate < 0 || s.Ramp.Rate > maxRate {
		c.fail(path+".ramp.rate", "%v requests a second is not in 0 to %v", s.Ramp.Rate, maxRate)
	}
	if s.Ramp.Time < 0 || s.Ramp.Time > maxDuration || s.Ramp.Time > 0 && s.Ramp.Rate == 0 {
		c.fail(path+".ramp.time", "%s is not in 0s to %s, or stands without a rate", s.Ramp.Time.Std(), maxDuration.Std())
	}
	if s.Concurrency != "" && s.Concurrency != ConcurrencyRamp && s.Concurrency != ConcurrencyAdaptive {
		c.fail(path+".concurrency", "%q is neither %q nor %q", s.Concurrency, ConcurrencyRamp, ConcurrencyAdaptive)
	}
	c.checkRange(path+".queue.length", s.Queue.Length, 1, maxQueueLength)
	c.checkRange(path+".queue.teamPercent", s.Queue.TeamPercent, 1, 100)
	c.checkPositive(path+".queue.maxWait", s.Queue.MaxWait)
	c.checkPositive(path+".connectTimeout", s.ConnectTimeout)
	c.checkPathPrefix(path+".probePath", s.ProbePath)
	c.checkRange(path+".heldBytes", s.HeldBytes, 0, maxHeldBytes)
	switch s.Placement {
	case "", PlacementTwoChoices, PlacementLeastCompletion:
	default:
		c.fail(path+".placement", "%q is not %s or %s", s.Placement, PlacementTwoChoices, PlacementLeastCompletion)
	}
	if s.Shares != "" && s.Shares != SharesNone && s.Shares != SharesFleet {
		c.fail(path+".shares", "%q is neither %q nor %q", s.Shares, SharesNone, SharesFleet)
	}
	if s.ResponseTimeout != 0 {
		c.checkPositive(path+".responseTimeout", s.ResponseTimeout)
	}
}

func (c *checker) checkRoute(name string, r Route) {
	path := joinPath("routes", name)
	c.checkName(path, name)
	if r.Host != "" && !hostPattern.MatchString(r.Host) {
		c.fail(path+".host", "%q is not a lower-case host name without port", r.Host)
	}
	c.checkPathPrefix(path+".path", r.Path)
	c.checkDestination(path, r)
	if r.Access != AccessOpen && r.Access != AccessPublic && r.Access != AccessInternal {
		c.fail(path+".access", "%q is none of %q, %q and %q", r.Access, AccessOpen, AccessPublic, AccessInternal)
	}
	c.checkRange(path+".priority", r.Priority, 0, maxPriority)
	c.checkRange(path+".maxAttempts", r.MaxAttempts, 0, maxAttempts)
	if r.Objective != 0 {
		c.checkPositive(path+".objective", r.Objective)
	}
	for i, team := range r.Teams {
		if _, ok := c.doc.Teams[team]; !ok {
			c.fail(indexPath(path+".teams", i), "no team %q", team)
		}
	}
	for i, method := range r.RepeatableMethods {
		if !methodPattern.MatchString(method) {
			c.fail(indexPath(path+".repeatableMethods", i), "%q is not an upper-case method", method)
		}
	}
	c.checkPositive(path+".deadline", r.Deadline)
}

// checkDestination checks that a route names one service or a split of known services.
func (c *checker) checkDestination(path string, r Route) {
	if len(r.Split) == 0 {
		if _, ok := c.doc.Services[r.Service]; !ok {
			c.fail(path+".service", "no service %q", r.Service)
		}
		return
	}
	if r.Service != "" {
		c.fail(path+".service", "%q stands beside a split; a route has one of both", r.Service)
	}
	total := 0.0
	for i, part := range r.Split {
		at := indexPath(path+".split", i)
		if _, ok := c.doc.Services[part.Service]; !ok {
			c.fail(at+".service", "no service %q", part.Service)
		}
		if math.IsNaN(part.Weight) || part.Weight < 0 || part.Weight > maxRate {
			c.fail(at+".weight", "%v is not in 0 to %v", part.Weight, maxRate)
			continue
		}
		total += part.Weight
	}
	if total <= 0 {
		c.fail(path+".split", "the weights add up to nothing")
	}
}

func (c *checker) checkPathPrefix(path, prefix string) {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		c.fail(path, "%q does not start with /", prefix)
	case prefix != "/" && strings.HasSuffix(prefix, "/"):
		c.fail(path, "%q ends with /; a prefix ends at a segment boundary without it", prefix)
	case strings.ContainsAny(prefix, "?# *"):
		c.fail(path, "%q holds one of ? # * or a space", prefix)
	case strings.Contains(prefix, "//"), strings.Contains(prefix+"/", "/./"), strings.Contains(prefix+"/", "/../"):
		c.fail(path, "%q has an empty, . or .. segment", prefix)
	}
}

func (c *checker) checkTeam(name string, t Team) {
	path := joinPath("teams", name)
	c.checkName(path, name)
	if !t.Unlimited {
		if math.IsNaN(t.Rate) || t.Rate <= 0 || t.Rate > maxRate {
			c.fail(path+".rate", "%v requests a second is not above 0 and at most %v", t.Rate, maxRate)
		}
		c.checkRange(path+".burst", t.Burst, 1, maxBurst)
	}
	if t.Priority != nil {
		c.checkRange(path+".priority", *t.Priority, 0, maxPriority)
	}
	for i, hash := range t.KeyHashes {
		c.checkHash(indexPath(path+".keyHashes", i), hash)
	}
}

func (c *checker) checkOperator(name string, o Operator) {
	path := joinPath("operators", name)
	c.checkName(path, name)
	if o.Role != RoleViewer && o.Role != RoleOperator && o.Role != RoleAdmin {
		c.fail(path+".role", "%q is none of %s, %s and %s", o.Role, RoleViewer, RoleOperator, RoleAdmin)
	}
	c.checkHash(path+".credentialHash", o.CredentialHash)
}
