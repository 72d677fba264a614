package main

import (
	"sort"
	"time"
)

// Report is the JSON form of a run.
type Report struct {
	Command string    `json:"command"`
	Commit  string    `json:"commit"`
	Seed    uint64    `json:"seed"`
	Seconds float64   `json:"seconds"`
	Results []*Result `json:"results"`
}

// Result has the measurements of one system in one scenario. Times are in seconds, latencies in milliseconds. A detection
// time of -1 means that the faulty backend server was not ejected, or in the case of DetectMost, not by half of the entries.
type Result struct {
	User     string `json:"user"`
	Scenario string `json:"scenario"`
	System   string `json:"system"`

	Gray                bool    `json:"gray"`
	DetectFirst         float64 `json:"detectFirstSeconds"`
	DetectMost          float64 `json:"detectMostSeconds"`
	FaultyServerRuns    int     `json:"requestsAtFaultyServer"`
	FalseEjections      int     `json:"falseEjections"`
	FalselyEjected      int     `json:"falselyEjectedServers"`
	WorstTeam           string  `json:"worstTeam"`
	WorstShare          float64 `json:"worstTeamShareInTime"`
	WorstP99            float64 `json:"worstTeamP99Ms"`
	RefusedInsideRate   int     `json:"refusedInsideRate"`
	OfferedInsideRate   int     `json:"offeredInsideRate"`
	AdmittedOutsideRate int     `json:"admittedOutsideRate"`
	// NoCapacity is the number of requests that were refused with 503, without the team that sends above its rate.
	NoCapacity int `json:"noCapacity"`
	// RunsAfterDomainOut is the number of requests that started in a failure domain later than drainTime after it was taken
	// out.
	RunsAfterDomainOut int `json:"runsInDomainThatLeft"`
	BadSeconds         int `json:"badSeconds"`
	LateSends          int `json:"lateSends"`

	Before RequestStats            `json:"before"`
	During RequestStats            `json:"during"`
	After  RequestStats            `json:"after"`
	Keyed  RequestStats            `json:"keyedRequests"`
	Teams  map[string]RequestStats `json:"teams"`
}

// RequestStats has the number, outcomes and latencies of a group of requests, such as those of a team.
type RequestStats struct {
	Offered int     `json:"offered"`
	InTime  int     `json:"inTime"`
	Share   float64 `json:"shareInTime"`
	P99     float64 `json:"p99Ms"`
	// AdmittedShare is Share without the requests that were refused because their team was over its rate.
	AdmittedShare float64 `json:"admittedShareInTime"`
	// AnsweredP50 and AnsweredP99 are percentiles of answered requests only. P99 counts a request that was not answered with
	// at least its route's deadline.
	AnsweredP50 float64        `json:"answeredP50Ms"`
	AnsweredP99 float64        `json:"answeredP99Ms"`
	Ended       map[string]int `json:"ended"`
}

func newRequestStats(t *tally) RequestStats {
	s := RequestStats{
		Offered: t.offered, InTime: t.inTime, Share: t.inTimeShare(), P99: t.p99(), AdmittedShare: t.admittedInTimeShare(),
		AnsweredP50: percentileMillis(t.answered, 50), AnsweredP99: percentileMillis(t.answered, 99), Ended: map[string]int{},
	}
	for o, n := range t.ended {
		if n > 0 {
			s.Ended[outcome(o).String()] = n
		}
	}
	return s
}

// result computes the result from what was recorded.
func (r *run) result() *Result {
	rec := r.recorder
	res := &Result{
		User: r.user.name, Scenario: r.scenario.name, System: r.sut.system.name(), Gray: r.scenario.gray,
		RunsAfterDomainOut: r.sut.runsAfterDomainOut, BadSeconds: rec.badSeconds(), LateSends: rec.lateSends,
		Before: newRequestStats(rec.phases[before]), During: newRequestStats(rec.phases[during]), After: newRequestStats(rec.phases[after]),
		Keyed: newRequestStats(rec.keyed), Teams: map[string]RequestStats{},
	}
	r.addDetection(res)
	for team, t := range rec.teams {
		res.Teams[team] = newRequestStats(t.tally)
		res.RefusedInsideRate += t.refusedInsideRate()
		res.OfferedInsideRate += t.insideRate
		res.AdmittedOutsideRate += t.admittedOutsideRate()
		if team != rec.excludedTeam {
			res.NoCapacity += t.ended[noCapacity]
		}
	}
	res.WorstTeam = worstTeam(rec.teams, rec.excludedTeam)
	worst := rec.teams[res.WorstTeam]
	res.WorstShare = worst.inTimeShare()
	res.WorstP99 = worst.p99()
	return res
}

func (r *run) addDetection(res *Result) {
	faultyServer := ""
	if r.scenario.gray {
		faultyServer = r.user.vms()[r.sut.faultyServer].name
		res.FaultyServerRuns = r.sut.faultyServerRuns
	}
	d := detect(r.sut.system.ejections(), faultyServer, r.sut.faultStarted, r.sut.faultEnded, r.user.servers())
	res.DetectFirst = seconds(d.first)
	res.DetectMost = seconds(d.most)
	res.FalseEjections = d.falseEjections
	res.FalselyEjected = d.falselyEjected
}

// seconds converts a time to seconds. It returns -1 for a negative time.
func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}

// worstTeam returns the team with the smallest share of requests answered in time. Among teams with equal shares it returns
// the one with the highest 99th percentile of the latency. excludedTeam does not count.
func worstTeam(teams map[string]*teamTally, excludedTeam string) string {
	var names []string
	for name := range teams {
		if name != excludedTeam {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := teams[names[i]], teams[names[j]]
		if a.inTimeShare() != b.inTimeShare() {
			return a.inTimeShare() < b.inTimeShare()
		}
		if a.p99() != b.p99() {
			return a.p99() > b.p99()
		}
		return names[i] < names[j]
	})
	return names[0]
}
