package quota

import (
	"math"
	"time"
)

// demandWindow is the time constant of the observed demand. Shorter windows forget a team between two requests of a
// moderate rate; longer ones keep tokens from processes that the traffic moved to.
const demandWindow = 250 * time.Millisecond

// demand estimates a team's request rate at one process by an exponentially decaying count.
type demand struct {
	perSecond float64
	updated   time.Duration
}

func (d *demand) decay(now time.Duration) {
	elapsed := now - d.updated
	if elapsed <= 0 {
		return
	}
	d.perSecond *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	d.updated = now
}

func (d *demand) add(now time.Duration) {
	d.decay(now)
	d.perSecond += 1 / demandWindow.Seconds()
}
