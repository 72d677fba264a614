package node

import (
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/rollout"
)

func withRollouts(o *Options) {
	o.Rollouts = &RolloutOptions{
		Settings:            rollout.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackAfter: 5 * time.Second},
		HoldUnknownVersions: true,
	}
}

// Guards against a command that is proposed several times a second although it is refused, which fills the logs of the group.
func TestRefusedAdmitVersionsIsNotRepeatedAtOnce(t *testing.T) {
	f := startRolloutFleet(t, withRollouts)
	eventually(t, "announcement", func() error {
		return f.nodes[1].gate.Announce(proxy.Announcement{
			Name: "server", Service: "svc", Address: "127.0.0.1:9", Instance: "1", Version: strings.Repeat("v", 1000),
		}, time.Now())
	})
	proposals := func() (n int) {
		f.leader().viewState(func(s *state.State) {
			for _, r := range s.History(1000) {
				if r.Kind == state.KindAdmitVersions {
					n++
				}
			}
		})
		return n
	}
	eventually(t, "the first proposal", func() error {
		if proposals() == 0 {
			return errors.New("none")
		}
		return nil
	})
	time.Sleep(admitRetryInterval / 2)
	assert.Equal(t, proposals(), 1)
}
