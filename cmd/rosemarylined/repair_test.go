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

// Guards against a repair that leaves the fleet with less than it seems: a control VM loses its disk and is replaced by a
// new member, and a second VM is lost right after. No acknowledged change may be lost, and changes must go on.
func TestSecondControlVMLostRightAfterRepair(t *testing.T) {
	f := startFleet(t)
	lostID, err := controlID(f.vms[2])
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
		id, err := controlID(repaired)
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
	f.eventually("all changes", func() error {
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
