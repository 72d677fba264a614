package main

import "time"

const (
	// errorsInRow is the fixed limit at which the baseline ejects.
	errorsInRow = 5
	// ejectionTime is how long the baseline ejects a backend server.
	ejectionTime = 30 * time.Second
	// maxEjectedPercent bounds the part of a service that an entry of the baseline ejects.
	maxEjectedPercent = 50
)

// errorLimit is what an entry of the baseline knows of a backend server.
type errorLimit struct {
	inRow   int
	ejected time.Time // until when
}

// observe counts an answer and ejects at the limit.
func (e *entry) observe(server int, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.limits[server]
	if !failed {
		l.inRow = 0
		return
	}
	l.inRow++
	now := time.Now()
	if l.inRow < errorsInRow || now.Before(l.ejected) || !e.mayEject(server, now) {
		return
	}
	l.inRow = 0
	l.ejected = now.Add(ejectionTime)
	e.base.noteEjection(e.base.backends.vms[server].name, e.index)
}

// mayEject tells whether one more ejection stays within the allowed part. The caller holds mu.
func (e *entry) mayEject(server int, now time.Time) bool {
	service := e.base.backends.vms[server].service
	all, ejected := 0, 1
	for i, v := range e.base.backends.vms {
		if v.service != service {
			continue
		}
		all++
		if now.Before(e.limits[i].ejected) {
			ejected++
		}
	}
	return 100*ejected <= maxEjectedPercent*all
}

// choose returns a random backend server that is neither ejected nor in a failure domain that is out.
func (e *entry) choose(service string) (server int, ok bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var usable []int
	for i, v := range e.base.backends.vms {
		if v.service == service && !now.Before(e.limits[i].ejected) && !e.base.domainOut(v.domain) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	return usable[e.rnd.IntN(len(usable))], true
}
