package shares

import (
	"cmp"
	"math"
	"slices"
)

const (
	// floorShare is the least share of a rank and of a team, relative to the share of all requests of the service. Callers
	// need a quarter; the rest allows for demand that changes between two decisions.
	floorShare = 0.3
	// maxListedTeams limits the teams with a share of their own in one rank of a decision, and thereby its size.
	maxListedTeams = 16
	// listedDifference is the least difference from the share of the rank with which a team is listed, and listedWork the least
	// work that this difference makes, relative to the limit. The owner sends each decision to all entries twice a second, and
	// its link carries 4.6 Mbit/s.
	listedDifference = 0.02
	listedWork       = 0.01
	// sharePrecision is the number of steps of a share in a decision.
	sharePrecision = 1000
	// fillSteps is the number of bisection steps, which give the water level to a part in 10^12.
	fillSteps = 40
)

// demandEntry is the demand of one team with one priority.
type demandEntry struct {
	demandKey
	demandRate
}

// divide divides limit among the demand, which is sorted by priority. It returns the shares and the work that is refused.
// Each entry gets at least its floor. The rest goes to the ranks in order, and within a rank max-min by weight.
func divide(demand []demandEntry, limit float64) (ranks []Rank, refused float64) {
	total := 0.0
	for i := range demand {
		total += demand[i].slots
	}
	if total <= 0 {
		return nil, 0
	}
	ratio := min(max(limit, 0)/total, 1)
	floor := floorShare * ratio
	rest := ratio*total - floor*total
	for len(demand) > 0 {
		n := slices.IndexFunc(demand, func(e demandEntry) bool { return e.priority != demand[0].priority })
		if n < 0 || len(ranks) == maxRanks-1 {
			n = len(demand)
		}
		rank := demand[:n]
		demand = demand[n:]
		sum := 0.0
		for i := range rank {
			sum += rank[i].slots
		}
		extra := min(rest, (1-floor)*sum)
		rest -= extra
		admitted := fill(rank, floor, floor*sum+extra)
		ranks = append(ranks, newRank(rank, admitted, listedWork*limit))
		refused += max((1-floor)*sum-extra, 0)
	}
	return ranks, refused
}

// fill divides amount max-min by weight. Each entry gets between floor times its demand and its demand.
func fill(rank []demandEntry, floor, amount float64) (admitted []float64) {
	admitted = make([]float64, len(rank))
	at := func(level float64) (sum float64) {
		for i := range rank {
			e := &rank[i]
			admitted[i] = min(max(level*e.weight, floor*e.slots), e.slots)
			sum += admitted[i]
		}
		return sum
	}
	high := 0.0
	for i := range rank {
		high = max(high, rank[i].slots/rank[i].weight)
	}
	low, top := 0.0, high
	for range fillSteps {
		if middle := (low + high) / 2; at(middle) < amount {
			low = middle
		} else {
			high = middle
		}
	}
	if at(top) > amount {
		at(low)
	}
	return admitted
}

// newRank returns the rank with the teams that have the lowest shares listed, where that makes at least the given work. The others
// have one share together.
func newRank(rank []demandEntry, admitted []float64, least float64) Rank {
	type teamShare struct {
		TeamShare
		demand, admitted float64
	}
	teams := make([]teamShare, 0, len(rank))
	rest, restAdmitted := 0.0, 0.0
	for i := range rank {
		share := 1.0
		if rank[i].slots > 0 {
			share = clampShare(admitted[i] / rank[i].slots)
		}
		teams = append(teams, teamShare{TeamShare{rank[i].team, share}, rank[i].slots, admitted[i]})
		rest += rank[i].slots
		restAdmitted += admitted[i]
	}
	slices.SortStableFunc(teams, func(a, b teamShare) int { return cmp.Compare(a.Share, b.Share) })
	result := Rank{Priority: rank[0].priority, Share: 1}
	for _, t := range teams {
		if rest > 0 {
			result.Share = clampShare(restAdmitted / rest)
		}
		difference := result.Share - t.Share
		if len(result.Teams) == maxListedTeams || difference < listedDifference || difference*t.demand < least {
			break
		}
		t.Share = roundShare(t.Share)
		result.Teams = append(result.Teams, t.TeamShare)
		rest -= t.demand
		restAdmitted -= t.admitted
	}
	result.Share = roundShare(result.Share)
	slices.SortFunc(result.Teams, func(a, b TeamShare) int { return cmp.Compare(a.Team, b.Team) })
	return result
}

func roundShare(share float64) float64 { return math.Round(share*sharePrecision) / sharePrecision }

func clampShare(share float64) float64 { return min(max(share, 0), 1) }
