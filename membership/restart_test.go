package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRestartReplacesMetadata guards against peers that keep the metadata of a previous run after a restart. Control
// would assume that the restarted process still has the member id that was lost with its disk, and never add the new
// one.
func TestRestartReplacesMetadata(t *testing.T) {
	peer := New(Member{Name: "peer", Address: "peer:1", Incarnation: 1}, Config{}, rand.New(rand.NewPCG(1, 0)))
	start := func(incarnation uint64, meta string) *Node {
		n := New(Member{Name: "vm", Address: "vm:1", Incarnation: incarnation}, Config{}, rand.New(rand.NewPCG(2, 0)))
		assert.NilError(t, n.SetMeta([]byte(meta)))
		return n
	}
	deliver := func(now time.Duration, out []Outgoing) {
		for _, o := range out {
			if o.To == "peer:1" {
				peer.Receive(now, "vm:1", o.Packet)
			}
		}
	}
	first := start(1000, "first")
	deliver(0, first.Join(0, []string{"peer:1"}))
	for i := range 3 {
		assert.NilError(t, first.SetMeta([]byte{'a' + byte(i)}))
		first.PublishMeta()
		peer.Receive(0, "vm:1", Packet{Kind: KindUpdates, From: "vm", Updates: []Update{{Member: Member{Name: "vm", Address: "vm:1", Incarnation: 1000, Meta: first.pendingMeta, MetaVersion: first.self.MetaVersion + uint64(i) + 1}, HasMeta: true}}})
	}
	second := start(4000, "second")
	deliver(time.Second, second.Join(time.Second, []string{"peer:1"}))
	m, ok := peer.Member("vm")
	assert.Assert(t, ok)
	assert.Equal(t, string(m.Meta), "second")
}
