package outlier

import (
	"slices"
	"time"
)

// ActionKind is what the gate must do.
type ActionKind int

const (
	// ActionEject takes a server out: no new work; running requests finish.
	ActionEject ActionKind = iota
	// ActionReadmit lets a server back in through the ramp.
	ActionReadmit
	// ActionProbe sends one probe; report it with ProbeResult and with Detector.ObserveProbe.
	ActionProbe
)

// Action is one step for the gate to take.
type Action struct {
	Kind            ActionKind
	Server, Service string
	Cause           Cause         // of an ejection
	Reason          string        // for the log line
	Backoff         time.Duration // of an ejection: the least time out
}

// EjectorConfig sets the ejection state machine. Zero values mean the defaults.
type EjectorConfig struct {
	// FirstBackoff is the least time out for a first ejection. It doubles with each further one. Default 5s.
	FirstBackoff time.Duration
	// MaxBackoff bounds the back-off. Default 5m.
	MaxBackoff time.Duration
	// ForgiveAfter is the time in service after which one doubling is forgotten. Default 1m.
	ForgiveAfter time.Duration
	// ProbeSuccesses is the number of good probes in a row before readmission. Default 3.
	ProbeSuccesses int
	// ProbeShare is the share of a server's time that probes may take. Default 0.05.
	ProbeShare float64
}

func (c EjectorConfig) withDefaults() EjectorConfig {
	setDuration(&c.FirstBackoff, 5*time.Second)
	setDuration(&c.MaxBackoff, 5*time.Minute)
	setDuration(&c.ForgiveAfter, time.Minute)
	setInt(&c.ProbeSuccesses, 3)
	setFloat(&c.ProbeShare, 0.05)
	return c
}

// Phase is the state of a server in the ejection state machine.
type Phase int

const (
	// PhaseServing servers get work.
	PhaseServing Phase = iota
	// PhaseAsking servers get work while a permit for their ejection is asked for.
	PhaseAsking
	// PhaseEjected servers get no work until the back-off is over.
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

// Ejector runs the ejection state machine of each backend server on one VM. Each ejection is covered by a permit of the
// holder for its whole time.
type Ejector struct {
	cfg     EjectorConfig
	holder  *Holder
	servers map[string]*ejection
	names   []string // sorted keys of servers
}

// ejection is the state of one server.
type ejection struct {
	service   string
	slots     int
	phase     Phase
	since     time.Duration // start of the phase
	cause     Cause
	faultyAt  time.Duration // last verdict Faulty
	level     int           // number of doublings of the back-off
	backoff   time.Duration
	forgiven  time.Duration // last time that a doubling was forgotten
	successes int
	probes    probeBudget
}

// NewEjector returns a state machine without servers.
func NewEjector(cfg EjectorConfig, holder *Holder) *Ejector {
	return &Ejector{cfg: cfg.withDefaults(), holder: holder, servers: make(map[string]*ejection)}
}

// AddServer starts to handle a server. Adding a server again, for a new instance, forgets its ejections.
func (e *Ejector) AddServer(name, service string, slots int, now time.Duration) {
	e.RemoveServer(name)
	i, _ := slices.BinarySearch(e.names, name)
	e.names = slices.Insert(e.names, i, name)
	e.servers[name] = &ejection{
		service:  service,
		slots:    slots,
		since:    now,
		forgiven: now,
		probes:   newProbeBudget(e.cfg, now),
	}
}

// RemoveServer forgets a server and gives its permit back.
func (e *Ejector) RemoveServer(name string) {
	if e.servers[name] == nil {
		return
	}
	e.holder.Drop(name)
	delete(e.servers, name)
	i, _ := slices.BinarySearch(e.names, name)
	e.names = slices.Delete(e.names, i, i+1)
}

// Ejected tells whether a server must get no new work now. It is false from the moment at which the permit ends, also
// before the next Step.
func (e *Ejector) Ejected(name string, now time.Duration) bool {
	s := e.servers[name]
	if s == nil {
		return false
	}
	return s.out() && e.holder.Holds(name, now)
}

// Phase returns the state of a server.
func (e *Ejector) Phase(name string) Phase {
	if s := e.servers[name]; s != nil {
		return s.phase
	}
	return PhaseServing
}

// Step moves all servers on by the verdicts of the detector and the state of the permits. Call it after each
// Detector.Evaluate, and send what Holder.Poll returns afterwards.
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

// ProbeResult records the end of a probe that ActionProbe asked for. ok is the result of
// ProbeOK.
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
	return e.stepOut(name, s, now)
}

func (e *Ejector) stepServing(name string, s *ejection, v Verdict, now time.Duration) []Action {
	e.forgive(s, now)
	switch {
	case v.Health == Faulty:
		s.enter(PhaseAsking, now)
		s.cause = v.Cause
		s.faultyAt = now
		e.holder.Want(name, s.service, s.slots)
	case v.Health == Suspect && s.probes.take(now):
		return []Action{{Kind: ActionProbe, Server: name, Service: s.service, Cause: v.Cause, Reason: "suspect"}}
	}
	return nil
}

func (e *Ejector) stepAsking(name string, s *ejection, v Verdict, now time.Duration) []Action {
	if v.Health == Faulty {
		s.faultyAt = now
	}
	if e.holder.Holds(name, now) && v.Health == Faulty {
		s.enter(PhaseEjected, now)
		s.cause = v.Cause
		s.backoff = e.backoff(s.level)
		s.level++
		return []Action{{
			Kind:    ActionEject,
			Server:  name,
			Service: s.service,
			Cause:   s.cause,
			Backoff: s.backoff,
			Reason:  string(s.cause),
		}}
	}
	const settle = time.Second // a verdict may flicker around its threshold
	if now-s.faultyAt >= settle {
		s.enter(PhaseServing, now)
		e.holder.Drop(name)
	}
	return nil
}

func (e *Ejector) stepOut(name string, s *ejection, now time.Duration) []Action {
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

// readmit ends the ejection first and gives the permit back after it.
func (e *Ejector) readmit(name string, s *ejection, now time.Duration, reason string) []Action {
	s.enter(PhaseServing, now)
	s.forgiven = now
	e.holder.Drop(name)
	return []Action{{Kind: ActionReadmit, Server: name, Service: s.service, Reason: reason}}
}

func (s *ejection) enter(p Phase, now time.Duration) {
	s.phase, s.since = p, now
}

func (s *ejection) out() bool {
	return s.phase == PhaseEjected || s.phase == PhaseProbing
}

func (e *Ejector) backoff(level int) time.Duration {
	backoff := e.cfg.FirstBackoff
	for ; level > 0 && backoff < e.cfg.MaxBackoff; level-- {
		backoff *= 2
	}
	return min(backoff, e.cfg.MaxBackoff)
}

func (e *Ejector) forgive(s *ejection, now time.Duration) {
	if s.level > 0 && now-s.forgiven >= e.cfg.ForgiveAfter {
		s.level--
		s.forgiven = now
	}
}
