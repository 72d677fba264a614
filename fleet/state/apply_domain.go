package state

import (
	"slices"

	"rosemaryline.dev/fleet/config"
)

func (s *State) runSetDomain(c *SetDomain) ([]string, *Refusal) {
	if _, ok := s.doc.Domains[c.Domain]; !ok {
		return nil, refuse(CodeNotFound, nil, "no failure domain %q", c.Domain)
	}
	if s.domainsOut[c.Domain] == c.Out {
		return nil, refuse(CodeUnchanged, nil, "failure domain %s has this status already", c.Domain)
	}
	if c.Out && !c.Force {
		if below := s.ServicesBelowFloor(c.Domain); len(below) > 0 {
			return nil, refuse(CodeNeedsForce, below, "without failure domain %s, too few failure domains remain for the floors of %s",
				c.Domain, summarizeFields(below))
		}
	}
	if c.Out {
		s.domainsOut[c.Domain] = true
	} else {
		delete(s.domainsOut, c.Domain)
	}
	return []string{domainStatusField(c.Domain)}, nil
}

func domainStatusField(domain string) string { return "domains." + domain + ".status" }

// ServicesBelowFloor returns the sorted paths of the services whose share of failure domains in service would fall
// below their floor if the domain were taken out. It assumes that all failure domains of a service have equal capacity,
// because the state does not include the announced capacity.
func (s *State) ServicesBelowFloor(domain string) []string {
	var below []string
	for name, service := range s.doc.Services {
		domains := s.serviceDomains(service)
		if !slices.Contains(domains, domain) {
			continue
		}
		remaining := 0
		for _, d := range domains {
			if d != domain && !s.domainsOut[d] {
				remaining++
			}
		}
		if remaining*100 < service.FloorPercent*len(domains) {
			below = append(below, "services."+name)
		}
	}
	slices.Sort(below)
	return below
}

func (s *State) serviceDomains(service config.Service) []string {
	if len(service.Domains) > 0 {
		return service.Domains
	}
	return sortedNames(s.doc.Domains)
}
