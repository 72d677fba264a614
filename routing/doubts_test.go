package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Replays a backend server that is gray for eight seconds under ten requests a second of one entry, half of which may try a
// doubtful one. Guards against an entry that goes on to offer requests which the gate refuses, and against one that never
// tries again.
func TestDoubtsBoundRefusedOffers(t *testing.T) {
	p := Place{"vm-a", "svc"}
	for _, test := range []struct {
		desc        string
		trials      bool
		least, most int
	}{
		{desc: "entry of the same failure domain", trials: true, least: 8, most: 33},
		{desc: "entry of another failure domain", trials: false, least: 4, most: 6},
	} {
		t.Run(test.desc, func(t *testing.T) {
			d := NewDoubts()
			offers := 0
			for i := range 80 {
				now := time.Duration(i) * 100 * time.Millisecond
				mayFail := i%2 == 0
				if mayFail && d.TakeTrial(p, now, test.trials) || !d.Avoid(p, now, Offer{MayFail: mayFail, Near: test.trials}) {
					offers++
					d.Note(p, now, true)
				}
			}
			assert.Assert(t, offers >= test.least && offers <= test.most, "%d offers", offers)
		})
	}
}

// Guards against capacity that stays unused after its recovery, and against a doubt that nothing ends.
func TestDoubtsEnd(t *testing.T) {
	p, brief := Place{"vm-a", "svc"}, Place{"vm-b", "svc"}
	last, trial, far := Offer{Near: true}, Offer{MayFail: true, Near: true}, Offer{MayFail: true}
	d := NewDoubts()
	assert.Assert(t, !d.TakeTrial(p, 0, true))
	d.Note(p, 0, true)
	d.Note(brief, 0, false)
	assert.Assert(t, d.Avoid(p, 1, last) && d.Avoid(p, 1, trial) && !d.TakeTrial(p, 1, true))
	d.TrialPassed(p, 1)
	assert.Assert(t, d.Avoid(p, 1, last) && d.Avoid(p, 1, far) && !d.Avoid(p, 1, trial) && d.TakeTrial(p, 1, true))
	assert.Assert(t, d.Avoid(p, DoubtTime-1, last))
	assert.Assert(t, !d.Avoid(p, DoubtTime, last))
	assert.Assert(t, d.Avoid(brief, TrialSpacing-1, trial) && !d.Avoid(brief, TrialSpacing, trial))
	assert.Assert(t, d.Avoid(brief, BriefDoubtTime-1, far))
	assert.Assert(t, d.Avoid(brief, BriefDoubtTime-1, last) && !d.Avoid(brief, BriefDoubtTime, last))
	d.Note(p, 0, true)
	d.Clear(p)
	assert.Assert(t, !d.Avoid(p, 0, last))
	d.TrialPassed(p, 0)
	assert.Assert(t, !d.Avoid(p, 0, last))
}

// Guards against an entry that sends each request to a place whose path has failed, because no refusal ends the trial: each
// would wait until the silent path is noticed.
func TestDoubtsSpaceTrialsWithoutAnswers(t *testing.T) {
	p := Place{"vm-a", "svc"}
	d := NewDoubts()
	d.Note(p, 0, true)
	trials := 0
	for now := time.Duration(0); now < DoubtTime; now += 10 * time.Millisecond {
		if d.TakeTrial(p, now, true) {
			trials++
		}
	}
	assert.Assert(t, trials <= int(DoubtTime/TrialSpacing), "%d trials", trials)
}

// Replays a service whose backend server is sound again while only entries of other failure domains have requests that may
// fail. Guards against one that gets nothing for 2 s, which broke the floor in a hunt (trouble-3 with seed 401225045962).
func TestFarEntriesTryAfterTwoSeconds(t *testing.T) {
	p := Place{"vm-a", "svc"}
	d := NewDoubts()
	d.Note(p, 0, true)
	last := time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		if d.TakeTrial(p, now, false) {
			d.Note(p, now, true) // the gate takes others first
			last = now
		}
		assert.Assert(t, now-last <= 2*time.Second, "no offer from %s to %s", last, now)
	}
}
