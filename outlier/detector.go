package outlier

import (
	"math"
	"slices"
	"time"
)

// Config sets the detector. Zero values mean the defaults.
type Config struct {
	// MinPeers is the number of peers with recent digests that a judgement by comparison needs. Default 3.
	MinPeers int
	// MinSamples is the number of finished requests that a judgement needs. Default 8.
	MinSamples int
	// SlowFactor is the ratio to the peers' median from which a server can count as slow. Default 3.
	SlowFactor float64
	// Deviations is the number of robust deviations above the peers' median from which a server can count as slow.
	// Default 5.
	Deviations float64
	// FailureMargin is the difference to the peers' median failure ratio from which a server can count as failing.
	// Default 0.15.
	FailureMargin float64
	// HangMargin is the same for the ratio of hanging requests. It is lower, as a few hanging requests fill all slots.
	// Default 0.04.
	HangMargin float64
	// WarmingTime is the longest time for which the slowness of a warming server is excused. Default 30s.
	WarmingTime time.Duration
	// DigestAge is the age from which a peer's digest is not used any more. Default 10s.
	DigestAge time.Duration
	// FreshAge is the age up to which a digest counts for a judgement that can eject. Default 500ms.
	FreshAge time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.WarmingTime, 30*time.Second)
	setDuration(&c.DigestAge, 10*time.Second)
	setDuration(&c.FreshAge, 500*time.Millisecond)
	setInt(&c.MinPeers, 3)
	setInt(&c.MinSamples, 8)
	setFloat(&c.SlowFactor, 3)
	setFloat(&c.Deviations, 5)
	setFloat(&c.FailureMargin, 0.15)
	setFloat(&c.HangMargin, 0.04)
	return c
}

// Detector judges the backend servers of one VM against their peers.
type Detector struct {
	cfg     Config
	servers map[string]*server
	names   []string // sorted keys of servers
	peers   map[string]map[string]peer
}

// server is the evidence about one local backend server.
type server struct {
	name, service string
	warming       bool
	firstJudged   time.Duration // first evaluation, or never
	window        window
	running       map[uint64]time.Duration // start times by request id
	strongSince   time.Duration            // since when the evidence is strong, or never
	evidence      int                      // samples so far
	strongAt      int                      // evidence at strongSince
	askedAt       time.Duration            // last request for fresh digests
}

// peer is the newest digest of a backend server on another VM.
type peer struct {
	Digest
	asOf time.Duration
}

// NewDetector returns a detector without backend servers.
func NewDetector(cfg Config) *Detector {
	return &Detector{
		cfg:     cfg.withDefaults(),
		servers: make(map[string]*server),
		peers:   make(map[string]map[string]peer),
	}
}

// AddServer starts to judge a backend server. Adding it again, for a new instance, drops all evidence about it.
func (d *Detector) AddServer(name, service string, warming bool) {
	if d.servers[name] == nil {
		i, _ := slices.BinarySearch(d.names, name)
		d.names = slices.Insert(d.names, i, name)
	}
	d.servers[name] = &server{
		name:    name,
		service: service,
		warming: warming,
		running: make(map[uint64]time.Duration),

		firstJudged: never,
		strongSince: never,
		askedAt:     never,
	}
}

// RemoveServer forgets a backend server.
func (d *Detector) RemoveServer(name string) {
	if d.servers[name] == nil {
		return
	}
	delete(d.servers, name)
	i, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Delete(d.names, i, i+1)
}

// SetWarming tells whether the server is in the ramp after a new instance or a readmission. Its slowness is not judged
// then, for at most Config.WarmingTime. A ramp that started anew because the server became slow must not be reported
// here, since it would hide the fault.
func (d *Detector) SetWarming(name string, warming bool) {
	if s := d.servers[name]; s != nil {
		s.warming = warming
	}
}

// Reset drops the evidence about a server. Call it on ActionReadmit, so that evidence from before the ejection does not
// count again.
func (d *Detector) Reset(name string) {
	if s := d.servers[name]; s != nil {
		d.AddServer(name, s.service, s.warming)
	}
}

// Start records that a request was sent to a server, so that requests that never end count as evidence too. Ids are
// unique among the running requests of the server.
func (d *Detector) Start(name string, id uint64, now time.Duration) {
	if s := d.servers[name]; s != nil {
		s.running[id] = now
	}
}

// Finish records the end of a request. Use Cancel for a request that the caller gave up.
func (d *Detector) Finish(name string, id uint64, now time.Duration, failed bool) {
	s := d.servers[name]
	if s == nil {
		return
	}
	start, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	d.Observe(name, now, now-start, failed)
}

// Cancel drops a request that ended without telling anything about the server.
func (d *Detector) Cancel(name string, id uint64) {
	if s := d.servers[name]; s != nil {
		delete(s.running, id)
	}
}

// Observe records a request or probe that ended now and took latency. Times exclude the queue of the gate.
func (d *Detector) Observe(name string, now, latency time.Duration, failed bool) {
	if s := d.servers[name]; s != nil {
		s.evidence++
		s.window.add(sample{at: now, latency: latency, failed: failed})
	}
}

// ObserveProbe records a probe. Probes take another time than requests, so the probe counts as a request whose time has
// the same ratio to the peers' median as the probe has to ProbeCost.
func (d *Detector) ObserveProbe(name string, now, latency time.Duration, failed bool) {
	s := d.servers[name]
	if s == nil {
		return
	}
	usual := d.usual(d.comparable(s, now, d.cfg.DigestAge))
	if usual <= 0 {
		return
	}
	d.Observe(name, now, time.Duration(float64(latency)/float64(ProbeCost)*float64(usual)), failed)
}

// usual returns the median of the peers' medians, or 0 with too few peers.
func (d *Detector) usual(peers []Digest) time.Duration {
	var times []float64
	for _, p := range peers {
		if p.P50 > 0 {
			times = append(times, float64(p.P50))
		}
	}
	if len(times) < d.cfg.MinPeers {
		return 0
	}
	return time.Duration(median(times))
}

// PeerDigest records the digest of a backend server of the service on another VM. asOf is a time after which the peer
// made the digest: for an answer the time at which it was asked for, and for membership metadata, whose way takes some
// seconds, the time of receipt less 5 s. A digest older than the known one is ignored.
func (d *Detector) PeerDigest(service string, digest Digest, asOf time.Duration) {
	peers := d.peers[service]
	if peers == nil {
		peers = make(map[string]peer)
		d.peers[service] = peers
	}
	if old, ok := peers[digest.Server]; !ok || asOf >= old.asOf {
		peers[digest.Server] = peer{digest, asOf}
	}
}

// Digest returns the summary of a local server for the gates of its peers.
func (d *Detector) Digest(name string, now time.Duration) (Digest, bool) {
	s := d.servers[name]
	if s == nil {
		return Digest{}, false
	}
	return s.digest(now, d.cfg.MinSamples), true
}

// EvaluateInterval is the time between two calls of Detector.Evaluate, Ejector.Step and Holder.Poll.
const EvaluateInterval = 100 * time.Millisecond

// Evaluate judges all local servers and returns one verdict for each, sorted by name.
func (d *Detector) Evaluate(now time.Duration) []Verdict {
	d.dropOldDigests(now)
	verdicts := make([]Verdict, 0, len(d.names))
	for _, name := range d.names {
		verdicts = append(verdicts, d.judge(d.servers[name], now))
	}
	return verdicts
}

// judge compares a server with what is known of its peers. Strong evidence must last, and then only a comparison with
// fresh digests makes a server faulty: when a whole service becomes slow, each server looks slow next to older digests.
func (d *Detector) judge(s *server, now time.Duration) Verdict {
	peers := d.comparable(s, now, d.cfg.DigestAge)
	v := d.compare(s, peers, now)
	if v.Health != Faulty {
		s.strongSince = never
		d.suspectEarly(&v, s, peers, now)
		return v
	}
	if s.strongSince == never {
		s.strongSince = now
		s.strongAt = s.evidence
	}
	v.Health = Suspect
	if now-s.strongSince < d.confirmTime(v.Cause, v.factor) || !s.confirmed(v.Cause, now) {
		return v
	}
	fresh := d.comparable(s, now, min(d.cfg.FreshAge, now-s.strongSince))
	if len(fresh) >= d.cfg.MinPeers {
		return d.compare(s, fresh, now)
	}
	if now-s.askedAt >= askAgain {
		s.askedAt = now
		v.WantPeers = true
	}
	return v
}

// suspectEarly makes a server a suspect when its newest samples all are bad, long before there are enough of them to
// judge at low rates. The suspicion itself has no effect but probes, which bring more samples.
func (d *Detector) suspectEarly(v *Verdict, s *server, peers []Digest, now time.Duration) {
	const (
		inRow = 2
		score = 0.5
	)
	newest := s.window.newest(now, 0, inRow)
	if v.Health != Healthy || d.excused(s, now) || len(newest) < inRow {
		return
	}
	slow := time.Duration(d.cfg.SlowFactor * float64(d.usual(peers)))
	if slow <= 0 {
		return
	}
	cause := CauseFailing
	for _, sample := range newest[:inRow] {
		if !sample.failed && sample.latency < slow {
			return
		}
		if !sample.failed {
			cause = CauseSlow
		}
	}
	v.Health, v.Cause, v.Score = Suspect, cause, score
}

const (
	// confirmSamples is the number of new samples that strong evidence must last for. At low rates time alone brings no
	// new evidence.
	confirmSamples = 3
	// confirmRunning is the time after which requests that still run are new evidence by themselves.
	confirmRunning = time.Second
)

// confirmed tells whether there is new evidence since the evidence became strong. Hanging requests give it as they age.
func (s *server) confirmed(cause Cause, now time.Duration) bool {
	if cause == CauseHanging || s.evidence-s.strongAt >= confirmSamples {
		return true
	}
	return len(s.running) > 0 && now-s.strongSince >= confirmRunning
}

// askAgain is the time between two requests for fresh digests of peers.
const askAgain = 200 * time.Millisecond

// confirmTime is the time for which strong evidence must last. It is short for a server that is far slower than its
// peers and grows to seconds for one that is a few times slower, since a server that turned cold without notice gets
// faster within seconds.
func (d *Detector) confirmTime(cause Cause, factor float64) time.Duration {
	const (
		others     = 300 * time.Millisecond
		least      = 400 * time.Millisecond
		fullFactor = 8 // from here on, the least time is enough
		power      = 8
		most       = 10 * time.Second
	)
	switch {
	case cause != CauseSlow:
		return others
	case factor >= fullFactor:
		return least
	}
	wait := float64(least) * math.Pow(math.Log(fullFactor)/math.Log(max(factor, 1.1)), power)
	return time.Duration(min(wait, float64(most)))
}

func (d *Detector) compare(s *server, peers []Digest, now time.Duration) Verdict {
	v := Verdict{Server: s.name, Service: s.service}
	own := s.digest(now, d.cfg.MinSamples)
	if own.Count+own.Hanging < d.cfg.MinSamples || len(peers) < d.cfg.MinPeers {
		return v
	}
	v.grade(CauseFailing, d.ratioScore(d.cfg.FailureMargin, failDeviation, own, peers, Digest.failRatio))
	v.grade(CauseHanging, d.ratioScore(d.cfg.HangMargin, hangDeviation, own, peers, Digest.hangRatio))
	if !d.excused(s, now) {
		score, factor := d.slowScore(own, peers)
		v.grade(CauseSlow, score)
		v.factor = factor
	}
	return v
}

// excused tells whether the server may be slow because it is warming.
func (d *Detector) excused(s *server, now time.Duration) bool {
	if s.firstJudged == never {
		s.firstJudged = now
	}
	return s.warming && now-s.firstJudged < d.cfg.WarmingTime
}

// grade raises the verdict to the score of a cause.
func (v *Verdict) grade(cause Cause, score float64) {
	const suspectScore = 0.5
	if score <= v.Score || score < suspectScore {
		return
	}
	v.Score, v.Cause, v.Health = score, cause, Suspect
	if score >= 1 {
		v.Health = Faulty
	}
}

// comparable returns the digests up to an age that a server is judged by, in no order: those of its peers on other VMs
// and of other local servers of the service.
func (d *Detector) comparable(s *server, now, age time.Duration) []Digest {
	var digests []Digest
	for _, p := range d.peers[s.service] {
		if now-p.asOf <= age {
			digests = append(digests, p.Digest)
		}
	}
	for _, name := range d.names {
		if o := d.servers[name]; o != s && o.service == s.service {
			digests = append(digests, o.digest(now, d.cfg.MinSamples))
		}
	}
	return slices.DeleteFunc(digests, func(p Digest) bool { return p.Warming || p.Count < d.cfg.MinSamples })
}

func (d *Detector) dropOldDigests(now time.Duration) {
	for _, peers := range d.peers {
		for name, p := range peers {
			if now-p.asOf > d.cfg.DigestAge {
				delete(peers, name)
			}
		}
	}
}
