package outlier

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzPermitRequest guards against requests of a peer that stop the arbiter, or that let ejections go below the floor.
func FuzzPermitRequest(f *testing.F) {
	f.Add([]byte(`[{"vm":"a","service":"s","server":"a/1","slots":1,"run":1,"number":1},{"vm":"b","service":"s","server":"b/1","slots":2,"run":1,"number":1}]`))
	f.Add([]byte(`[{"vm":"a","server":"a/1","slots":-100,"run":1,"number":1},{"vm":"a","server":"a/2","slots":3,"run":1,"number":1},{"vm":"b","server":"b/1","slots":3,"run":1,"number":1}]`))
	f.Add([]byte(`[{"vm":"a","server":"a/1","slots":9223372036854775807,"run":1,"number":1},{"vm":"a","server":"a/2","slots":9223372036854775807,"run":1,"number":1}]`))
	f.Add([]byte(`[{"vm":"a","server":"a/1","slots":1,"run":1,"number":18446744073709551615,"release":true},{"vm":"none"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var requests []PermitRequest
		if json.Unmarshal(data, &requests) != nil {
			return
		}
		a := NewArbiter(ArbiterConfig{FloorPercent: 60})
		a.SetCapacity([]Capacity{{VM: "a", Slots: 3}, {VM: "b", Slots: 3}, {VM: "c", Slots: 4}})
		now := time.Minute
		ejected := map[string]int{} // granted slots, by VM
		for i := range requests {
			reply := a.Request(now, requests[i])
			if reply.Granted {
				ejected[requests[i].VM] += min(max(requests[i].Slots, 0), 10)
			}
		}
		for _, r := range requests {
			if r.Release {
				return // a released permit does not count, and may be granted again
			}
		}
		rest := 10
		for vm, slots := range map[string]int{"a": 3, "b": 3, "c": 4} {
			rest -= min(ejected[vm], slots)
		}
		// A repeated request counts twice here, so only requests with distinct servers are compared.
		servers := map[permitKey]bool{}
		for _, r := range requests {
			servers[permitKey{r.VM, r.Server}] = true
		}
		if len(servers) == len(requests) && rest < 6 {
			t.Fatalf("%d of 10 slots are left, the floor is 6", rest)
		}
	})
}

// FuzzPeerDigest guards against digests of a peer that stop the detector, or that make it suspect a healthy server for ever.
func FuzzPeerDigest(f *testing.F) {
	f.Add([]byte(`[{"server":"b/1","count":20,"p50":1000000,"p90":2000000},{"server":"c/1","count":20,"failed":20,"hanging":3,"warming":true}]`))
	f.Add([]byte(`[{"server":"b/1","count":-1,"failed":9223372036854775807,"hanging":-9223372036854775808,"p50":-1,"p90":9223372036854775807}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var digests []Digest
		if json.Unmarshal(data, &digests) != nil {
			return
		}
		d := NewDetector(Config{})
		d.AddServer("a/1", "s", false)
		now := time.Minute
		for range 30 {
			now += 100 * time.Millisecond
			d.Observe("a/1", now, 20*time.Millisecond, false)
			for _, digest := range digests {
				d.AddPeerDigest("s", digest, now-time.Second)
			}
			d.Evaluate(now)
		}
		now += time.Hour
		for range 30 {
			now += 100 * time.Millisecond
			d.Observe("a/1", now, 20*time.Millisecond, false)
			for _, v := range d.Evaluate(now) {
				if v.Health != Healthy {
					t.Fatalf("an hour later: %+v", v)
				}
			}
		}
	})
}
