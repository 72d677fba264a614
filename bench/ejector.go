package main

import "time"

const (
	// maxConsecutiveErrors is the number of consecutive errors at which an entry of the baseline ejects a backend server.
	maxConsecutiveErrors = 5
	// ejectionTime is the time for which the baseline ejects a backend server.
	ejectionTime = 30 * time.Second
	// maxEjectedPercent is the largest share of a service's backend servers that an entry of the baseline ejects at a time.
	maxEjectedPercent = 50
)

// ejectionState is the state of a backend server at one entry of the baseline.
type ejectionState struct {
	consecutiveErrors int
	ejectedUntil      time.Time
}

// recordResponse counts consecutive errors of a backend server and ejects it at maxConsecutiveErrors, if mayEject allows it.
func (e *entry) recordResponse(server int, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := &e.ejectionStates[server]
	if !failed {
		st.consecutiveErrors = 0
		return
	}
	st.consecutiveErrors++
	now := time.Now()
	if st.consecutiveErrors < maxConsecutiveErrors || now.Before(st.ejectedUntil) || !e.mayEject(server, now) {
		return
	}
	st.consecutiveErrors = 0
	st.ejectedUntil = now.Add(ejectionTime)
	e.baseline.noteEjection(e.baseline.backends.vms[server].name, e.index)
}

// mayEject reports whether ejecting one more backend server of the service stays within maxEjectedPercent. The caller holds
// mu.
func (e *entry) mayEject(server int, now time.Time) bool {
	service := e.baseline.backends.vms[server].service
	all, ejected := 0, 1
	for i, v := range e.baseline.backends.vms {
		if v.service != service {
			continue
		}
		all++
		if now.Before(e.ejectionStates[i].ejectedUntil) {
			ejected++
		}
	}
	return 100*ejected <= maxEjectedPercent*all
}

// choose returns the index of a random backend server of the service that is neither ejected nor in a failure domain that
// was taken out. ok is false if there is none.
func (e *entry) choose(service string) (server int, ok bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var usable []int
	for i, v := range e.baseline.backends.vms {
		if v.service == service && !now.Before(e.ejectionStates[i].ejectedUntil) && !e.baseline.domainOut(v.domain) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	return usable[e.rnd.IntN(len(usable))], true
}
