package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
)

// Guards against defaults that change services with a warm-up, or that override what the configuration says.
func TestServiceDefaults(t *testing.T) {
	d := ServiceDefaults{Concurrency: config.ConcurrencyAdaptive, Placement: config.PlacementLeastCompletion, Shares: config.SharesFleet}
	for _, test := range []struct {
		desc        string
		service     config.Service
		concurrency string
		placement   config.Placement
	}{
		{"no warm-up", config.Service{}, config.ConcurrencyAdaptive, config.PlacementLeastCompletion},
		{"warm-up rate", config.Service{Ramp: config.Ramp{Rate: 5}}, "", ""},
		{"warm-up time", config.Service{Ramp: config.Ramp{Time: config.Duration(time.Second)}}, "", ""},
		{"set in the configuration", config.Service{Concurrency: config.ConcurrencyRamp, Placement: config.PlacementTwoChoices}, config.ConcurrencyRamp, config.PlacementTwoChoices},
	} {
		s := d.apply(test.service)
		assert.Equal(t, s.Concurrency, test.concurrency, test.desc)
		assert.Equal(t, s.Placement, test.placement, test.desc)
		assert.Equal(t, s.Shares == config.SharesFleet, s.Ramp == config.Ramp{}, test.desc)
	}
}
