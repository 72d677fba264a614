package main

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/config"
)

// TestSecondControlVMLostRightAfterRepair guards against acknowledging the replacement of a control VM while the
// loss of another one would still lose changes: a control VM loses its disk and is replaced, and a second one is lost
// right after. No acknowledged change may be lost, and further changes must be accepted.
func TestSecondControlVMLostRightAfterRepair(t *testing.T) {
	f := startFleet(t)
	lostID, err := controlMemberID(f.vms[2])
	assert.NilError(t, err)
	changeRate := func(i int) {
		change := config.Change{}
		change.Teams.Set = map[string]config.Team{"demo": {Rate: float64(1000 + i), Burst: 100}}
		f.apply(fmt.Sprintf("rate-%d", i), f.version(), change)
	}
	for i := range 10 {
		changeRate(i)
	}
	f.kill(f.vms[2])
	for i := range 10 {
		changeRate(10 + i)
	}

	repaired := newVM("vm-d", "dom-c")
	repaired.dataDir = filepath.Join(t.TempDir(), "vm-d")
	f.vms = append(f.vms, repaired)
	f.start(repaired)
	f.client.Addresses = append(f.client.Addresses, "http://"+repaired.admin)
	f.eventually("replace the lost VM", func() error {
		id, err := controlMemberID(repaired)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		change := control.GroupChange{Action: control.GroupReplace, OldID: lostID, ID: id, Address: repaired.peer}
		_, err = f.client.PostOnce(ctx, "/v1/group", control.GroupRequest{GroupChange: change})
		return err
	})
	f.kill(f.vms[1])

	for i := range 5 {
		changeRate(20 + i)
	}
	f.eventually("all changes in the history", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var history control.HistoryReply
		if err := f.client.Get(ctx, "/v1/history", map[string][]string{"limit": {"1000"}}, &history); err != nil {
			return err
		}
		accepted := map[string]int{}
		for _, r := range history.Records {
			if r.Result.Err == nil {
				accepted[r.ChangeID]++
			}
		}
		for i := range 25 {
			if accepted[fmt.Sprintf("rate-%d", i)] != 1 {
				return fmt.Errorf("change %d was accepted %d times", i, accepted[fmt.Sprintf("rate-%d", i)])
			}
		}
		return nil
	})
}
