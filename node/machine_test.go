package node

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Guards against a race between the start of a control VM and the entries of its log, which the group applies as soon as it
// starts: a new version of the fleet state could be published late. Run with the race detector.
func TestRestartAppliesTheLogWhileTheNodeStarts(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	start := func() *Node {
		n, err := Start(Options{Name: "control", Domain: "dom", PeerListen: "127.0.0.1:0", DataDir: dir, Bootstrap: true, NoRecords: true})
		assert.NilError(t, err)
		t.Cleanup(n.Kill)
		return n
	}
	n := start()
	for i := range 20 {
		change := config.Change{}
		change.Domains.Set = map[string]config.Domain{fmt.Sprint("dom-", i): {Region: "region"}}
		change.SetDefaults()
		eventually(t, "change", func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := n.Propose(ctx, state.Command{ChangeID: string(newClaimID()), Operator: "test", BaseVersion: n.Version(), Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
			return err
		})
	}
	n.Kill()
	again := start()
	eventually(t, "state", func() error {
		if again.Version() < 20 {
			return fmt.Errorf("version %d", again.Version())
		}
		return nil
	})
}
