package quota

import (
	"math"
	"time"
)

// demand estimates a team's request rate at one process by an exponentially decaying count.
type demand struct {
	// window is the time constant of the decay.
	window    time.Duration
	perSecond float64
	updated   time.Duration
}

func (d *demand) decay(now time.Duration) {
	elapsed := now - d.updated
	if elapsed <= 0 {
		return
	}
	d.perSecond *= math.Exp(-elapsed.Seconds() / d.window.Seconds())
	d.updated = now
}

func (d *demand) add(now time.Duration) {
	d.decay(now)
	d.perSecond += 1 / d.window.Seconds()
}
