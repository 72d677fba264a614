package node

import (
	"testing"
	"time"

	"rosemaryline.dev/membership"
	"rosemaryline.dev/outlier"
)

// FuzzMetadata guards against metadata of a peer that lets ejections go below the floor, or that gives its VM a load or capacity that
// entries cannot compare.
func FuzzMetadata(f *testing.F) {
	f.Add([]byte(`{"rows":[{"service":"s","slots":4,"out":1,"effective":3,"state":"serving","version":"v2","load":2}],"control":7,"features":["rollouts"]}`))
	f.Add([]byte(`{"rows":[{"service":"s","slots":-100,"effective":-1,"out":-9223372036854775808,"state":"none"}]}`))
	f.Add([]byte(`{"rows":[{"service":"s","slots":9223372036854775807,"out":-1,"effective":9223372036854775807},{"service":"s","slots":1}]}`))
	f.Add([]byte(`{"rows":[{"service":"s","slots":4,"out":-100}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		meta, err := decodeMetadata(data)
		if err != nil {
			return
		}
		peer := peerInfo{Member: membership.Member{Name: "b"}, meta: meta}
		d := newDirectory(func() time.Duration { return 0 })
		d.rebuild([]peerInfo{peer})
		capacity := []outlier.Capacity{{VM: "a", Slots: 10}}
		for _, row := range meta.Rows {
			for _, host := range d.Hosts(row.Service) {
				if host.Slots < 0 || host.Slots > maxRowSlots {
					t.Fatalf("%+v", host)
				}
			}
			capacity = append(capacity[:1], outlier.Capacity{VM: "b", Slots: row.Slots, Out: row.Out})
			a := outlier.NewArbiter(outlier.ArbiterConfig{FloorPercent: 60})
			a.SetCapacity(capacity)
			reply := a.Request(time.Minute, outlier.PermitRequest{VM: "a", Server: "a/1", Slots: 10, Run: 1, Number: 1})
			if reply.Granted && 4*row.Slots < 6*10 {
				t.Fatalf("all 10 slots of a were ejected, with %d at b", row.Slots)
			}
		}
	})
}
