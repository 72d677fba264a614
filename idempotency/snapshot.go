package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

type snapshot struct {
	Version  int               `msgpack:"v"`
	Applied  uint64            `msgpack:"i"`
	Clock    time.Duration     `msgpack:"t"`
	Records  []recordEntry     `msgpack:"r"`
	Released []releasedClaimID `msgpack:"x"`
}

type recordEntry struct {
	Key    Key    `msgpack:"k"`
	Record record `msgpack:"r"`
}

type releasedClaimID struct {
	ClaimID    ClaimID       `msgpack:"c"`
	ReleasedAt time.Duration `msgpack:"t"`
}

// Snapshot returns the encoded state. Equal states have equal encodings, apart from the order of the headers of a stored response.
func (s *Store) Snapshot() ([]byte, error) {
	snap := snapshot{Version: snapshotVersion, Applied: s.applied, Clock: s.clock}
	for key, r := range s.records {
		snap.Records = append(snap.Records, recordEntry{Key: key, Record: *r})
	}
	slices.SortFunc(snap.Records, func(a, b recordEntry) int { return compareKeys(a.Key, b.Key) })
	for _, id := range slices.Sorted(maps.Keys(s.released)) {
		snap.Released = append(snap.Released, releasedClaimID{ClaimID: id, ReleasedAt: s.released[id]})
	}
	data, err := msgpack.Marshal(snap)
	return data, errors.Wrap(err, "encode record snapshot")
}

// Restore replaces the state with a snapshot. It fails if data is not a snapshot of the current version, and then
// leaves the state unchanged.
func (s *Store) Restore(data []byte) error {
	var snap snapshot
	if err := msgpack.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "decode record snapshot")
	}
	if snap.Version != snapshotVersion {
		return errors.Errorf("record snapshot has version %d, want %d", snap.Version, snapshotVersion)
	}
	restored := NewStore()
	restored.applied = snap.Applied
	restored.clock = snap.Clock
	for i := range snap.Records {
		restored.records[snap.Records[i].Key] = &snap.Records[i].Record
	}
	for _, r := range snap.Released {
		restored.released[r.ClaimID] = r.ReleasedAt
	}
	*s = *restored
	return nil
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Key, b.Key),
	)
}
