package state

import (
	"encoding/json"
	"fmt"
	"slices"
)

const (
	// maxDeltas limits the number of accepted commands that are kept for processes that fetch the commands after their
	// version.
	maxDeltas = 4096
	// maxDeltaBytes limits the total size of those commands.
	maxDeltaBytes = 4 << 20
)

// Delta is an accepted command, with the version and chain of the state before it.
type Delta struct {
	From uint64 `json:"from"`
	// Chain is the hash of all commands before this one, from State.Chain.
	Chain   uint64          `json:"chain"`
	Command json.RawMessage `json:"command"`
}

// deltaLog holds the latest deltas, without gaps.
type deltaLog struct {
	list  []Delta
	bytes int
}

func (l *deltaLog) add(d Delta) {
	l.list = append(l.list, d)
	l.bytes += len(d.Command)
	for len(l.list) > maxDeltas || l.bytes > maxDeltaBytes {
		l.bytes -= len(l.list[0].Command)
		l.list[0] = Delta{}
		l.list = l.list[1:]
	}
}

// Since returns the accepted commands after a version, in order. It returns false if some of them have been compacted
// away; a snapshot is then needed. For a version that this copy has not reached it returns no commands and true.
func (s *State) Since(version uint64) ([]Delta, bool) {
	if version >= s.version {
		return nil, true
	}
	missing := s.version - version
	if missing > uint64(len(s.deltas.list)) {
		return nil, false
	}
	return slices.Clone(s.deltas.list[uint64(len(s.deltas.list))-missing:]), true
}

// ChainAt returns the chain at a version. It returns false if this copy has not reached the version or has compacted it
// away.
func (s *State) ChainAt(version uint64) (uint64, bool) {
	if version == s.version {
		return s.chain, true
	}
	deltas, ok := s.Since(version)
	if !ok || len(deltas) == 0 {
		return 0, false
	}
	return deltas[0].Chain, true
}

// GapError reports that a delta does not follow the version of this copy.
type GapError struct{ From, Version uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("delta applies to version %d, this copy has version %d", e.From, e.Version)
}

// DivergedError reports that this copy has another history than the delta, or that it refused a command that was
// accepted elsewhere. The copy must be replaced by a snapshot.
type DivergedError struct {
	Version uint64
	Refusal *Refusal
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("copy at version %d differs from the fleet: %v", e.Version, e.Refusal)
}

// Unwrap returns the refusal.
func (e *DivergedError) Unwrap() error { return e.Refusal }

// ApplyDelta applies an accepted command to this copy. Errors are *GapError, after which the copy is unchanged and can
// be used, and *DivergedError, after which it must be replaced.
func (s *State) ApplyDelta(d Delta) error {
	if d.From != s.version {
		return &GapError{From: d.From, Version: s.version}
	}
	if d.Chain != s.chain {
		return &DivergedError{Version: s.version, Refusal: refuse(CodeConflict, nil, "the copy has another history")}
	}
	result := s.apply(d.Command)
	if result.Err != nil {
		return &DivergedError{Version: s.version, Refusal: result.Err}
	}
	if s.version != d.From+1 {
		return &DivergedError{Version: s.version, Refusal: refuse(CodeChangeIDReused, nil, "the change is known already")}
	}
	return nil
}
