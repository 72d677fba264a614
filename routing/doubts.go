package routing

import "time"

const (
	// DoubtTime is how long an entry goes by the refusal of a doubtful backend server's gate without further news. Gray
	// failures last for seconds, and the gate tells the entries that it refused when the backend server has recovered. After
	// this time without a result a gate takes a request that may not be repeated as a trial, so it must be offered one.
	DoubtTime = 3 * time.Second
	// BriefDoubtTime is the same after a single failure, which is mostly forgotten with the next success.
	BriefDoubtTime = 500 * time.Millisecond
	// TrialSpacing is the least time between two offers of trials by one entry to one doubtful backend server. It is the
	// shortest time between two trials that a gate takes after repeated failures.
	TrialSpacing = 250 * time.Millisecond
	// FarTrialSpacing is the same for an entry of another failure domain. The entries near a backend server may have no request
	// that may fail, and the floor is measured over 2 s, so a sound one must get a request within that time.
	FarTrialSpacing = 2 * time.Second
)

// Place is a service on one VM.
type Place struct{ VM, Service string }

// Doubts is what one entry knows of places whose gate refused a request because the backend server is doubtful. It answers
// a gray failure that lasts for seconds under a steady load: without it each entry goes on to offer its requests there, and
// each refusal crosses failure domains.
type Doubts struct {
	rows map[Place]doubt
}

type doubt struct {
	until, nextTrial, nextFarTrial time.Duration
}

// NewDoubts returns a Doubts without any.
func NewDoubts() *Doubts { return &Doubts{rows: map[Place]doubt{}} }

// Note records that the gate at a place refused a request. lasting is true where the backend server failed repeatedly and the
// gate tells of its recovery.
func (d *Doubts) Note(p Place, now time.Duration, lasting bool) {
	row := doubt{until: now + BriefDoubtTime, nextTrial: now + TrialSpacing, nextFarTrial: now + BriefDoubtTime}
	if lasting {
		row.until = now + DoubtTime
		row.nextFarTrial = now + FarTrialSpacing
	}
	d.rows[p] = row
}

// TrialPassed records that a trial succeeded: the next one need not wait.
func (d *Doubts) TrialPassed(p Place, now time.Duration) {
	if row, ok := d.rows[p]; ok {
		row.nextTrial = now
		d.rows[p] = row
	}
}

// Clear records that the place has recovered.
func (d *Doubts) Clear(p Place) { delete(d.rows, p) }

// Offer describes a request that might be sent to a place.
type Offer struct {
	// MayFail is true for a request that may try a doubtful backend server.
	MayFail bool
	// Near is true in the same failure domain.
	Near bool
}

// Avoid tells whether a request must not be sent to a place. Trials of a backend server that failed repeatedly are mostly left
// to the entries of its failure domain, so that few that its gate refuses cross failure domains.
func (d *Doubts) Avoid(p Place, now time.Duration, o Offer) bool {
	row, ok := d.rows[p]
	switch {
	case !ok:
		return false
	case now >= row.until:
		delete(d.rows, p)
		return false
	case o.MayFail && o.Near:
		return now < row.nextTrial
	case o.MayFail:
		return now < row.nextFarTrial
	default:
		return true
	}
}

// TakeTrial tells whether a request that may fail should try a place now. Without such trials the capacity of a backend server
// that has recovered stays unused. The next one is due after the spacing, also where the path to the place has failed and its
// gate answers nothing.
func (d *Doubts) TakeTrial(p Place, now time.Duration, near bool) bool {
	row, ok := d.rows[p]
	due := row.nextFarTrial
	if near {
		due = row.nextTrial
	}
	if !ok || now < due || now >= row.until {
		return false
	}
	row.nextTrial, row.nextFarTrial = now+TrialSpacing, now+FarTrialSpacing
	d.rows[p] = row
	return true
}
