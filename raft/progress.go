package raft

// progressState is the mode in which a leader sends entries to a member.
type progressState uint8

const (
	// progressProbe: the matching index is unknown, so the leader sends one append message at a time.
	progressProbe progressState = iota
	// progressReplicate: append messages are pipelined.
	progressReplicate
	// progressSnapshot: the leader has sent a snapshot and waits for its acknowledgement.
	progressSnapshot
)

// neverTick is a tick value before all real ticks. It means that an event has not happened.
const neverTick = -1 << 62

// progress is a leader's replication state for one other member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the index of the last entry in each unacknowledged append message, in ascending order.
	inflight []uint64
	// probeInFlight is set in progressProbe from the sending of an append message until a reply or a timeout.
	probeInFlight bool
	// lastProgressTick is the tick of the latest reply that advanced match, or of a later message sent while no other was
	// in flight.
	lastProgressTick int
	// ackedRoundTick is the tick at which the latest heartbeat round that the member replied to started.
	ackedRoundTick int
	// ackedRound is the number of the latest heartbeat round that the member replied to.
	ackedRound uint64
	// sentCommit is the latest commit index that was sent to the member.
	sentCommit uint64
	// lostState is set if the member is a voter but reports an empty log.
	lostState bool
}

func newProgress(next uint64, tick int) *progress {
	return &progress{next: next, ackedRoundTick: neverTick, lastProgressTick: tick}
}

func (p *progress) becomeProbe(next uint64) {
	p.state, p.next, p.probeInFlight = progressProbe, next, false
	p.inflight = nil
}

// acknowledge records that the member's log matches up to index. It reports whether this advanced match.
func (p *progress) acknowledge(index uint64) bool {
	drop := 0
	for drop < len(p.inflight) && p.inflight[drop] <= index {
		drop++
	}
	p.inflight = p.inflight[drop:]
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

func (p *progress) isWindowFull(maxInflight int) bool {
	switch p.state {
	case progressProbe:
		return p.probeInFlight
	case progressReplicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}
