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
		{desc: "entry of another failure domain", trials: false, least: 1, most: 2},
	} {
		t.Run(test.desc, func(t *testing.T) {
			d := NewDoubts()
			offers := 0
			for i := range 80 {
				now := time.Duration(i) * 100 * time.Millisecond
				if !d.Avoid(p, now, Offer{MayFail: i%2 == 0, Near: test.trials}) {
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
	assert.Assert(t, !d.TakeTrial(p, 0))
	d.Note(p, 0, true)
	d.Note(brief, 0, false)
	assert.Assert(t, d.Avoid(p, 1, last) && d.Avoid(p, 1, trial) && !d.TakeTrial(p, 1))
	d.TrialPassed(p, 1)
	assert.Assert(t, d.Avoid(p, 1, last) && d.Avoid(p, 1, far) && !d.Avoid(p, 1, trial) && d.TakeTrial(p, 1))
	assert.Assert(t, d.Avoid(p, DoubtTime-1, last))
	assert.Assert(t, !d.Avoid(p, DoubtTime, last))
	assert.Assert(t, d.Avoid(brief, TrialSpacing-1, far) && !d.Avoid(brief, TrialSpacing, far))
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
		if d.TakeTrial(p, now) {
			trials++
		}
	}
	assert.Assert(t, trials <= int(DoubtTime/TrialSpacing), "%d trials", trials)
}
