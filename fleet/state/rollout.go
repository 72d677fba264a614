package state

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RolloutPhase is a step of a rollout.
type RolloutPhase string

// Phases of a rollout, in order. The last two are final.
const (
	RolloutCanary     RolloutPhase = "canary"
	RolloutLoaded     RolloutPhase = "loaded"
	RolloutCutover    RolloutPhase = "cutover"
	RolloutCompleted  RolloutPhase = "completed"
	RolloutRolledBack RolloutPhase = "rolled-back"
)

// rolloutPhaseOrder ranks the phases. A decision never leads to a lower rank.
var rolloutPhaseOrder = map[RolloutPhase]int{
	RolloutCanary: 1, RolloutLoaded: 2, RolloutCutover: 3, RolloutCompleted: 4, RolloutRolledBack: 4,
}

// Final reports whether the phase ends the rollout.
func (p RolloutPhase) Final() bool { return p == RolloutCompleted || p == RolloutRolledBack }

const (
	// maxRolloutMs limits the duration of a rollout to a year, so that it can be converted to other units.
	maxRolloutMs = int64(365 * 24 * time.Hour / time.Millisecond)
	// maxReasonBytes limits the reason of a decision, because every process keeps it.
	maxReasonBytes = 1024
	// maxAdmittedVersions limits the versions that are recorded for a service.
	maxAdmittedVersions = 64
)

// Rollout is the latest rollout of a service to another version of its software. It stays after its end.
type Rollout struct {
	// ID is the change ID of the BeginRollout command.
	ID         string       `json:"id"`
	Service    string       `json:"service"`
	NewVersion string       `json:"newVersion"`
	DurationMs int64        `json:"durationMs"`
	Operator   string       `json:"operator"`
	Phase      RolloutPhase `json:"phase"`
	// Percent is the share of new requests that entries offer to servers of NewVersion, 0 to 100.
	Percent int `json:"percent"`
	// Servers is the number of new servers among which these requests are spread; 0: all.
	Servers int `json:"servers,omitempty"`
	// Decision is 0 at first and increases with each decision.
	Decision uint64 `json:"decision"`
	// ElapsedMs is the time since the acknowledgement, as the leader measured it at the last decision.
	ElapsedMs int64 `json:"elapsedMs"`
	// Reason explains the last decision.
	Reason string `json:"reason,omitempty"`
	// Begun is the version that the BeginRollout command produced.
	Begun uint64 `json:"begun"`
	// Ended is when the rollout ended, on the wall clock of the process that proposed the end.
	Ended time.Time `json:"ended,omitzero"`
}

// Running reports whether the rollout has not ended.
func (r *Rollout) Running() bool { return !r.Phase.Final() }

// BeginRollout orders a rollout.
type BeginRollout struct {
	Service    string `json:"service"`
	NewVersion string `json:"newVersion"`
	DurationMs int64  `json:"durationMs"`
	// Base is the result of State.RolloutBase when the order was taken. The command is refused if a rollout of the service
	// has begun since.
	Base uint64 `json:"base,omitempty"`
}

// DecideRollout records a decision about a running rollout. The control leader proposes it.
type DecideRollout struct {
	Service string `json:"service"`
	// ID and Previous are the ID and the Decision of the rollout that the decision is based on.
	ID        string       `json:"id"`
	Previous  uint64       `json:"previous"`
	Phase     RolloutPhase `json:"phase"`
	Percent   int          `json:"percent"`
	Servers   int          `json:"servers,omitempty"`
	ElapsedMs int64        `json:"elapsedMs"`
	Reason    string       `json:"reason"`
}

// AbortRollout rolls a running rollout back.
type AbortRollout struct {
	Service string `json:"service"`
	// ID is the ID of the rollout, so that a late copy of the command does not abort a later one.
	ID string `json:"id"`
}

// AdmitVersions records the versions of a service that get requests. The control leader proposes it for a service
// without a record.
type AdmitVersions struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

// Rollout returns the latest rollout of a service, and whether there was one.
func (s *State) Rollout(service string) (Rollout, bool) {
	r, ok := s.rollouts[service]
	return r, ok
}

// Rollouts returns the latest rollout of each service that had one, sorted by service.
func (s *State) Rollouts() []Rollout {
	list := make([]Rollout, 0, len(s.rollouts))
	for _, r := range s.rollouts {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Admitted returns the sorted versions of a service that are known as admitted. It is empty if none was recorded yet; all
// versions are then admitted.
func (s *State) Admitted(service string) []string { return slices.Clone(s.admitted[service]) }

// KnowsRollouts reports whether a command about rollouts was accepted before. The members of the control group at that time
// know these commands.
func (s *State) KnowsRollouts() bool {
	return len(s.rollouts) > 0 || len(s.admitted) > 0 || s.rolloutFloor > 0
}

// RolloutBase returns a number that changes whenever a rollout of the service begins and that never returns to an earlier
// value, also if the service is removed and added again.
func (s *State) RolloutBase(service string) uint64 {
	if r, ok := s.rollouts[service]; ok {
		return r.Begun
	}
	return s.rolloutFloor
}

// CheckBeginRollout returns the refusal that an order would get now, or nil.
func (s *State) CheckBeginRollout(b *BeginRollout) *Refusal {
	if _, ok := s.doc.Services[b.Service]; !ok {
		return refuse(CodeNotFound, []string{"service"}, "no service %q", b.Service)
	}
	if b.NewVersion == "" || len(b.NewVersion) > maxIDBytes {
		return refuse(CodeInvalid, []string{"newVersion"}, "newVersion must have 1 to %d bytes", maxIDBytes)
	}
	if b.DurationMs <= 0 || b.DurationMs > maxRolloutMs {
		return refuse(CodeInvalid, []string{"durationMs"}, "duration of %d ms is not above 0 and at most a year", b.DurationMs)
	}
	if r, ok := s.rollouts[b.Service]; ok && r.Running() {
		return refuse(CodeConflict, []string{rolloutField(b.Service)}, "a rollout of %s to %s is running, ordered by %s", b.Service, r.NewVersion, r.Operator)
	}
	if base := s.RolloutBase(b.Service); b.Base != base {
		return refuse(CodeConflict, []string{rolloutField(b.Service)}, "another rollout of %s began after the order was taken", b.Service)
	}
	if admitted := s.admitted[b.Service]; len(admitted) == 1 && admitted[0] == b.NewVersion {
		return refuse(CodeUnchanged, nil, "%s is the only admitted version of %s already", b.NewVersion, b.Service)
	}
	return nil
}

func (s *State) runBeginRollout(c *Command) ([]string, *Refusal) {
	b := c.BeginRollout
	if refusal := s.CheckBeginRollout(b); refusal != nil {
		return nil, refusal
	}
	s.rollouts[b.Service] = Rollout{
		ID: c.ChangeID, Service: b.Service, NewVersion: b.NewVersion, DurationMs: b.DurationMs, Operator: c.Operator,
		Phase: RolloutCanary, Begun: s.version + 1,
	}
	return []string{rolloutField(b.Service)}, nil
}

func (s *State) runDecideRollout(c *Command) ([]string, *Refusal) {
	d := c.DecideRollout
	r, refusal := s.runningRollout(d.Service, d.ID)
	if refusal != nil {
		return nil, refusal
	}
	if d.Previous != r.Decision {
		return nil, refuse(CodeConflict, []string{rolloutField(d.Service)}, "the decision follows decision %d, but the last one is %d", d.Previous, r.Decision)
	}
	rank, known := rolloutPhaseOrder[d.Phase]
	switch {
	case !known:
		return nil, refuse(CodeInvalid, []string{"phase"}, "no phase %q", d.Phase)
	case rank < rolloutPhaseOrder[r.Phase]:
		return nil, refuse(CodeInvalid, []string{"phase"}, "phase %s cannot follow %s", d.Phase, r.Phase)
	case d.Percent < 0 || d.Percent > 100:
		return nil, refuse(CodeInvalid, []string{"percent"}, "percent %d is not from 0 to 100", d.Percent)
	case d.Servers < 0:
		return nil, refuse(CodeInvalid, []string{"servers"}, "servers %d is below 0", d.Servers)
	case d.ElapsedMs < r.ElapsedMs:
		return nil, refuse(CodeInvalid, []string{"elapsedMs"}, "%d ms is less than the %d ms of the last decision", d.ElapsedMs, r.ElapsedMs)
	}
	r.Phase, r.Percent, r.Servers, r.ElapsedMs = d.Phase, d.Percent, d.Servers, d.ElapsedMs
	return s.recordDecision(r, d.Reason, c.Time), nil
}

func (s *State) runAbortRollout(c *Command) ([]string, *Refusal) {
	r, refusal := s.runningRollout(c.AbortRollout.Service, c.AbortRollout.ID)
	if refusal != nil {
		return nil, refusal
	}
	r.Phase, r.Percent, r.Servers = RolloutRolledBack, 0, 0
	return s.recordDecision(r, "aborted by "+c.Operator, c.Time), nil
}

// CheckAbortRollout returns the refusal that an AbortRollout would get now, or nil.
func (s *State) CheckAbortRollout(a *AbortRollout) *Refusal {
	_, refusal := s.runningRollout(a.Service, a.ID)
	return refusal
}

// runningRollout returns the rollout of a service, or a refusal if it has another ID or has ended.
func (s *State) runningRollout(service, id string) (Rollout, *Refusal) {
	r, ok := s.rollouts[service]
	field := []string{rolloutField(service)}
	switch {
	case !ok:
		return r, refuse(CodeNotFound, field, "service %q had no rollout", service)
	case r.ID != id:
		return r, refuse(CodeConflict, field, "the rollout of %s has id %q, not %q", service, r.ID, id)
	case !r.Running():
		return r, refuse(CodeConflict, field, "the rollout of %s to %s has ended: %s", service, r.NewVersion, r.Phase)
	}
	return r, nil
}

// recordDecision stores a rollout after a decision. at is the wall clock time of the proposer.
func (s *State) recordDecision(r Rollout, reason string, at time.Time) []string {
	r.Decision++
	r.Reason = strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
	if !r.Running() {
		r.Ended = at
	}
	s.rollouts[r.Service] = r
	fields := []string{rolloutField(r.Service)}
	if r.Phase == RolloutCompleted {
		s.admitted[r.Service] = []string{r.NewVersion}
		fields = append(fields, admittedField(r.Service))
	}
	return fields
}

// runAdmitVersions records the admitted versions of a service. The version of a rollout that runs or that was rolled back
// is not accepted: the leader proposes the versions that it sees, which may include servers of that version.
func (s *State) runAdmitVersions(a *AdmitVersions) ([]string, *Refusal) {
	if _, ok := s.doc.Services[a.Service]; !ok {
		return nil, refuse(CodeNotFound, []string{"service"}, "no service %q", a.Service)
	}
	if recorded := s.admitted[a.Service]; len(recorded) > 0 {
		return nil, refuse(CodeUnchanged, nil, "service %s has admitted versions already: %s", a.Service, summarizeFields(recorded))
	}
	versions := slices.Compact(slices.Sorted(slices.Values(a.Versions)))
	if len(versions) == 0 || len(versions) > maxAdmittedVersions {
		return nil, refuse(CodeInvalid, []string{"versions"}, "%d versions are not 1 to %d", len(versions), maxAdmittedVersions)
	}
	for _, version := range versions {
		if version == "" || len(version) > maxIDBytes {
			return nil, refuse(CodeInvalid, []string{"versions"}, "each version must have 1 to %d bytes", maxIDBytes)
		}
	}
	if r, ok := s.rollouts[a.Service]; ok && slices.Contains(versions, r.NewVersion) {
		return nil, refuse(CodeInvalid, []string{"versions"}, "version %s is the new one of a rollout (%s)", r.NewVersion, r.Phase)
	}
	s.admitted[a.Service] = versions
	return []string{admittedField(a.Service)}, nil
}

// dropRollouts forgets the rollouts and the admitted versions of services that the document no longer contains. version is
// the version that the change of the document produces.
func (s *State) dropRollouts(services []string, version uint64) {
	for _, service := range services {
		if _, ok := s.rollouts[service]; ok {
			s.rolloutFloor = version
		}
		delete(s.rollouts, service)
		delete(s.admitted, service)
	}
}

func rolloutField(service string) string { return "services." + service + ".rollout" }

func admittedField(service string) string { return "services." + service + ".admittedVersions" }
