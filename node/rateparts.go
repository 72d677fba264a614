package node

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rosemaryline.dev/quota"
)

// defaultRateParts is the default of Options.RateParts, the number of parts into which a team's rate and burst are
// divided.
const defaultRateParts = 1

// partSeparator separates a team's name from the number of a part. Names of teams do not contain it.
const partSeparator = "#"

// rateParts divides the rate and burst of each team among several owners, so that the loss of one owner affects only
// its part. In the seconds until another process takes over, the other parts still grant, and a team that uses less
// than their sum is not affected.
type rateParts struct {
	// count is the number of parts of a team whose burst is large enough.
	count int
	// first is the part that this process asks first. It depends on the VM, so that the processes spread over the
	// parts.
	first int
}

func newRateParts(count int, vm string) rateParts {
	return rateParts{count: count, first: int(xxhash.Sum64String(vm) % uint64(max(count, 1)))}
}

// partNames returns the names of a team's parts in the order in which this process asks them for tokens. There are
// never more parts than the burst has requests.
func (p rateParts) partNames(team string, burst int) []string {
	count := max(min(p.count, burst), 1)
	if count == 1 {
		return []string{team}
	}
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, team+partSeparator+strconv.Itoa((p.first+i)%count))
	}
	return names
}

// teamOf returns the team of a part.
func (p rateParts) teamOf(part string) string {
	team, _, _ := strings.Cut(part, partSeparator)
	return team
}

// limit returns the limit of a part of a team. The first parts get the remainder of a burst that cannot be divided
// evenly.
func (p rateParts) limit(part string, whole quota.Limit) quota.Limit {
	_, number, divided := strings.Cut(part, partSeparator)
	count := max(min(p.count, whole.Burst), 1)
	i, err := strconv.Atoi(number)
	switch {
	case !divided && count == 1:
		return whole
	case !divided || err != nil || i < 0 || i >= count:
		// The part belongs to a previous limit of the team.
		return quota.Limit{}
	}
	l := quota.Limit{Rate: whole.Rate / float64(count), Burst: whole.Burst / count}
	if i < whole.Burst%count {
		l.Burst++
	}
	return l
}
