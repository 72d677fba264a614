package loadgen

import "maps"

// Names of the figures.
const (
	figureInTime       = "in time"
	figureServed       = "served"
	figureWorstTeam    = "worst team"
	figureWorstKind    = "worst kind"
	figureRefusedNow   = "refused at once"
	figureRefusedLater = "refused later"
)

// minWorst is the number of requests from which on a team or kind of request counts as the worst one. Of fewer, a single one is
// more than 5%.
const minWorst = 20

// Figure is a share of the requests of a target.
type Figure struct {
	Name string `json:"figure"`
	// Of is the team or kind of request with the lowest share.
	Of string `json:"of,omitempty"`
	// Value is that of all rounds together, Rounds those of each round.
	Value  float64   `json:"value"`
	Rounds []float64 `json:"rounds"`
}

// figures returns the figures of the rounds of one target:
//   - in time: responses within the objective
//   - served: successful responses, also late ones
//   - worst team, worst kind: the lowest share in time; teams that send a burst do not count unless all do
//   - refused at once, and later
func (s *Spec) figures(rounds []*Result) []Figure {
	figure := func(name, of string, value func([]*Result) float64) Figure {
		f := Figure{Name: name, Of: of, Value: value(rounds)}
		for i := range rounds {
			f.Rounds = append(f.Rounds, value(rounds[i:i+1]))
		}
		return f
	}
	share := func(count func(*KindResult) int) func([]*Result) float64 {
		return func(results []*Result) float64 {
			sum := KindResult{Ends: map[string]int{}}
			for _, k := range pool(results, kindsOf) {
				sum.add(&k)
			}
			return float64(count(&sum)) / float64(max(sum.all(), 1))
		}
	}
	worst := func(name string, list func(*Result) []KindResult, skip map[string]bool) Figure {
		of := ""
		lowest := 2.0
		for _, k := range pool(rounds, list) {
			if k.all() >= minWorst && !skip[k.Name] && k.share() < lowest {
				of, lowest = k.Name, k.share()
			}
		}
		return figure(name, of, func(results []*Result) float64 {
			for _, k := range pool(results, list) {
				if k.Name == of {
					return k.share()
				}
			}
			return 0
		})
	}
	list := []Figure{
		figure(figureInTime, "", share(func(k *KindResult) int { return k.Ends[InTime.String()] })),
		figure(figureServed, "", share(func(k *KindResult) int { return k.Ends[InTime.String()] + k.Ends[Late.String()] })),
	}
	if len(s.teamNames()) > 0 {
		list = append(list, worst(figureWorstTeam, teamsOf, s.burstTeams()))
	}
	return append(list,
		worst(figureWorstKind, kindsOf, nil),
		figure(figureRefusedNow, "", share(func(k *KindResult) int { return k.RefusedAtOnce })),
		figure(figureRefusedLater, "", share(func(k *KindResult) int { return k.Ends[Refused.String()] - k.RefusedAtOnce })))
}

// burstTeams returns the teams that send a burst, or none if all teams do.
func (s *Spec) burstTeams() map[string]bool {
	teams := map[string]bool{}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		for n := range k.Bursts {
			for _, team := range k.burstTeams(&k.Bursts[n]) {
				teams[team] = true
			}
		}
	}
	if len(teams) >= len(s.teamNames()) {
		return nil
	}
	return teams
}

func kindsOf(r *Result) []KindResult { return r.Kinds }

func teamsOf(r *Result) []KindResult { return r.Teams }

// pool returns the sums of the same entries of several results.
func pool(results []*Result, list func(*Result) []KindResult) []KindResult {
	var pooled []KindResult
	for n, r := range results {
		for i := range list(r) {
			k := &list(r)[i]
			if n == 0 {
				pooled = append(pooled, KindResult{Name: k.Name, Ends: maps.Clone(k.Ends), RefusedAtOnce: k.RefusedAtOnce})
				continue
			}
			pooled[i].add(k)
		}
	}
	return pooled
}

func (k *KindResult) add(other *KindResult) {
	for end, n := range other.Ends {
		k.Ends[end] += n
	}
	k.RefusedAtOnce += other.RefusedAtOnce
}

// all returns the number of requests.
func (k *KindResult) all() int {
	sum := 0
	for _, n := range k.Ends {
		sum += n
	}
	return sum
}
