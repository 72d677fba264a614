package routing

import (
	"slices"
	"strings"
	"time"
)

// Row is what a VM announces about one service.
type Row struct {
	Capacity, InFlight, Queued float64
	State                      State
}

// Directory holds what an entry knows about the VMs of each service. Reports come from membership metadata and, newer,
// from the headers of each answer.
type Directory struct {
	services   map[string][]*entry // sorted by VM
	outDomains map[string]bool
}

type entry struct {
	vm, domain string
	row        Row
	reportedAt time.Duration
	// started counts the own requests since the report, which the report does not include.
	started float64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{services: make(map[string][]*entry), outDomains: make(map[string]bool)}
}

// SetRow records what a VM announced, measured at the time at. A row that is older than the newest report changes the
// state only.
func (d *Directory) SetRow(service, vm, domain string, row Row, at time.Duration) {
	i, found := d.find(service, vm)
	if !found {
		d.services[service] = slices.Insert(d.services[service], i, &entry{vm: vm, reportedAt: at})
	}
	e := d.services[service][i]
	e.domain = domain
	e.row.State = row.State
	if at < e.reportedAt {
		return
	}
	e.row = row
	e.reportedAt = at
	e.started = 0
}

// Report records the load that a gate sent with an answer. Reports for unknown rows and reports that were overtaken are
// ignored.
func (d *Directory) Report(service, vm string, capacity, inFlight, queued float64, at time.Duration) {
	i, found := d.find(service, vm)
	if !found {
		return
	}
	e := d.services[service][i]
	if at < e.reportedAt {
		return
	}
	e.row.Capacity, e.row.InFlight, e.row.Queued = capacity, inFlight, queued
	e.reportedAt = at
	e.started = 0
}

// Started counts a request that is sent to a VM, until the next report.
func (d *Directory) Started(service, vm string) {
	if i, found := d.find(service, vm); found {
		d.services[service][i].started++
	}
}

// RemoveRow forgets a service on a VM.
func (d *Directory) RemoveRow(service, vm string) {
	i, found := d.find(service, vm)
	if !found {
		return
	}
	d.services[service] = slices.Delete(d.services[service], i, i+1)
	if len(d.services[service]) == 0 {
		delete(d.services, service)
	}
}

// RemoveVM forgets all services of a VM.
func (d *Directory) RemoveVM(vm string) {
	for service := range d.services {
		d.RemoveRow(service, vm)
	}
}

// SetDomainOut records that operators took a failure domain out or brought it back.
func (d *Directory) SetDomainOut(domain string, out bool) {
	if out {
		d.outDomains[domain] = true
	} else {
		delete(d.outDomains, domain)
	}
}

// Candidates appends the candidates of a service to buf, sorted by VM.
func (d *Directory) Candidates(buf []Candidate, service string, now time.Duration, paths *PathHealth) []Candidate {
	for _, e := range d.services[service] {
		c := Candidate{
			VM:          e.vm,
			Domain:      e.domain,
			Capacity:    e.row.Capacity,
			InFlight:    e.row.InFlight + e.started,
			Queued:      e.row.Queued,
			State:       e.row.State,
			PathPenalty: paths.Penalty(e.vm, now),
			LoadAge:     max(0, now-e.reportedAt),
		}
		if d.outDomains[e.domain] {
			c.State = StateTakenOut
		}
		buf = append(buf, c)
	}
	return buf
}

func (d *Directory) find(service, vm string) (int, bool) {
	return slices.BinarySearchFunc(d.services[service], vm, func(e *entry, vm string) int {
		return strings.Compare(e.vm, vm)
	})
}
