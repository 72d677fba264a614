package replica

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// benchSnapshotEntries is a number of entries that no benchmark reaches, so that no snapshot is taken.
const benchSnapshotEntries = 1 << 40

// waitForLeader waits until the group accepts proposals, and returns the leader.
func waitForLeader(c *cluster) *Group {
	c.mustPropose("leading")
	return c.leader().group
}

// BenchmarkPropose measures acknowledged proposals with real files and an in-memory network, for one and for many
// concurrent callers.
func BenchmarkPropose(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, callers := range []int{1, 64, 256} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", members, callers), func(b *testing.B) {
				c := newClusterOf(b, members, benchSnapshotEntries, defaultTickInterval)
				group := waitForLeader(c)
				data := make([]byte, 200)
				work := make(chan struct{})
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						for range work {
							_, err := group.Propose(b.Context(), data)
							assert.Check(b, err)
						}
					})
				}
				before := c.leader().fs.syncs.Load()
				for b.Loop() {
					work <- struct{}{}
				}
				close(work)
				wg.Wait()
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
				b.ReportMetric(float64(c.leader().fs.syncs.Load()-before)/float64(b.N), "syncs/proposal")
			})
		}
	}
}

// BenchmarkRestart measures the time from opening the data folder until all 1,000 entries are applied again: from the
// log alone, and from a snapshot that covers them.
func BenchmarkRestart(b *testing.B) {
	const entries = 1000
	for _, tc := range []struct {
		desc            string
		snapshotEntries uint64
	}{
		{"log", benchSnapshotEntries},
		{"snapshot", entries},
	} {
		b.Run(tc.desc, func(b *testing.B) {
			c := newClusterOf(b, 1, tc.snapshotEntries, testTick)
			m := c.members[0]
			for i := range entries {
				c.mustPropose(fmt.Sprintf("%0200d", i))
			}
			for tc.snapshotEntries == entries && m.group.Status().FirstIndex <= bootstrapIndex+1 {
				time.Sleep(testTick)
			}
			for b.Loop() {
				b.StopTimer()
				m.kill()
				b.StartTimer()
				m.start()
				for m.group.Status().Applied < entries {
					time.Sleep(100 * time.Microsecond)
				}
			}
		})
	}
}
