package routing

import (
	"math"
	"time"
)

// Path health settings.
const (
	// pathErrorWeight is the share by which one failed exchange moves the penalty towards 1.
	pathErrorWeight = 0.4
	// pathSuccessWeight is the share by which one good exchange moves the penalty towards 0.
	pathSuccessWeight = 0.3
	// slowPenalty is the penalty that a path with only slow exchanges reaches.
	slowPenalty = 0.6
	// pathHalfLife is the time in which a penalty halves without traffic, so that a path is tried again.
	pathHalfLife = 5 * time.Second
	// pathSlowFactor is the ratio to the usual path time from which an exchange counts as slow.
	pathSlowFactor = 4
	// pathSlowMin is the least path time that can count as slow; below it scheduling noise dominates.
	pathSlowMin = 20 * time.Millisecond
	// pathUsualWeight is the weight of one exchange in the usual path time.
	pathUsualWeight = 0.05
	// pathUsualSlowWeight is the weight of a slow exchange. With the full weight, six slow exchanges in a row become
	// the usual time and the fault is not seen any more.
	pathUsualSlowWeight = 0.002
)

// PathHealth is an entry's own view of the paths to other VMs. A path fault lowers the rank of a VM for this entry
// only; it is no evidence against the backend servers of the VM.
type PathHealth struct {
	paths map[string]*path
}

type path struct {
	penalty float64
	at      time.Duration // time at which penalty held
	usual   float64       // usual path time in seconds, 0 when not known
}

// NewPathHealth returns a view in which all paths are healthy.
func NewPathHealth() *PathHealth {
	return &PathHealth{paths: make(map[string]*path)}
}

// Success records an exchange with its path time: the entry's total time minus queue time and backend time.
func (h *PathHealth) Success(vm string, now, pathTime time.Duration) {
	p := h.get(vm)
	p.decay(now)
	if p.slow(pathTime) {
		p.penalty += (slowPenalty - p.penalty) * pathSuccessWeight
		p.learn(pathTime, pathUsualSlowWeight)
		return
	}
	p.penalty -= p.penalty * pathSuccessWeight
	p.learn(pathTime, pathUsualWeight)
}

// Failure records an exchange that the path broke: a failed connection, a connection lost without an answer, or an
// answer that did not arrive in time although the gate would have answered by itself.
func (h *PathHealth) Failure(vm string, now time.Duration) {
	p := h.get(vm)
	p.decay(now)
	p.penalty += (1 - p.penalty) * pathErrorWeight
}

// Penalty returns the penalty of the path, from 0 for a healthy path to 1 for a dead one.
func (h *PathHealth) Penalty(vm string, now time.Duration) float64 {
	p := h.paths[vm]
	if p == nil {
		return 0
	}
	p.decay(now)
	return p.penalty
}

// Forget drops what is known about a VM that left.
func (h *PathHealth) Forget(vm string) {
	delete(h.paths, vm)
}

func (h *PathHealth) get(vm string) *path {
	p := h.paths[vm]
	if p == nil {
		p = &path{}
		h.paths[vm] = p
	}
	return p
}

func (p *path) decay(now time.Duration) {
	if now <= p.at {
		return
	}
	p.penalty *= math.Exp2(-float64(now-p.at) / float64(pathHalfLife))
	p.at = now
}

func (p *path) learn(pathTime time.Duration, weight float64) {
	if p.usual == 0 {
		p.usual = pathTime.Seconds()
		return
	}
	p.usual += (pathTime.Seconds() - p.usual) * weight
}

func (p *path) slow(pathTime time.Duration) bool {
	return p.usual > 0 && pathTime >= pathSlowMin && pathTime.Seconds() > pathSlowFactor*p.usual
}
