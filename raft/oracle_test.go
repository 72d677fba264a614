package raft

import "errors"

type proposal struct {
	term uint64
	data string
}

// oracle holds what a correct group may never contradict.
type oracle struct {
	t rapidOrTest
	// leaders is the leader of each term.
	leaders map[uint64]ID
	// entries is the committed log.
	entries map[uint64]Entry
	// states is the hash of the state machine after each index.
	states map[uint64]uint64
	// proposals wait for their answer, by proposer and index.
	proposals map[ID]map[uint64]proposal
	// acked is the highest index that was acknowledged to a client.
	acked uint64
	// readsAt is the value of acked when a read began.
	readsAt   map[uint64]uint64
	readsDone int
}

func newOracle(t rapidOrTest) *oracle {
	return &oracle{
		t: t, leaders: map[uint64]ID{}, entries: map[uint64]Entry{}, states: map[uint64]uint64{},
		proposals: map[ID]map[uint64]proposal{}, readsAt: map[uint64]uint64{},
	}
}

// observe checks that each term has one leader and that the leader holds all committed entries.
func (o *oracle) observe(m *member) {
	if m.node.role != Leader {
		return
	}
	term := m.node.term
	if other, known := o.leaders[term]; known {
		if other != m.id {
			o.t.Fatalf("term %d has two leaders, %d and %d", term, other, m.id)
		}
		return
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
	if p, ok := o.proposals[m.id][e.Index]; ok {
		delete(o.proposals[m.id], e.Index)
		if p.term == e.Term {
			if p.data != string(e.Data) {
				o.t.Fatalf("proposal %q came back as %q", p.data, e.Data)
			}
			o.acked = max(o.acked, e.Index)
		}
	}
	o.applied(m)
}

// applied checks that states at equal index are equal.
func (o *oracle) applied(m *member) {
	if known, ok := o.states[m.state.index]; ok && known != m.state.hash {
		o.t.Fatalf("member %d has another state at index %d", m.id, m.state.index)
	}
	o.states[m.state.index] = m.state.hash
}

func (o *oracle) proposed(m *member, index, term uint64, data string) {
	if o.proposals[m.id] == nil {
		o.proposals[m.id] = map[uint64]proposal{}
	}
	o.proposals[m.id][index] = proposal{term, data}
}

func (o *oracle) readStarted(context uint64) { o.readsAt[context] = o.acked }

// reads checks that no read is older than a write acknowledged before it began.
func (o *oracle) reads(m *member, done []ReadState, failed []uint64) {
	for _, r := range done {
		began, known := o.readsAt[r.Context]
		if !known || r.Index < began {
			o.t.Fatalf("read %d on %d got index %d, acknowledged before was %d", r.Context, m.id, r.Index, began)
		}
		delete(o.readsAt, r.Context)
		o.readsDone++
	}
	for _, context := range failed {
		if _, known := o.readsAt[context]; !known {
			o.t.Fatalf("read %d failed after it was answered", context)
		}
		delete(o.readsAt, context)
	}
}

// stepFailed allows refusals, but no contradiction.
func (o *oracle) stepFailed(m Message, err error) {
	if errors.Is(err, ErrMalformed) {
		o.t.Fatalf("message %+v: %v", m, err)
	}
}
