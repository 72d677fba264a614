package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// Guards against requests of a split that are moved to another service while the chosen one refuses them: the share of each
// service must stay that of its weight.
func TestSplitKeepsItsWeightsWhilePartRefuses(t *testing.T) {
	v := newFleetView(t, 4)
	change := config.Change{}
	change.Services.Set = map[string]config.Service{"full": {Slots: 1, Connections: 10, FloorPercent: 50}}
	change.Routes.Set = map[string]config.Route{"split": {
		Path: "/split", Access: config.AccessOpen, Deadline: config.Duration(5 * time.Second),
		Split: []config.SplitPart{{Service: "svc", Weight: 50}, {Service: "full", Weight: 50}},
	}}
	change.SetDefaults()
	v.apply(t, state.Command{Operator: "test", Apply: &state.ApplyChange{Change: change, ContentHash: change.Hash()}})
	b := newBackend(t, nil)
	m := newSingleVM(t, v, b)
	const requests = 600
	served := 0
	for range requests {
		resp, _, err := sendRequest(t, m.caller, "GET", "/split", nil)
		assert.NilError(t, err)
		if resp.StatusCode == 200 {
			served++
			continue
		}
		assert.Equal(t, resp.StatusCode, 503)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), "not-run")
	}
	assert.Equal(t, b.count(), served)
	share := float64(served) / requests
	assert.Assert(t, share > 0.4 && share < 0.6, "the service that does not refuse got a share of %.2f", share)
}
