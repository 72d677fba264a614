package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"rosemaryline.dev/fleet/state"
)

const (
	// inForcePollInterval is the time between two checks whether an awaited version is in force.
	inForcePollInterval = 50 * time.Millisecond
	// maxInForceWait limits the wait of one request; clients send another one.
	maxInForceWait = 30 * time.Second
	// defaultHistoryRecords and maxHistoryRecords limit the records in one reply.
	defaultHistoryRecords = 50
	maxHistoryRecords     = 10_000
)

func compare(a, b string) int { return cmp.Compare(a, b) }

func (a *API) version() VersionReply {
	reply := VersionReply{InForce: a.Confirmations.InForce()}
	a.Fleet.View(func(s *state.State) { reply.Version = s.Version() })
	return reply
}

func (a *API) getVersion(w http.ResponseWriter, _ *call) error { return writeJSON(w, a.version()) }

func (a *API) getStatus(w http.ResponseWriter, c *call) error {
	reply := StatusReply{VersionReply: a.version(), Stale: c.stale}
	reply.Versions, reply.Unconfirmed = processesByVersion(a.Confirmations.Processes(), reply.InForce)
	a.Fleet.View(func(s *state.State) {
		reply.DomainsOut = s.DomainsOut()
		reply.Rollouts = slices.DeleteFunc(s.Rollouts(), func(r state.Rollout) bool { return !r.Running() })
	})
	if a.Group != nil {
		reply.Group = a.Group.Group()
	}
	return writeJSON(w, reply)
}

// processesByVersion groups processes by the version that they run, newest version first. unconfirmed are the processes
// that have not confirmed any version.
func processesByVersion(processes []ProcessVersion, inForce uint64) (versions []RunningVersion, unconfirmed []string) {
	byVersion := map[uint64][]ProcessVersion{}
	for _, p := range processes {
		if !p.Known {
			unconfirmed = append(unconfirmed, p.Process)
			continue
		}
		byVersion[p.Version] = append(byVersion[p.Version], p)
	}
	versions = []RunningVersion{}
	for version, list := range byVersion {
		versions = append(versions, RunningVersion{Version: version, InForce: version <= inForce, Processes: list})
	}
	slices.SortFunc(versions, func(a, b RunningVersion) int { return cmp.Compare(b.Version, a.Version) })
	return versions, unconfirmed
}

// getInForce waits until the version is in force, for at most the query parameter waitMillis and maxInForceWait.
func (a *API) getInForce(w http.ResponseWriter, c *call) error {
	version, err := strconv.ParseUint(c.Param("version"), 10, 64)
	if err != nil {
		return newProblem(http.StatusBadRequest, ProblemBadRequest, "the version is a number")
	}
	wait, err := strconv.Atoi(cmp.Or(c.URL.Query().Get("waitMillis"), "0"))
	if err != nil || wait < 0 {
		return newProblem(http.StatusBadRequest, ProblemBadRequest, "waitMillis is a number of milliseconds")
	}
	ctx, cancel := context.WithTimeout(c.Context(), min(time.Duration(wait)*time.Millisecond, maxInForceWait))
	defer cancel()
	status := a.waitInForce(ctx, version)
	return writeJSON(w, InForceReply{Version: version, InForce: status.InForce, Missing: status.Missing})
}

func (a *API) waitInForce(ctx context.Context, version uint64) VersionStatus {
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		status := a.Confirmations.Status(version)
		if status.InForce {
			return status
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return status
		}
	}
}

func (a *API) getHistory(w http.ResponseWriter, c *call) error {
	limit, err := strconv.Atoi(cmp.Or(c.URL.Query().Get("limit"), strconv.Itoa(defaultHistoryRecords)))
	if err != nil || limit < 1 || limit > maxHistoryRecords {
		return newProblem(http.StatusBadRequest, ProblemBadRequest, "limit is a number from 1 to 10000")
	}
	var reply HistoryReply
	a.Fleet.View(func(s *state.State) { reply.Records = s.History(limit) })
	return writeJSON(w, reply)
}

func (a *API) getMembers(w http.ResponseWriter, _ *call) error {
	var reply MembersReply
	a.Fleet.View(func(s *state.State) {
		reply.Roster = s.Roster()
		reply.Shards = map[string]int{}
		for _, owner := range s.ShardOwners() {
			if owner != "" {
				reply.Shards[owner]++
			}
		}
	})
	if a.Members != nil {
		reply.Gossip = a.Members.Members()
	}
	return writeJSON(w, reply)
}
