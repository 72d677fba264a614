package quota

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzGrantRequest guards against requests of a peer that stop the owner, or that give a team more tokens than its limit.
func FuzzGrantRequest(f *testing.F) {
	f.Add([]byte(`[{"process":"vm1","incarnation":1,"team":"red","id":1,"need":2,"spare":3},{"process":"vm1","incarnation":1,"team":"red","id":2,"held":2,"returned":1}]`))
	f.Add([]byte(`[{"process":"a","team":"red","id":1,"need":10},{"process":"b","team":"red","id":1,"need":9223372036854775807,"spare":9223372036854775807}]`))
	f.Add([]byte(`[{"team":"red","id":1,"need":-9223372036854775808,"spare":-1,"held":-1,"returned":-1},{"team":"none"}]`))
	f.Add([]byte(`[{"team":"red","id":1,"need":4,"brief":true},{"team":"red","id":2,"held":9223372036854775807,"returned":9223372036854775807}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var requests []GrantRequest
		if json.Unmarshal(data, &requests) != nil {
			return
		}
		const burst = 10
		o := NewOwner(Config{})
		o.SetTeam("red", Limit{Rate: 5, Burst: burst})
		now := time.Minute
		for _, r := range requests {
			now += 100 * time.Millisecond
			reply := o.Request(now, r)
			if reply.Granted < 0 || reply.Granted > burst || reply.Confirmed < 0 || reply.Confirmed > burst || reply.RetryAfter < 0 {
				t.Fatalf("%+v: %+v", r, reply)
			}
			if b := o.buckets["red"]; b != nil && (b.level < 0 || b.outstanding < 0 || b.level+float64(b.outstanding) > burst) {
				t.Fatalf("%+v: level %v, outstanding %d", r, b.level, b.outstanding)
			}
		}
	})
}

// FuzzGrantReply guards against replies of a peer that let a holder admit more requests than were granted, or that block a team for
// ever.
func FuzzGrantReply(f *testing.F) {
	f.Add([]byte(`[{"granted":3,"confirmed":1},{"retryAfter":50000000,"tight":true}]`))
	f.Add([]byte(`[{"granted":-5},{"granted":-5,"confirmed":-9223372036854775808}]`))
	f.Add([]byte(`[{"retryAfter":9223372036854775807},{"retryAfter":-1}]`))
	f.Add([]byte(`[{"retryAfter":4611686018427387904}]`))
	f.Add([]byte(`[{"granted":2},{"granted":9223372036854775807,"confirmed":9223372036854775807}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var replies []GrantReply
		if json.Unmarshal(data, &replies) != nil {
			return
		}
		h := NewHolder(Config{Process: "vm1", Incarnation: 1})
		now, granted, admitted := time.Minute, 0.0, 0.0
		for _, r := range replies {
			now += 100 * time.Millisecond
			for range 4 {
				if ok, _ := h.Take(now, "red"); ok {
					admitted++
				}
			}
			for _, request := range h.Poll(now) {
				r.Process, r.Incarnation, r.Team, r.ID = request.Process, request.Incarnation, request.Team, request.ID
				granted += max(float64(r.Granted), 0)
				h.Receive(now, r)
			}
			if tokens := h.teams["red"].tokens; tokens < 0 || admitted > granted {
				t.Fatalf("%+v: %d tokens, %v requests admitted, %v granted", r, tokens, admitted, granted)
			}
		}
		if now += 2 * time.Hour; h.Blocked(now, "red") {
			t.Fatal("blocked for more than two hours")
		}
	})
}
