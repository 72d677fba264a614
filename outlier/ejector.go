package outlier

import (
	"slices"
	"time"
)

// ActionKind is what the gate must do.
type ActionKind int

const (
	// ActionEject takes a server out of service: it gets no new work, and running requests finish.
	ActionEject ActionKind = iota
	// ActionReadmit returns a server to service through the ramp.
	ActionReadmit
	// ActionProbe sends one probe. Report its result to Ejector.ProbeResult and Detector.ObserveProbe.
	ActionProbe
)

// Action is one step that the gate must execute.
type Action struct {
	Kind            ActionKind
	Server, Service string
	Cause           Cause         // of an ejection
	Reason          string        // for the log line
	Backoff         time.Duration // of an ejection: the minimum time out of service
}

// EjectorConfig holds the settings of an Ejector. Zero values select the defaults.
type EjectorConfig struct {
	// FirstBackoff is the minimum time out of service after a first ejection. It doubles with each further ejection.
	// Default 5s.
	FirstBackoff time.Duration
	// MaxBackoff limits the back-off. Default 5m.
	MaxBackoff time.Duration
	// BackoffDecayInterval is the time in service after which one doubling of the back-off is undone. Default 1m.
	BackoffDecayInterval time.Duration
	// ProbeSuccesses is the number of consecutive successful probes that readmission needs. Default 3.
	ProbeSuccesses int
	// ProbeShare is the share of a server's time that may be spent on probes. Default 0.05.
	ProbeShare float64
}

func (c EjectorConfig) withDefaults() EjectorConfig {
	setDuration(&c.FirstBackoff, 5*time.Second)
	setDuration(&c.MaxBackoff, 5*time.Minute)
	setDuration(&c.BackoffDecayInterval, time.Minute)
	setInt(&c.ProbeSuccesses, 3)
	setFloat(&c.ProbeShare, 0.05)
	return c
}

// Phase is the state of a server in the ejection state machine.
type Phase int

const (
	// PhaseServing servers get work.
	PhaseServing Phase = iota
	// PhaseAsking servers get work while a permit for their ejection is requested.
	PhaseAsking
	// PhaseEjected servers get no work until the back-off has passed.
	PhaseEjected
	// PhaseProbing servers get probes only.
	PhaseProbing
)

var phaseNames = [...]string{"serving", "asking", "ejected", "probing"}

// String returns the phase as it appears in logs.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Ejector runs the ejection state machine of each backend server of one VM. The permit of the holder covers the whole
// time of an ejection.
type Ejector struct {
	cfg     EjectorConfig
	holder  *Holder
	servers map[string]*ejection
	names   []string // sorted keys of servers
}

// ejection is the state of one server.
type ejection struct {
	service    string
	slots      int
	phase      Phase
	since      time.Duration // start of the phase
	cause      Cause
	lastFaulty time.Duration // time of the last Faulty verdict
	doublings  int           // number of doublings of the back-off
	backoff    time.Duration
	decayedAt  time.Duration // time at which the last doubling was undone, or start of service
	successes  int
	probes     probeBudget
}

// NewEjector returns an ejector without servers.
func NewEjector(cfg EjectorConfig, holder *Holder) *Ejector {
	return &Ejector{cfg: cfg.withDefaults(), holder: holder, servers: make(map[string]*ejection)}
}

// AddServer adds a server with its slots. Adding a server again, for a new instance, drops its ejection and back-off.
func (e *Ejector) AddServer(name, service string, slots int, now time.Duration) {
	e.RemoveServer(name)
	i, _ := slices.BinarySearch(e.names, name)
	e.names = slices.Insert(e.names, i, name)
	e.servers[name] = &ejection{
		service:   service,
		slots:     slots,
		since:     now,
		decayedAt: now,
		probes:    newProbeBudget(e.cfg, now),
	}
}

// RemoveServer removes a server and releases its permit.
func (e *Ejector) RemoveServer(name string) {
	if e.servers[name] == nil {
		return
	}
	e.holder.ReleasePermit(name)
	delete(e.servers, name)
	i, _ := slices.BinarySearch(e.names, name)
	e.names = slices.Delete(e.names, i, i+1)
}

// Ejected reports whether a server must get no new work now. It is false from the moment at which the permit ends, even
// before the next Step.
func (e *Ejector) Ejected(name string, now time.Duration) bool {
	s := e.servers[name]
	if s == nil {
		return false
	}
	return s.outOfService() && e.holder.Holds(name, now)
}

// Phase returns the phase of a server, and PhaseServing for an unknown one.
func (e *Ejector) Phase(name string) Phase {
	if s := e.servers[name]; s != nil {
		return s.phase
	}
	return PhaseServing
}

// Step advances the state machines of all servers by the verdicts of the detector and the state of the permits. Call it
// after each Detector.Evaluate, and send what Holder.Poll returns afterwards.
func (e *Ejector) Step(now time.Duration, verdicts []Verdict) []Action {
	byServer := make(map[string]Verdict, len(verdicts))
	for _, v := range verdicts {
		byServer[v.Server] = v
	}
	var actions []Action
	for _, name := range e.names {
		actions = append(actions, e.step(name, e.servers[name], byServer[name], now)...)
	}
	return actions
}

// ProbeResult records the end of a probe that ActionProbe requested. ok is the result of ProbeOK.
func (e *Ejector) ProbeResult(name string, ok bool, now time.Duration) {
	s := e.servers[name]
	if s == nil {
		return
	}
	if !ok {
		s.successes = 0
		return
	}
	s.successes++
}

func (e *Ejector) step(name string, s *ejection, v Verdict, now time.Duration) []Action {
	switch s.phase {
	case PhaseServing:
		return e.stepServing(name, s, v, now)
	case PhaseAsking:
		return e.stepAsking(name, s, v, now)
	}
	return e.stepOutOfService(name, s, now)
}

func (e *Ejector) stepServing(name string, s *ejection, v Verdict, now time.Duration) []Action {
	e.decayBackoff(s, now)
	switch {
	case v.Health == Faulty:
		s.enter(PhaseAsking, now)
		s.cause = v.Cause
		s.lastFaulty = now
		e.holder.RequestPermit(name, s.service, s.slots)
	case v.Health == Suspect && s.probes.take(now):
		return []Action{{Kind: ActionProbe, Server: name, Service: s.service, Cause: v.Cause, Reason: "suspect"}}
	}
	return nil
}

func (e *Ejector) stepAsking(name string, s *ejection, v Verdict, now time.Duration) []Action {
	if v.Health == Faulty {
		s.lastFaulty = now
	}
	if e.holder.Holds(name, now) && v.Health == Faulty {
		s.enter(PhaseEjected, now)
		s.cause = v.Cause
		s.backoff = e.backoff(s.doublings)
		s.doublings++
		return []Action{{
			Kind:    ActionEject,
			Server:  name,
			Service: s.service,
			Cause:   s.cause,
			Backoff: s.backoff,
			Reason:  string(s.cause),
		}}
	}
	const minFaultFreeTime = time.Second // the score may fluctuate around the threshold
	if now-s.lastFaulty >= minFaultFreeTime {
		s.enter(PhaseServing, now)
		e.holder.ReleasePermit(name)
	}
	return nil
}

func (e *Ejector) stepOutOfService(name string, s *ejection, now time.Duration) []Action {
	if !e.holder.Holds(name, now) {
		return e.readmit(name, s, now, "permit ended")
	}
	if s.phase == PhaseEjected && now-s.since >= s.backoff {
		s.enter(PhaseProbing, now)
		s.successes = 0
	}
	if s.phase != PhaseProbing {
		return nil
	}
	if s.successes >= e.cfg.ProbeSuccesses {
		return e.readmit(name, s, now, "probes succeeded")
	}
	if s.probes.take(now) {
		return []Action{{Kind: ActionProbe, Server: name, Service: s.service, Reason: "back-off over"}}
	}
	return nil
}

// readmit ends the ejection and then releases the permit.
func (e *Ejector) readmit(name string, s *ejection, now time.Duration, reason string) []Action {
	s.enter(PhaseServing, now)
	s.decayedAt = now
	e.holder.ReleasePermit(name)
	return []Action{{Kind: ActionReadmit, Server: name, Service: s.service, Reason: reason}}
}

func (s *ejection) enter(p Phase, now time.Duration) {
	s.phase, s.since = p, now
}

func (s *ejection) outOfService() bool {
	return s.phase == PhaseEjected || s.phase == PhaseProbing
}

func (e *Ejector) backoff(doublings int) time.Duration {
	backoff := e.cfg.FirstBackoff
	for ; doublings > 0 && backoff < e.cfg.MaxBackoff; doublings-- {
		backoff *= 2
	}
	return min(backoff, e.cfg.MaxBackoff)
}

// decayBackoff undoes one doubling of the back-off after each BackoffDecayInterval in service.
func (e *Ejector) decayBackoff(s *ejection, now time.Duration) {
	if s.doublings > 0 && now-s.decayedAt >= e.cfg.BackoffDecayInterval {
		s.doublings--
		s.decayedAt = now
	}
}
