package raft

import (
	"errors"
	"slices"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// call is a client's write to or read of the register in a registerMachine.
type call struct {
	write bool
	value string
	// startTime is the logical time at which the call started; maxApplied is the highest index that any member had
	// applied by then.
	startTime  int64
	maxApplied uint64
	term       uint64
}

// oracle checks the invariants that a correct group never violates.
type oracle struct {
	t rapid.TB
	// leaders holds the leader of each term.
	leaders map[uint64]ID
	// entries holds the committed log by index.
	entries map[uint64]Entry
	// states holds the hash of the state machine after each index.
	states map[uint64]uint64
	// writes holds the writes that are not applied yet, by index; openReads the reads without a result, by context.
	writes    map[uint64][]call
	openReads map[uint64]call
	// maxApplied is the highest index that any member has applied. Its write may be acknowledged to the client from then
	// on.
	maxApplied  uint64
	logicalTime int64
	history     []porcupine.Operation
	snapshots   int
}

func newOracle(t rapid.TB) *oracle {
	return &oracle{
		t: t, leaders: map[uint64]ID{}, entries: map[uint64]Entry{}, states: map[uint64]uint64{},
		writes: map[uint64][]call{}, openReads: map[uint64]call{},
	}
}

// observe checks that each term has at most one leader and that a new leader has all committed entries.
func (o *oracle) observe(m *member) {
	term := m.node.term
	if !isLeader(m) || o.leaders[term] == m.id {
		return
	}
	if other, known := o.leaders[term]; known {
		o.t.Fatalf("term %d has two leaders, %d and %d", term, other, m.id)
	}
	o.leaders[term] = m.id
	for index, e := range o.entries {
		if index > m.node.log.baseIndex && e.Term < term && !m.node.log.matches(index, e.Term) {
			o.t.Fatalf("leader %d of term %d lacks committed entry %d of term %d", m.id, term, index, e.Term)
		}
	}
}

// committed checks an applied entry against the entry that other members applied at its index, and acknowledges the
// write.
func (o *oracle) committed(m *member, e Entry) {
	if known, ok := o.entries[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		o.t.Fatalf("member %d applied %v at an index where %v was applied before", m.id, e, known)
	}
	o.entries[e.Index] = e
	for _, w := range o.writes[e.Index] {
		if w.term == e.Term {
			o.recordCall(w, "")
		}
	}
	delete(o.writes, e.Index)
	o.maxApplied = max(o.maxApplied, e.Index)
	o.applied(m)
}

// applied checks that all members have the same state after the same index.
func (o *oracle) applied(m *member) {
	if known, ok := o.states[m.state.index]; ok && known != m.state.hash {
		o.t.Fatalf("member %d has another state at index %d", m.id, m.state.index)
	}
	o.states[m.state.index] = m.state.hash
}

func (o *oracle) nextTime() int64 {
	o.logicalTime++
	return o.logicalTime
}

func (o *oracle) writeStarted(index, term uint64, value string) {
	o.writes[index] = append(o.writes[index], call{write: true, value: value, startTime: o.nextTime(), term: term})
}

func (o *oracle) readStarted(context uint64) {
	o.openReads[context] = call{startTime: o.nextTime(), maxApplied: o.maxApplied}
}

// reads serves confirmed reads and checks that each sees all writes that were acknowledged before it started.
func (o *oracle) reads(m *member, r Ready) {
	for _, context := range r.FailedReads {
		if _, known := o.openReads[context]; !known {
			o.t.Fatalf("read %d failed after it was confirmed", context)
		}
		delete(o.openReads, context)
	}
	m.reads = slices.DeleteFunc(append(m.reads, r.Reads...), func(s ReadState) bool {
		read, known := o.openReads[s.Context]
		if !known || s.Index < read.maxApplied {
			o.t.Fatalf("read %d on %d got index %d, acknowledged before was %d", s.Context, m.id, s.Index, read.maxApplied)
		}
		if m.state.index < s.Index {
			return false
		}
		delete(o.openReads, s.Context)
		o.recordCall(read, m.state.value)
		return true
	})
}

func (o *oracle) recordCall(c call, output string) {
	o.history = append(o.history, porcupine.Operation{Input: c, Call: c.startTime, Output: output, Return: o.nextTime()})
}

// register is the sequential model of a registerMachine's value.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if c := input.(call); c.write {
			return true, c.value
		}
		return output == state, state
	},
}

// checkHistory checks that the history of all calls is linearizable. Writes that were never applied are left out, so
// that a read of such a value fails the check.
func (o *oracle) checkHistory() {
	if !porcupine.CheckOperations(register, o.history) {
		o.t.Fatalf("the history of %d calls is not linearizable", len(o.history))
	}
}

// stepFailed checks an error of Node.Step. Only ErrMalformed is a failure; the other errors reject a message as
// intended.
func (o *oracle) stepFailed(m Message, err error) {
	if errors.Is(err, ErrMalformed) {
		o.t.Fatalf("message %+v: %v", m, err)
	}
}
