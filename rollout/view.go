package rollout

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
)

// View is what an entry or a gate knows of the versions of a service. The load pattern is hundreds of entries and gates, each
// of which is behind by another time: what one of them decides depends on its own view only.
type View struct {
	plan     Plan
	running  bool
	admitted []string
}

// NewView returns a view of the admitted versions and of the service's rollout, which is nil if it never had one.
func NewView(admitted []string, plan *Plan) View {
	v := View{admitted: slices.Clone(admitted)}
	if plan != nil {
		v.plan, v.running = *plan, true
	}
	return v
}

// Active reports whether a rollout is running.
func (v View) Active() bool { return v.running && !v.plan.Phase.Final() }

// ID returns the ID of the service's rollout; empty if it never had one.
func (v View) ID() string { return v.plan.ID }

// Decision returns the number of the rollout's last decision.
func (v View) Decision() uint64 { return v.plan.Decision }

// IsNew reports whether the version is the new one of a running rollout.
func (v View) IsNew(version string) bool { return v.Active() && version == v.plan.NewVersion }

// Admits reports whether a server of the version may get a request. Before any version is recorded, all may, except for the
// new version of a rollout that was rolled back and the old ones of one that is in cutover or completed.
func (v View) Admits(version string) bool {
	if v.running {
		isNew := version == v.plan.NewVersion
		switch {
		case v.plan.Phase == Cutover || v.plan.Phase == Completed:
			return isNew
		case isNew:
			return v.plan.Phase != RolledBack
		}
	}
	return len(v.admitted) == 0 || slices.Contains(v.admitted, version)
}

// OldRefuse reports whether gates refuse new requests for servers of the old versions.
func (v View) OldRefuse() bool {
	return v.running && (v.plan.Phase == Cutover || v.plan.Phase == Completed)
}

// Limited reports whether gates of the new version need an allowance for each request.
func (v View) Limited() bool { return v.Active() && v.plan.Phase != Cutover }

// ToNew draws whether a new request is offered to the new version. In cutover all are.
func (v View) ToNew(random *rand.Rand) bool {
	if !v.Active() {
		return false
	}
	return v.plan.Phase == Cutover || random.IntN(100) < v.plan.Percent
}

// Participants returns those of the new version's servers, by name, that get requests. All entries with the same names
// choose the same ones, in any order of names, and a server that joins or leaves displaces at most one. Each decision
// of the loaded phase chooses others, so that a version is not judged by a single server.
func (v View) Participants(names []string) []string {
	if !v.Active() || v.plan.Servers <= 0 || v.plan.Servers >= len(names) {
		return names
	}
	salt := v.plan.ID + "/" + strconv.FormatUint(v.plan.Decision, 10) + "/"
	ranks := make(map[string]uint64, len(names))
	for _, name := range names {
		h := fnv.New64a()
		h.Write([]byte(salt + name))
		ranks[name] = mix(h.Sum64())
	}
	chosen := slices.Clone(names)
	slices.SortFunc(chosen, func(a, b string) int {
		switch {
		case ranks[a] != ranks[b] && ranks[a] < ranks[b]:
			return -1
		case ranks[a] != ranks[b]:
			return 1
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	})
	return chosen[:v.plan.Servers]
}

// mix spreads the hash: FNV of names that differ only in their last bytes keeps their order.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
