package outlier

import (
	"math"
	"slices"
	"time"
)

// Config holds the settings of a Detector. Zero values select the defaults.
type Config struct {
	// MinPeers is the number of peers with recent digests that a comparison needs. Default 3.
	MinPeers int
	// MinSamples is the number of requests that a comparison needs. Default 8.
	MinSamples int
	// SlowFactor is the ratio to the median latency of the peers from which a server can count as slow. Default 3.
	SlowFactor float64
	// Deviations is the number of robust standard deviations above the median of the peers from which a latency or a
	// ratio can count as a fault. Default 5.
	Deviations float64
	// FailureMargin is the difference to the median failure ratio of the peers from which a server can count as
	// failing. Default 0.15.
	FailureMargin float64
	// HangMargin is the difference to the median ratio of hanging requests at the peers from which a server can count
	// as hanging. It is lower than FailureMargin, since a few hanging requests occupy all slots. Default 0.04.
	HangMargin float64
	// WarmingTime is the maximum time for which the slowness of a warming server is ignored. Default 30s.
	WarmingTime time.Duration
	// MaxDigestAge is the age above which the digest of a peer is not used any more. Default 10s.
	MaxDigestAge time.Duration
	// MaxFreshDigestAge is the age up to which a digest is used for a judgement that can lead to an ejection. Default
	// 500ms.
	MaxFreshDigestAge time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.WarmingTime, 30*time.Second)
	setDuration(&c.MaxDigestAge, 10*time.Second)
	setDuration(&c.MaxFreshDigestAge, 500*time.Millisecond)
	setInt(&c.MinPeers, 3)
	setInt(&c.MinSamples, 8)
	setFloat(&c.SlowFactor, 3)
	setFloat(&c.Deviations, 5)
	setFloat(&c.FailureMargin, 0.15)
	setFloat(&c.HangMargin, 0.04)
	return c
}

// Detector judges the backend servers of one VM by comparison with their peers.
type Detector struct {
	cfg     Config
	servers map[string]*server
	names   []string                   // sorted keys of servers
	peers   map[string]map[string]peer // by service and server
}

// server holds the evidence about one local backend server.
type server struct {
	name, service  string
	warming        bool
	firstEvaluated time.Duration // first evaluation, or never
	window         window
	running        map[uint64]time.Duration // start times by request id
	strongSince    time.Duration            // start of the current strong evidence, or never
	sampleCount    int                      // number of samples so far
	countAtStrong  int                      // sampleCount at strongSince
	peersAskedAt   time.Duration            // last request for fresh digests, or never
}

// peer is the newest digest of a backend server on another VM.
type peer struct {
	Digest
	asOf time.Duration // the digest is at least as new
}

// NewDetector returns a detector without backend servers.
func NewDetector(cfg Config) *Detector {
	return &Detector{
		cfg:     cfg.withDefaults(),
		servers: make(map[string]*server),
		peers:   make(map[string]map[string]peer),
	}
}

// AddServer starts the evaluation of a backend server. Adding it again, for a new instance, drops all evidence about
// it.
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

		firstEvaluated: never,
		strongSince:    never,
		peersAskedAt:   never,
	}
}

// RemoveServer drops a backend server and all evidence about it.
func (d *Detector) RemoveServer(name string) {
	if d.servers[name] == nil {
		return
	}
	delete(d.servers, name)
	i, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Delete(d.names, i, i+1)
}

// SetWarming sets whether the server is in the ramp after a new instance or a readmission. Its slowness is then ignored
// for at most Config.WarmingTime. A ramp that was restarted because the server became slow must not be reported here,
// since that would hide the fault.
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

// Start records that a request was sent to a server, so that requests that never end count as evidence too. id is
// unique among the running requests of the server.
func (d *Detector) Start(name string, id uint64, now time.Duration) {
	if s := d.servers[name]; s != nil {
		s.running[id] = now
	}
}

// Finish records the end of a request. Use Cancel for a request that the caller has abandoned.
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

// Cancel drops a request that ended without evidence for or against the server.
func (d *Detector) Cancel(name string, id uint64) {
	if s := d.servers[name]; s != nil {
		delete(s.running, id)
	}
}

// Observe records a request or probe that ended now. latency excludes the time in the queue of the gate.
func (d *Detector) Observe(name string, now, latency time.Duration, failed bool) {
	if s := d.servers[name]; s != nil {
		s.sampleCount++
		s.window.add(sample{at: now, latency: latency, failed: failed})
	}
}

// ObserveProbe records a probe. The latency of probes differs from that of requests, so it is scaled: the probe counts
// as a request whose latency has the same ratio to the median of the peers as that of the probe has to ProbeCost.
func (d *Detector) ObserveProbe(name string, now, latency time.Duration, failed bool) {
	s := d.servers[name]
	if s == nil {
		return
	}
	peerMedian := d.peerMedian(d.peerDigests(s, now, d.cfg.MaxDigestAge))
	if peerMedian <= 0 {
		return
	}
	d.Observe(name, now, time.Duration(float64(latency)/float64(ProbeCost)*float64(peerMedian)), failed)
}

// peerMedian returns the median of the median latencies of the peers, or 0 if there are fewer than Config.MinPeers.
func (d *Detector) peerMedian(peers []Digest) time.Duration {
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

// AddPeerDigest records the digest of a backend server of the service on another VM. asOf is a lower limit, on the
// local clock, for the time at which the peer made the digest: for a reply, the time of the request; for a digest that
// was sent without a request and may take seconds to arrive, the time of receipt less 5 s. A digest with an earlier
// asOf than the known one is ignored.
func (d *Detector) AddPeerDigest(service string, digest Digest, asOf time.Duration) {
	peers := d.peers[service]
	if peers == nil {
		peers = make(map[string]peer)
		d.peers[service] = peers
	}
	if known, ok := peers[digest.Server]; !ok || asOf >= known.asOf {
		peers[digest.Server] = peer{digest, asOf}
	}
}

// Digest returns the summary of a local server for the gates of its peers, or false if the server is unknown.
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

// judge compares a server with its peers. A server is judged Faulty only if strong evidence lasts and a comparison with
// fresh digests then confirms it: when a whole service becomes slow, each server looks slow in comparison with older
// digests.
func (d *Detector) judge(s *server, now time.Duration) Verdict {
	peers := d.peerDigests(s, now, d.cfg.MaxDigestAge)
	v := d.compare(s, peers, now)
	if v.Health != Faulty {
		s.strongSince = never
		d.suspectEarly(&v, s, peers, now)
		return v
	}
	if s.strongSince == never {
		s.strongSince = now
		s.countAtStrong = s.sampleCount
	}
	v.Health = Suspect
	if now-s.strongSince < d.confirmTime(v.Cause, v.factor) || !s.hasNewEvidence(v.Cause, now) {
		return v
	}
	fresh := d.peerDigests(s, now, min(d.cfg.MaxFreshDigestAge, now-s.strongSince))
	if len(fresh) >= d.cfg.MinPeers {
		return d.compare(s, fresh, now)
	}
	if now-s.peersAskedAt >= peerRequestInterval {
		s.peersAskedAt = now
		v.NeedsPeerDigests = true
	}
	return v
}

// suspectEarly marks a server as Suspect when its newest samples are all bad. At low rates, this is long before there
// are enough samples for a comparison. The only effect of the suspicion is that probes are sent, which add samples.
func (d *Detector) suspectEarly(v *Verdict, s *server, peers []Digest, now time.Duration) {
	const (
		minSamplesInRow = 2
		score           = 0.5
	)
	newest := s.window.newest(now, 0, minSamplesInRow)
	if v.Health != Healthy || d.ignoreSlowness(s, now) || len(newest) < minSamplesInRow {
		return
	}
	slowLatency := time.Duration(d.cfg.SlowFactor * float64(d.peerMedian(peers)))
	if slowLatency <= 0 {
		return
	}
	cause := CauseFailing
	for _, sample := range newest[:minSamplesInRow] {
		if !sample.failed && sample.latency < slowLatency {
			return
		}
		if !sample.failed {
			cause = CauseSlow
		}
	}
	v.Health, v.Cause, v.Score = Suspect, cause, score
}

const (
	// confirmSamples is the number of new samples for which strong evidence must last. At low rates, time alone brings
	// no new evidence.
	confirmSamples = 3
	// confirmRunningTime is the time after which requests that are still running count as new evidence.
	confirmRunningTime = time.Second
)

// hasNewEvidence reports whether there is new evidence since the evidence became strong. Hanging requests are new
// evidence as their age grows.
func (s *server) hasNewEvidence(cause Cause, now time.Duration) bool {
	if cause == CauseHanging || s.sampleCount-s.countAtStrong >= confirmSamples {
		return true
	}
	return len(s.running) > 0 && now-s.strongSince >= confirmRunningTime
}

// peerRequestInterval is the minimum time between two requests for fresh digests of peers.
const peerRequestInterval = 200 * time.Millisecond

// confirmTime returns the time for which strong evidence must last. It is short for a server that is far slower than
// its peers and grows to seconds for one that is only a few times slower, because a server with cold caches that was
// not announced as warming becomes faster within seconds.
func (d *Detector) confirmTime(cause Cause, factor float64) time.Duration {
	const (
		otherCausesWait = 300 * time.Millisecond
		minWait         = 400 * time.Millisecond
		minWaitFactor   = 8 // from this factor on, minWait suffices
		exponent        = 8
		maxWait         = 10 * time.Second
	)
	switch {
	case cause != CauseSlow:
		return otherCausesWait
	case factor >= minWaitFactor:
		return minWait
	}
	wait := float64(minWait) * math.Pow(math.Log(minWaitFactor)/math.Log(max(factor, 1.1)), exponent)
	return time.Duration(min(wait, float64(maxWait)))
}

// compare judges a server by a single comparison with the digests of its peers.
func (d *Detector) compare(s *server, peers []Digest, now time.Duration) Verdict {
	v := Verdict{Server: s.name, Service: s.service}
	own := s.digest(now, d.cfg.MinSamples)
	if own.Count+own.Hanging < d.cfg.MinSamples || len(peers) < d.cfg.MinPeers {
		return v
	}
	v.raise(CauseFailing, d.ratioScore(d.cfg.FailureMargin, minFailureDeviation, own, peers, Digest.failureRatio))
	v.raise(CauseHanging, d.ratioScore(d.cfg.HangMargin, minHangDeviation, own, peers, Digest.hangRatio))
	if !d.ignoreSlowness(s, now) {
		score, factor := d.slowScore(own, peers)
		v.raise(CauseSlow, score)
		v.factor = factor
	}
	return v
}

// ignoreSlowness reports whether the slowness of the server is ignored because it is warming.
func (d *Detector) ignoreSlowness(s *server, now time.Duration) bool {
	if s.firstEvaluated == never {
		s.firstEvaluated = now
	}
	return s.warming && now-s.firstEvaluated < d.cfg.WarmingTime
}

// raise sets the verdict to a cause if its score is higher than the score so far and high enough for Suspect.
func (v *Verdict) raise(cause Cause, score float64) {
	const minSuspectScore = 0.5
	if score <= v.Score || score < minSuspectScore {
		return
	}
	v.Score, v.Cause, v.Health = score, cause, Suspect
	if score >= 1 {
		v.Health = Faulty
	}
}

// peerDigests returns the digests to compare a server with, in no particular order: those of its peers on other VMs up
// to an age, and those of other local servers of the service. Warming servers and those with too few requests are left
// out.
func (d *Detector) peerDigests(s *server, now, age time.Duration) []Digest {
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
			if now-p.asOf > d.cfg.MaxDigestAge {
				delete(peers, name)
			}
		}
	}
}
