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

// Result is what one system did in one scenario. Times are in seconds, latencies in milliseconds. A detection time of
// -1 means that the faulty backend server was not ejected.
type Result struct {
	User     string `json:"user"`
	Scenario string `json:"scenario"`
	System   string `json:"system"`

	Gray            bool    `json:"gray"`
	DetectFirst     float64 `json:"detectFirstSeconds"`
	DetectMost      float64 `json:"detectMostSeconds"`
	GrayRuns        int     `json:"requestsAtFaultyServer"`
	FalseEjections  int     `json:"falseEjections"`
	FalseServers    int     `json:"falselyEjectedServers"`
	WorstTeam       string  `json:"worstTeam"`
	WorstShare      float64 `json:"worstTeamShareInTime"`
	WorstP99        float64 `json:"worstTeamP99Ms"`
	RefusedInside   int     `json:"refusedInsideRate"`
	Inside          int     `json:"offeredInsideRate"`
	AdmittedOutside int     `json:"admittedOutsideRate"`
	// NoCapacity counts requests of teams inside their rate that were refused with 503.
	NoCapacity int `json:"noCapacity"`
	LateRuns   int `json:"runsInDomainThatLeft"`
	BadSeconds int `json:"badSeconds"`
	LateSends  int `json:"lateSends"`

	Before Service            `json:"before"`
	During Service            `json:"during"`
	After  Service            `json:"after"`
	Keyed  Service            `json:"keyedRequests"`
	Teams  map[string]Service `json:"teams"`
}

// Service counts how requests ended.
type Service struct {
	Offered int     `json:"offered"`
	InTime  int     `json:"inTime"`
	Share   float64 `json:"shareInTime"`
	P99     float64 `json:"p99Ms"`
	// AdmittedShare leaves out the requests that were refused for the rate.
	AdmittedShare float64 `json:"admittedShareInTime"`
	// AnsweredP50 and AnsweredP99 are of answered requests only.
	AnsweredP50 float64        `json:"answeredP50Ms"`
	AnsweredP99 float64        `json:"answeredP99Ms"`
	Ended       map[string]int `json:"ended"`
}

func newService(t *tally) Service {
	s := Service{
		Offered: t.offered, InTime: t.inTime, Share: t.share(), P99: t.p99(), AdmittedShare: t.admittedShare(),
		AnsweredP50: millis(t.answered, 50), AnsweredP99: millis(t.answered, 99), Ended: map[string]int{},
	}
	for o, n := range t.ended {
		if n > 0 {
			s.Ended[outcome(o).String()] = n
		}
	}
	return s
}

// result computes the measures.
func (r *run) result() *Result {
	rec := r.recorder
	res := &Result{
		User: r.user.name, Scenario: r.scenario.name, System: r.stage.system.name(), Gray: r.scenario.gray,
		LateRuns: r.stage.lateRuns, BadSeconds: rec.badSeconds(), LateSends: rec.late,
		Before: newService(rec.phases[before]), During: newService(rec.phases[during]), After: newService(rec.phases[after]),
		Keyed: newService(rec.keyed), Teams: map[string]Service{},
	}
	r.addDetection(res)
	for team, t := range rec.teams {
		res.Teams[team] = newService(t.tally)
		res.RefusedInside += t.refusedInside()
		res.Inside += t.inside
		res.AdmittedOutside += t.admittedOutside()
		if team != rec.except {
			res.NoCapacity += t.ended[noCapacity]
		}
	}
	res.WorstTeam = worstTeam(rec.teams, rec.except)
	worst := rec.teams[res.WorstTeam]
	res.WorstShare = worst.share()
	res.WorstP99 = worst.p99()
	return res
}

func (r *run) addDetection(res *Result) {
	victim := ""
	if r.scenario.gray {
		victim = r.user.vms()[r.stage.victim].name
		res.GrayRuns = r.stage.grayRuns
	}
	d := detect(r.stage.system.ejections(), victim, r.stage.began, r.stage.ended, r.user.servers())
	res.DetectFirst = seconds(d.first)
	res.DetectMost = seconds(d.most)
	res.FalseEjections = d.falseEvents
	res.FalseServers = d.falseServers
}

func seconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}

// worstTeam returns the team with the smallest share in time, and among equals the one with the highest 99th
// percentile. A team that is over its rate does not count.
func worstTeam(teams map[string]*teamTally, except string) string {
	var names []string
	for name := range teams {
		if name != except {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := teams[names[i]], teams[names[j]]
		if a.share() != b.share() {
			return a.share() < b.share()
		}
		if a.p99() != b.p99() {
			return a.p99() > b.p99()
		}
		return names[i] < names[j]
	})
	return names[0]
}
