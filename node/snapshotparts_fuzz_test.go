package node

import (
	"encoding/json"
	"slices"
	"testing"
)

// FuzzSnapshotParts guards against parts of a peer that a member keeps for ever, or joins into a snapshot with a part missing.
func FuzzSnapshotParts(f *testing.F) {
	f.Add([]byte(`[{"group":"control","message":{"snapshot":{"index":7}},"total":4,"data":"YWI="},{"group":"control","message":{"snapshot":{"index":7}},"offset":2,"total":4,"data":"Y2Q="}]`))
	f.Add([]byte(`[{"group":"control","message":{"snapshot":{}},"total":4,"data":"YWI="},{"group":"control","message":{"snapshot":{}},"offset":2,"total":2}]`))
	f.Add([]byte(`[{"group":"a","message":{"snapshot":{}},"total":4},{"group":"b","message":{"snapshot":{}},"total":4},{"group":"c","message":{"snapshot":{}},"total":4}]`))
	f.Add([]byte(`[{"group":"records","message":{"snapshot":{}},"offset":9223372036854775807,"total":1,"data":"YWI="},{"group":"records","offset":-1,"total":-1}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var parts []snapshotPart
		if json.Unmarshal(data, &parts) != nil {
			return
		}
		p := newSnapshotParts()
		joined, total := map[groupName][]byte{}, map[groupName]int{}
		for i := range parts {
			whole, complete, err := p.add(&parts[i])
			if len(p.pending) > 2 {
				t.Fatalf("%d snapshots are pending", len(p.pending))
			}
			if err != nil {
				continue
			}
			if parts[i].Offset == 0 {
				joined[parts[i].Group], total[parts[i].Group] = nil, parts[i].Total
			}
			joined[parts[i].Group] = append(joined[parts[i].Group], parts[i].Data...)
			if complete && (len(whole.Snapshot.Data) != total[parts[i].Group] || !slices.Equal(whole.Snapshot.Data, joined[parts[i].Group])) {
				t.Fatalf("%q instead of %q with %d bytes", whole.Snapshot.Data, joined[parts[i].Group], total[parts[i].Group])
			}
		}
		for _, partial := range p.pending {
			if len(partial.data) >= partial.total {
				t.Fatalf("%d of %d bytes are kept", len(partial.data), partial.total)
			}
		}
	})
}
