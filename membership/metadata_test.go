package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// missing counts the pairs of a node and a member for which the node does not have metadata of the wanted size.
func missing(s *sim, size func(i int) int) int {
	count := 0
	for i := range s.nodes {
		for _, n := range s.nodes {
			if m, ok := n.Member(simName(i)); !ok || len(m.Meta) != size(i) {
				count++
			}
		}
	}
	return count
}

// TestMetadataSpreads guards against metadata that does not reach all processes, packets above 16 KiB, and traffic
// above 16 KB/s per process while all processes change their metadata as often as Node publishes it.
func TestMetadataSpreads(t *testing.T) {
	s := newSim(33, 1)
	s.runWithControl(5 * time.Second)
	size := func(i int) int { return 1000 + i }
	for i, n := range s.nodes {
		assert.NilError(t, n.SetMeta(make([]byte, size(i))))
		n.PublishMeta()
	}
	begin := s.now
	for missing(s, size) > 0 && s.now < begin+30*time.Second {
		s.runWithControl(simStep)
		if left := missing(s, size); s.now-begin == 3*time.Second {
			t.Logf("after %v the metadata is missing for %d of %d pairs of node and member", s.now-begin, left, 33*33)
		}
	}
	t.Logf("all processes have the metadata after %v", s.now-begin)
	assert.Equal(t, missing(s, size), 0)

	s.countBytes = true
	const seconds = 20
	for range seconds {
		for i, n := range s.nodes {
			assert.NilError(t, n.SetMeta(make([]byte, size(i))))
		}
		s.runWithControl(time.Second)
	}
	most := 0
	for _, bytes := range s.bytes {
		most = max(most, bytes/seconds)
	}
	t.Logf("largest packet %d bytes, at most %d bytes/s sent by a process", s.maxBytes, most)
	assert.Assert(t, s.maxBytes <= 16<<10)
	assert.Assert(t, most <= 16_000)
	assert.ErrorContains(t, s.nodes[0].SetMeta(make([]byte, 20_000)), "limit")
}
