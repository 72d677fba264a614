package proxy

import "rosemaryline.dev/admission"

// ServiceSummary describes the backend servers of one service on this VM.
type ServiceSummary struct {
	Service string
	// Servers are the names of the backend servers.
	Servers []string
	// Slots is the sum of the slots of all backend servers.
	Slots int
	// Out is the part of Slots that belongs to lost or draining backend servers. Slots of ejected ones are not
	// included.
	Out int
	// Serving, Draining, Ejected and Lost are numbers of backend servers in each state.
	Serving, Draining, Ejected, Lost int
	// Load is the load of the service.
	Load Load
	// Version is the version of the servers' software; empty where it is not the same for all of them.
	Version string
}

// Summary returns one row for each service on this VM.
func (g *Gate) Summary() []ServiceSummary {
	rows := map[string]*ServiceSummary{}
	var order []string
	for _, s := range g.serversOf("") {
		row, ok := rows[s.service]
		version := s.version()
		if !ok {
			row = &ServiceSummary{Service: s.service, Version: version}
			rows[s.service] = row
			order = append(order, s.service)
		}
		if row.Version != version {
			row.Version = ""
		}
		row.add(s.name, s.load())
	}
	all := make([]ServiceSummary, 0, len(order))
	for _, service := range order {
		row := rows[service]
		row.Load = g.Load(service)
		all = append(all, *row)
	}
	return all
}

func (r *ServiceSummary) add(name string, l admission.Load) {
	r.Servers = append(r.Servers, name)
	r.Slots += l.Slots
	switch l.State {
	case admission.Serving:
		r.Serving++
	case admission.Ejected:
		r.Ejected++
	case admission.Draining:
		r.Draining++
		r.Out += l.Slots
	default:
		r.Lost++
		r.Out += l.Slots
	}
}

// Warming reports for each backend server, by name, whether its instance is in its first ramp.
func (g *Gate) Warming() map[string]bool {
	warming := map[string]bool{}
	for _, s := range g.serversOf("") {
		warming[s.name] = s.warming()
	}
	return warming
}

// Address returns the address of a backend server.
func (g *Gate) Address(name string) (string, bool) {
	g.mu.Lock()
	s, ok := g.servers[name]
	g.mu.Unlock()
	if !ok {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address, true
}
