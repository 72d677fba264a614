package main

import "time"

// detection is what the ejections of a scenario tell.
type detection struct {
	// first is the time from the fault to the first ejection of the faulty backend server, and most the time until the
	// ejection held for half of the entries; -1 means never.
	first, most time.Duration
	// falseEvents counts the ejections of healthy backend servers, and falseServers those backend servers.
	falseEvents, falseServers int
}

// detect reads the ejections. victim is the faulty backend server or "", which is healthy outside the time of the fault.
func detect(list []ejection, victim string, began, ended time.Time, entries int) detection {
	d := detection{first: -1, most: -1}
	wrong := map[string]bool{}
	seen := map[int]bool{}
	for _, e := range list {
		if e.server != victim || e.at.Before(began) || e.at.After(ended) {
			wrong[e.server] = true
			d.falseEvents++
			continue
		}
		if d.first < 0 {
			d.first = e.at.Sub(began)
		}
		seen[e.entry] = true
		if d.most < 0 && (e.entry < 0 || 2*len(seen) >= entries) {
			d.most = e.at.Sub(began)
		}
	}
	d.falseServers = len(wrong)
	return d
}
