package node

import (
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Guards against a fleet that serves with an older version after all processes were killed at once: the log of a restarted
// control VM holds the last accepted change, but it applies the change only once it knows that it was accepted.
func TestKilledFleetServesTheNewestVersion(t *testing.T) {
	f := startIsolationFleet(t)
	for _, n := range f.proxies {
		f.waitServing(n)
	}
	dir := filepath.Dir(f.control.opts.DataDir)
	for round := range 3 {
		change := config.Change{}
		change.Teams.Set = map[string]config.Team{"team": {Rate: float64(100 + round), Burst: 100, KeyHashes: []string{config.HashKey("key")}}}
		version := f.propose(state.Command{
			ChangeID: fmt.Sprint("limit-", round), Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()},
		})
		for _, n := range append(f.proxies, f.control) {
			n.Kill()
		}
		f.control = nil
		f.control = f.startNode("control", filepath.Join(dir, "data"))
		f.proxies = nil
		for i := range 4 {
			f.proxies = append(f.proxies, f.startNode(fmt.Sprint("proxy-", i), ""))
		}
		for _, n := range f.proxies {
			first := uint64(0)
			eventually(t, "state of "+n.opts.Name, func() error {
				if first = n.Version(); first == 0 {
					return fmt.Errorf("no state")
				}
				return nil
			})
			assert.Assert(t, first >= version, "%s began with version %d of %d", n.opts.Name, first, version)
		}
	}
}
