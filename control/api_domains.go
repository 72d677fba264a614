package control

import (
	"fmt"
	"net/http"
	"slices"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

func (a *API) getDomains(w http.ResponseWriter, _ *call) error {
	capacity := a.capacity()
	list := []DomainStatus{}
	a.Fleet.View(func(s *state.State) {
		for name, domain := range s.Config().Domains {
			list = append(list, DomainStatus{
				Name: name, Region: domain.Region, Out: s.DomainOut(name), Capacity: capacityInDomain(capacity, name),
			})
		}
	})
	slices.SortFunc(list, func(a, b DomainStatus) int { return compare(a.Name, b.Name) })
	return writeJSON(w, list)
}

func (a *API) postDomainOut(w http.ResponseWriter, c *call) error { return a.setDomain(w, c, true) }

func (a *API) postDomainIn(w http.ResponseWriter, c *call) error { return a.setDomain(w, c, false) }

func (a *API) setDomain(w http.ResponseWriter, c *call, out bool) error {
	var r DomainRequest
	if err := readBody(w, c, &r); err != nil {
		return err
	}
	domain := c.Param("domain")
	var warnings []string
	if out {
		warnings = a.domainWarnings(domain)
	}
	if r.DryRun {
		return a.dryRunDomain(w, domain, warnings)
	}
	if len(warnings) > 0 && !r.Force {
		p := newProblem(http.StatusConflict, ProblemCode(state.CodeNeedsForce), fmt.Sprint(warnings))
		return p
	}
	cmd := state.Command{SetDomain: &state.SetDomain{Domain: domain, Out: out, Force: r.Force}}
	return a.proposeAndReply(w, c, r.Envelope, cmd, warnings)
}

func (a *API) dryRunDomain(w http.ResponseWriter, domain string, warnings []string) error {
	reply := ChangeReply{DryRun: true, Fields: []string{"domains." + domain + ".status"}, Warnings: warnings}
	found := false
	a.Fleet.View(func(s *state.State) {
		reply.Version = s.Version()
		_, found = s.Config().Domains[domain]
	})
	if !found {
		return newProblem(http.StatusNotFound, ProblemNotFound, "no failure domain "+domain)
	}
	return writeJSON(w, reply)
}

// domainWarnings returns a warning for each service that would fall below its floor or below its load if the failure
// domain were taken out. It checks the number of remaining failure domains and, where processes announce it, the
// remaining capacity.
func (a *API) domainWarnings(domain string) []string {
	capacity := a.capacity()
	var warnings []string
	a.Fleet.View(func(s *state.State) {
		for _, field := range s.ServicesBelowFloor(domain) {
			warnings = append(warnings, field+": too few failure domains would remain for the floor")
		}
		warnings = append(warnings, capacityWarnings(s, capacity, domain)...)
	})
	return warnings
}

type serviceSums struct{ announced, remaining, load float64 }

func capacityWarnings(s *state.State, capacity []ServiceCapacity, domain string) []string {
	sums := map[string]serviceSums{}
	affected := map[string]bool{}
	for _, c := range capacity {
		sum := sums[c.Service]
		sum.announced += c.Announced
		sum.load += c.Load
		if c.Domain == domain {
			affected[c.Service] = true
		} else if !s.DomainOut(c.Domain) {
			sum.remaining += c.Effective
		}
		sums[c.Service] = sum
	}
	var warnings []string
	for name, sum := range sums {
		if service, ok := s.Config().Services[name]; ok && affected[name] {
			warnings = append(warnings, sum.warnings(name, service)...)
		}
	}
	slices.Sort(warnings)
	return warnings
}

func (sum serviceSums) warnings(name string, service config.Service) []string {
	var warnings []string
	floor := sum.announced * float64(service.FloorPercent) / 100
	if sum.remaining < floor {
		warnings = append(warnings, fmt.Sprintf("services.%s: %.0f of %.0f slots would remain; the floor is %.0f",
			name, sum.remaining, sum.announced, floor))
	}
	if sum.remaining < sum.load {
		warnings = append(warnings, fmt.Sprintf("services.%s: %.0f slots would remain for a load of %.0f requests",
			name, sum.remaining, sum.load))
	}
	return warnings
}

func (a *API) capacity() []ServiceCapacity {
	if a.Capacity == nil {
		return nil
	}
	return a.Capacity.Capacity()
}

func capacityInDomain(capacity []ServiceCapacity, domain string) []ServiceCapacity {
	var list []ServiceCapacity
	for _, c := range capacity {
		if c.Domain == domain {
			list = append(list, c)
		}
	}
	return list
}
