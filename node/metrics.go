package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"rosemaryline.dev/control"
)

// versionLagSeconds is the time from when gossip told this process of a newer version to its use, in seconds.
var versionLagSeconds = metrics.NewHistogram("rosemaryline_version_lag_seconds")

// countSwitch counts a change of the control VM that this process polls.
func countSwitch(cause control.SwitchCause) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryline_control_switches_total{cause=%q}", cause)).Inc()
}
