package outlier

// Health is the judgement of a backend server by a Detector or Breaker.
type Health int

const (
	// Healthy servers behave like their peers, or there is too little evidence of a fault.
	Healthy Health = iota
	// Suspect servers show some evidence of a fault. A Detector has them probed to gain more.
	Suspect
	// Faulty servers show enough evidence of a fault for their ejection.
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
	// CauseNone belongs to Healthy.
	CauseNone Cause = ""
	// CauseSlow servers respond much more slowly than their peers.
	CauseSlow Cause = "slow"
	// CauseFailing servers fail more requests than their peers.
	CauseFailing Cause = "failing"
	// CauseHanging servers leave requests without a response for far longer than usual.
	CauseHanging Cause = "hanging"
)

// Verdict is the judgement of one backend server.
type Verdict struct {
	Server, Service string
	Health          Health
	Cause           Cause
	// Score is the strength of the evidence: 0 is none, and 1 is the threshold of Faulty.
	Score float64
	// NeedsPeerDigests asks the caller for fresh digests of the service: the evidence is strong, but the digests of the
	// peers are too old to distinguish a fault of this server from a problem of the whole service. The caller requests
	// them from up to PeersToAsk other gates and passes the replies to Detector.AddPeerDigest.
	NeedsPeerDigests bool

	factor float64 // ratio of the median latency to that of the peers
}

// PeersToAsk is the maximum number of other gates to request digests from when Verdict.NeedsPeerDigests is set.
const PeersToAsk = 12
