package raft

import (
	"errors"
	"slices"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// call is a client's write or read of the register that the machine holds.
type call struct {
	write bool
	value string
	// began is the logical time of the call, acked the highest index acknowledged before it.
	began int64
	acked uint64
	term  uint64
}

// oracle holds what a correct group may never contradict.
type oracle struct {
	t rapid.TB
	// leaders is the leader of each term.
	leaders map[uint64]ID
	// entries is the committed log.
	entries map[uint64]Entry
	// states is the hash of the state machine after each index.
	states map[uint64]uint64
	// writes wait to be applied, by index; openReads wait for their answer, by context.
	writes    map[uint64][]call
	openReads map[uint64]call
	// acked is the highest index that any member applied. A client may learn of a write from then on.
	acked     uint64
	now       int64
	history   []porcupine.Operation
	snapshots int
}

func newOracle(t rapid.TB) *oracle {
	return &oracle{
		t: t, leaders: map[uint64]ID{}, entries: map[uint64]Entry{}, states: map[uint64]uint64{},
		writes: map[uint64][]call{}, openReads: map[uint64]call{},
	}
}

// observe checks that each term has one leader and that the leader holds all committed entries.
func (o *oracle) observe(m *member) {
	term := m.node.term
	if !leading(m) || o.leaders[term] == m.id {
		return
	}
	if other, known := o.leaders[term]; known {
		o.t.Fatalf("term %d has two leaders, %d and %d", term, other, m.id)
	}
	o.leaders[term] = m.id
	for index, e := range o.entries {
		if index > m.node.log.base && e.Term < term && !m.node.log.matches(index, e.Term) {
			o.t.Fatalf("leader %d of term %d lacks committed entry %d of term %d", m.id, term, index, e.Term)
		}
	}
}

// committed checks an applied entry against the log that others applied and acknowledges the proposer.
func (o *oracle) committed(m *member, e Entry) {
	if known, ok := o.entries[e.Index]; ok && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
		o.t.Fatalf("member %d applied %v at an index where %v was applied before", m.id, e, known)
	}
	o.entries[e.Index] = e
	for _, w := range o.writes[e.Index] {
		if w.term == e.Term {
			o.finished(w, "")
		}
	}
	delete(o.writes, e.Index)
	o.acked = max(o.acked, e.Index)
	o.applied(m)
}

// applied checks that states at equal index are equal.
func (o *oracle) applied(m *member) {
	if known, ok := o.states[m.state.index]; ok && known != m.state.hash {
		o.t.Fatalf("member %d has another state at index %d", m.id, m.state.index)
	}
	o.states[m.state.index] = m.state.hash
}

func (o *oracle) tick() int64 {
	o.now++
	return o.now
}

func (o *oracle) writeStarted(index, term uint64, value string) {
	o.writes[index] = append(o.writes[index], call{write: true, value: value, began: o.tick(), term: term})
}

func (o *oracle) readStarted(context uint64) {
	o.openReads[context] = call{began: o.tick(), acked: o.acked}
}

// reads serves confirmed reads and checks that none is older than a write acknowledged before it began.
func (o *oracle) reads(m *member, r Ready) {
	for _, context := range r.FailedReads {
		if _, known := o.openReads[context]; !known {
			o.t.Fatalf("read %d failed after it was answered", context)
		}
		delete(o.openReads, context)
	}
	m.reads = slices.DeleteFunc(append(m.reads, r.Reads...), func(s ReadState) bool {
		read, known := o.openReads[s.Context]
		if !known || s.Index < read.acked {
			o.t.Fatalf("read %d on %d got index %d, acknowledged before was %d", s.Context, m.id, s.Index, read.acked)
		}
		if m.state.index < s.Index {
			return false
		}
		delete(o.openReads, s.Context)
		o.finished(read, m.state.value)
		return true
	})
}

func (o *oracle) finished(c call, output string) {
	o.history = append(o.history, porcupine.Operation{Input: c, Call: c.began, Output: output, Return: o.tick()})
}

// register is the sequential model of the machine's value.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if c := input.(call); c.write {
			return true, c.value
		}
		return output == state, state
	},
}

// checkHistory checks that all calls fit one order of the register. A write that was never applied is left out; a read
// of its value then fails the check.
func (o *oracle) checkHistory() {
	if !porcupine.CheckOperations(register, o.history) {
		o.t.Fatalf("the history of %d calls is not linearizable", len(o.history))
	}
}

// stepFailed allows refusals, but no contradiction.
func (o *oracle) stepFailed(m Message, err error) {
	if errors.Is(err, ErrMalformed) {
		o.t.Fatalf("message %+v: %v", m, err)
	}
}
