package outlier

// Health is the detector's judgement of a backend server.
type Health int

const (
	// Healthy servers behave like their peers, or there is too little evidence to say otherwise.
	Healthy Health = iota
	// Suspect servers show some evidence of a fault; probes can add more.
	Suspect
	// Faulty servers show enough evidence for ejection.
	Faulty
)

var healthNames = [...]string{"healthy", "suspect", "faulty"}

// String returns the health as it appears in logs.
func (h Health) String() string {
	if h < 0 || int(h) >= len(healthNames) {
		return "unknown"
	}
	return healthNames[h]
}

// Cause is the kind of fault.
type Cause string

const (
	// CauseNone goes with Healthy.
	CauseNone Cause = ""
	// CauseSlow servers answer much slower than their peers.
	CauseSlow Cause = "slow"
	// CauseFailing servers fail more requests than their peers.
	CauseFailing Cause = "failing"
	// CauseHanging servers leave requests without an answer.
	CauseHanging Cause = "hanging"
)

// Verdict is the judgement of one backend server.
type Verdict struct {
	Server, Service string
	Health          Health
	Cause           Cause
	// Score is the strength of the evidence: 0 for none, 1 at the threshold of Faulty.
	Score float64
	// WantPeers asks the caller for fresh digests of the service: the evidence is strong, but the digests of the peers
	// are too old to tell a fault from trouble of the whole service. The caller asks up to PeersToAsk other gates and
	// passes their answers to Detector.PeerDigest.
	WantPeers bool

	factor float64 // ratio of the time to the peers' median
}

// PeersToAsk is the number of other gates to ask for digests when Verdict.WantPeers is set.
const PeersToAsk = 12
