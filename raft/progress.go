package raft

// progressState tells how a leader sends entries to a member.
type progressState uint8

const (
	// progressProbe: the matching index is not known; one append message at a time.
	progressProbe progressState = iota
	// progressReplicate: append messages are pipelined.
	progressReplicate
	// progressSnapshot: a snapshot is on its way.
	progressSnapshot
)

// never is a tick before all others.
const never = -1 << 62

// progress is what a leader knows about one other member.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// inflight holds the last index of each unanswered append message.
	inflight []uint64
	// paused is set in progressProbe after a message until a reply or a timeout.
	paused bool
	// advanceTick is the tick of the last send after idleness or of the last reply that made progress.
	advanceTick int
	// ackTick is the tick at which the latest answered round began.
	ackTick int
	// ackRound is the latest answered round.
	ackRound uint64
	// sentCommit is the commit index that the member has been told.
	sentCommit uint64
	// lostState marks a voter that reports an empty log.
	lostState bool
}

func newProgress(next uint64, tick int) *progress {
	return &progress{next: next, ackTick: never, advanceTick: tick}
}

func (p *progress) probe(next uint64) {
	p.state, p.next, p.paused = progressProbe, next, false
	p.inflight = nil
}

// acknowledge records that the member holds the log up to index; it reports whether that is new.
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

func (p *progress) full(maxInflight int) bool {
	switch p.state {
	case progressProbe:
		return p.paused
	case progressReplicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}
