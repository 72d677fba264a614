package main

import "time"

// detection is the evaluation of the ejections during a scenario.
type detection struct {
	// first is the time from the start of the fault to the first ejection of the faulty backend server. most is the time
	// until at least half of the entries had ejected it. -1 means never.
	first, most time.Duration
	// falseEjections is the number of ejections of healthy backend servers, and falselyEjected the number of these servers.
	falseEjections, falselyEjected int
}

// detect evaluates the ejections. faultyServer is the name of the faulty backend server, or "" if the scenario has none. It
// is faulty from began to ended and healthy outside of that time. entries is the number of entries.
func detect(list []ejection, faultyServer string, began, ended time.Time, entries int) detection {
	d := detection{first: -1, most: -1}
	ejectedHealthy := map[string]bool{}
	seen := map[int]bool{}
	for _, e := range list {
		if e.server != faultyServer || e.at.Before(began) || e.at.After(ended) {
			ejectedHealthy[e.server] = true
			d.falseEjections++
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
	d.falselyEjected = len(ejectedHealthy)
	return d
}
