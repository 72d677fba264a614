package loadgen

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// End is how a request ended.
type End int

// The ends of a request.
const (
	// InTime is a successful response within the objective.
	InTime End = iota
	// Late is a later successful response.
	Late
	// Refused is status 429 or 503: the request did not run.
	Refused
	// Failed is any other status from 400 on.
	Failed
	// Broken is a connection that could not be opened or broke off.
	Broken
	// TimedOut means that the caller stopped waiting.
	TimedOut
	// Skipped was not sent, because too many requests were in flight.
	Skipped
	ends
)

var endNames = [ends]string{"inTime", "late", "refused", "failed", "broken", "timedOut", "skipped"}

// String returns the name of the end as in reports.
func (e End) String() string { return endNames[e] }

// outcome is how one request ended.
type outcome struct {
	end  End
	took time.Duration
}

// refusedAtOnce is the time within which a refusal counts as immediate: the caller can go elsewhere, and has lost less than a tenth
// of the shortest objective of the customers (1 s).
const refusedAtOnce = 100 * time.Millisecond

// maxLatency is the longest latency in microseconds that the histograms tell apart.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// Result is how a load ended.
type Result struct {
	// Kinds holds the results by kind of request, in the order of Spec.Kinds.
	Kinds []KindResult `json:"requests"`
	// Teams holds the results by team, in the order of their names; empty if the load has no teams.
	Teams []KindResult `json:"teams,omitempty"`
	// Seconds holds, for each second from the start, the number of requests that arrived in it by their end.
	Seconds []map[string]int `json:"seconds"`
	// Rollouts are the rollouts of the fleet.
	Rollouts []RolloutResult `json:"rollouts,omitempty"`

	teamIndex [][]int // index in Teams, by kind and team of the kind; -1 without a team
}

// KindResult is how the requests of one kind, or of one team, ended.
type KindResult struct {
	Name string `json:"name"`
	// Ends counts the requests by the names of their ends.
	Ends map[string]int `json:"ends"`
	// RefusedAtOnce is the number of refused requests that were refused within refusedAtOnce.
	RefusedAtOnce int `json:"refusedAtOnce"`
	// Share is the share of the requests that got a response in time.
	Share float64 `json:"share"`
	// P50Ms and P99Ms are percentiles of the time in milliseconds until successful responses.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`

	latencies *hdrhistogram.Histogram
}

func newKindResult(name string) KindResult {
	return KindResult{Name: name, Ends: map[string]int{}, latencies: hdrhistogram.New(1, maxLatency, 3)}
}

func newResult(s *Spec) *Result {
	r := &Result{Seconds: make([]map[string]int, int((s.Duration+time.Second-1)/time.Second))}
	names := s.teamNames()
	for _, name := range names {
		r.Teams = append(r.Teams, newKindResult(name))
	}
	for i := range s.Kinds {
		r.Kinds = append(r.Kinds, newKindResult(s.Kinds[i].Name))
		var index []int
		for _, team := range s.Kinds[i].teams() {
			index = append(index, slices.Index(names, team))
		}
		r.teamIndex = append(r.teamIndex, index)
	}
	for i := range r.Seconds {
		r.Seconds[i] = map[string]int{}
	}
	return r
}

// record adds a request. Requests of the warm-up are only counted by second.
func (r *Result) record(a arrival, o outcome, counted bool) {
	r.Seconds[int(a.at/time.Second)][o.end.String()]++
	if !counted {
		return
	}
	r.Kinds[a.kind].record(o)
	if team := r.teamIndex[a.kind][a.team]; team >= 0 {
		r.Teams[team].record(o)
	}
}

func (k *KindResult) record(o outcome) {
	k.Ends[o.end.String()]++
	if o.end == Refused && o.took <= refusedAtOnce {
		k.RefusedAtOnce++
	}
	if o.end == InTime || o.end == Late {
		// The value is within the range of the histogram, so that it cannot be refused.
		_ = k.latencies.RecordValue(min(max(o.took.Microseconds(), 1), maxLatency))
	}
}

func (r *Result) finish() {
	for _, list := range [][]KindResult{r.Kinds, r.Teams} {
		for i := range list {
			k := &list[i]
			k.Share = k.share()
			k.P50Ms = float64(k.latencies.ValueAtQuantile(50)) / 1000
			k.P99Ms = float64(k.latencies.ValueAtQuantile(99)) / 1000
			k.latencies = nil // takes 0.2 MB, and results are kept for all rounds
		}
	}
}

func (k *KindResult) share() float64 {
	all := 0
	for _, n := range k.Ends {
		all += n
	}
	if all == 0 {
		return 0
	}
	return float64(k.Ends[InTime.String()]) / float64(all)
}
