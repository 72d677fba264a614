package routing

import (
	"math"
	"time"
)

// Settings of PathHealth. A penalty goes from 0 for a healthy path to 1 for a dead one.
const (
	// pathFailureWeight is the fraction of the distance to 1 by which a failed exchange raises the penalty.
	pathFailureWeight = 0.4
	// pathSuccessWeight is the fraction of the distance to 0, or to slowPenalty after a slow exchange, by which a
	// successful exchange moves the penalty.
	pathSuccessWeight = 0.3
	// slowPenalty is the penalty that a path approaches when all its exchanges are slow.
	slowPenalty = 0.6
	// pathHalfLife is the time in which the penalty halves without any exchange, so that the path is tried again.
	pathHalfLife = 5 * time.Second
	// negligiblePenalty is the penalty below which a path counts as healthy, so that a choice among hundreds of VMs need not
	// compute the decay of each path that ever failed.
	negligiblePenalty = 0.001
	// pathSlowFactor is the multiple of the typical path time above which an exchange is slow.
	pathSlowFactor = 4
	// pathSlowMin is the minimum path time of a slow exchange. Shorter times vary too much with process scheduling.
	pathSlowMin = 20 * time.Millisecond
	// pathTypicalWeight is the weight of an exchange in the moving average of the path time.
	pathTypicalWeight = 0.05
	// pathTypicalSlowWeight is the weight of a slow exchange in that average. With pathTypicalWeight instead, six
	// slow exchanges in a row would become typical and the fault would no longer be detected.
	pathTypicalSlowWeight = 0.002
)

// PathHealth tracks the network paths from one entry to other VMs. A path fault raises the cost of a VM for this
// entry only; it is not evidence of a fault of the backend servers there.
type PathHealth struct {
	paths map[string]*path
}

// path is the state of the path to one VM.
type path struct {
	penalty   float64
	updatedAt time.Duration // time of the last change of penalty
	typical   float64       // moving average of the path time in seconds; 0 if unknown
}

// NewPathHealth returns a PathHealth in which all paths are healthy.
func NewPathHealth() *PathHealth {
	return &PathHealth{paths: make(map[string]*path)}
}

// Success records a successful exchange and its path time: the total time at the entry minus the time in the queue
// and at the backend server.
func (h *PathHealth) Success(vm string, now, pathTime time.Duration) {
	p := h.get(vm)
	p.decay(now)
	if p.isSlow(pathTime) {
		p.penalty += (slowPenalty - p.penalty) * pathSuccessWeight
		p.updateTypical(pathTime, pathTypicalSlowWeight)
		return
	}
	p.penalty -= p.penalty * pathSuccessWeight
	p.updateTypical(pathTime, pathTypicalWeight)
}

// Failure records an exchange that failed because of the path: the connection could not be established, it broke
// before the response, or the response did not arrive in time although the gate would have responded by then.
func (h *PathHealth) Failure(vm string, now time.Duration) {
	p := h.get(vm)
	p.decay(now)
	p.penalty += (1 - p.penalty) * pathFailureWeight
}

// Penalty returns the penalty of the path, from 0 for a healthy path to 1 for a dead one.
func (h *PathHealth) Penalty(vm string, now time.Duration) float64 {
	p := h.paths[vm]
	if p == nil || p.penalty == 0 {
		return 0
	}
	p.decay(now)
	if p.penalty < negligiblePenalty {
		p.penalty = 0
	}
	return p.penalty
}

// Forget removes the state of a VM that has left the fleet.
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

// decay reduces the penalty by the time since its last change.
func (p *path) decay(now time.Duration) {
	if now <= p.updatedAt {
		return
	}
	p.penalty *= math.Exp2(-float64(now-p.updatedAt) / float64(pathHalfLife))
	p.updatedAt = now
}

// updateTypical adds an exchange to the moving average of the path time.
func (p *path) updateTypical(pathTime time.Duration, weight float64) {
	if p.typical == 0 {
		p.typical = pathTime.Seconds()
		return
	}
	p.typical += (pathTime.Seconds() - p.typical) * weight
}

func (p *path) isSlow(pathTime time.Duration) bool {
	return p.typical > 0 && pathTime >= pathSlowMin && pathTime.Seconds() > pathSlowFactor*p.typical
}
