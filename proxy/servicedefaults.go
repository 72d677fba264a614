package proxy

import "rosemaryline.dev/fleet/config"

// ServiceDefaults fill in settings that the configuration leaves open. They belong to the process and not to the replicated
// document, because a member of the control group of an earlier build refuses documents with fields that it does not know.
type ServiceDefaults struct {
	// Concurrency, Placement and Shares apply to services whose backend servers need no warm-up, that is, without a ramp rate or time.
	Concurrency string
	Placement   config.Placement
	Shares      string
}

// apply returns the settings of a service with the defaults.
func (d ServiceDefaults) apply(s config.Service) config.Service {
	if s.Ramp.Rate > 0 || s.Ramp.Time > 0 {
		return s
	}
	if s.Concurrency == "" {
		s.Concurrency = d.Concurrency
	}
	if s.Placement == "" {
		s.Placement = d.Placement
	}
	if s.Shares == "" {
		s.Shares = d.Shares
	}
	return s
}
