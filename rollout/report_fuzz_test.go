package rollout

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzReport guards against reports of a peer that stop the control leader, or that lead to a decision that the fleet state
// refuses, so that the rollout never ends. Without reports the version must not get all requests.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`[{"vm":"a","incarnation":1,"sequence":1,"rollout":"1","service":"s","version":"v1","arrived":400,"running":3,"slots":4,
		"routes":{"root":{"started":400,"ok":390,"failed":7}}},{"vm":"b","incarnation":1,"sequence":1,"rollout":"1","service":"s","version":"v2",
		"applied":1,"arrived":40,"slots":4,"knownMs":900,"refused":3,"granted":41,"grantedBy":1,"routes":{"root":{"started":40,"ok":9,"failed":20,"broken":11,"shed":1}}}]`))
	f.Add([]byte(`[{"vm":"a","rollout":"1","service":"s","version":"v2","sequence":18446744073709551615,"arrived":18446744073709551615,
		"running":9223372036854775807,"slots":9223372036854775807,"knownMs":9223372036854775807,"granted":18446744073709551615},
		{"vm":"b","rollout":"1","service":"s","version":"v2","sequence":1,"arrived":1,"running":-1,"slots":-9223372036854775808,
		"routes":{"":{"started":4294967295,"ok":4294967295,"failed":4294967295,"latency":[4294967295]}}},
		{"vm":"c","rollout":"1","service":"s","version":"v1","arrived":18446744073709551615,"slots":-9223372036854775808}]`))
	f.Add([]byte(`[{"vm":"b","rollout":"1","service":"s","version":"v2","sequence":1,"arrived":9},{"vm":"b","rollout":"1","service":"s","version":"v2",
		"incarnation":2,"sequence":1,"arrived":3},{"vm":"","rollout":"1","service":"s"},{"vm":"b","rollout":"2","service":"s","granted":7}]`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var reports []Report
		if json.Unmarshal(data, &reports) != nil {
			return
		}
		plan := Plan{ID: "1", Service: "s", NewVersion: "v2", Duration: 16 * time.Second, Phase: Canary}
		for _, takeover := range []uint64{0, 1} {
			plan := plan
			plan.Decision = takeover
			d := New(modelSettings, plan, 0)
			for now := time.Duration(0); !plan.Phase.Final(); now += 250 * time.Millisecond {
				if now > 2*plan.Duration {
					t.Fatalf("still %s", plan.Phase)
				}
				for _, r := range reports {
					r.Sequence += uint64(now)
					d.Report(now, r)
				}
				decision, ok := d.Step(now)
				if !ok {
					continue
				}
				switch decision.Phase {
				case Canary, Loaded, Cutover, Completed, RolledBack:
				default:
					t.Fatalf("phase %q", decision.Phase)
				}
				if decision.Previous != plan.Decision || decision.Percent < 0 || decision.Percent > 100 || decision.Servers < 0 || decision.Elapsed < plan.Elapsed {
					t.Fatalf("%+v after %+v", decision, plan)
				}
				if len(reports) == 0 && (decision.Phase == Cutover || decision.Phase == Completed) {
					t.Fatalf("%s without evidence", decision.Phase)
				}
				plan.Phase, plan.Percent, plan.Servers, plan.Elapsed = decision.Phase, decision.Percent, decision.Servers, decision.Elapsed
				plan.Decision++
				d.Apply(now, plan)
			}
		}
	})
}
