package node

import (
	"testing"

	"rosemaryline.dev/control"
	"rosemaryline.dev/outlier"
	"rosemaryline.dev/rollout"
	"rosemaryline.dev/rpc/wiretest"
	"rosemaryline.dev/shares"
)

// Guards against a field of the messages between processes that is renamed or removed, so that processes of another build
// lose it.
func TestWireForms(t *testing.T) {
	wiretest.Check(t, map[string]any{
		"metadata":                     metadata{}, // membership.Update.Meta
		methodGossip:                   gossipEnvelope{},
		methodRecovered:                recovery{},
		methodStopping:                 stopNotice{},
		methodExplain:                  control.ExplainQuery{},
		methodExplain + " reply":       []control.Candidate{},
		methodGrant:                    grantBatch{},
		methodGrant + " reply":         grantReplies{},
		methodSharesReport:             []shares.Report{},
		methodSharesReport + " reply":  []shares.Decision{},
		methodPermit:                   outlier.PermitRequest{},
		methodPermit + " reply":        outlier.PermitReply{},
		methodPushDigests:              digestPush{},
		methodFetchDigests:             digestRequest{},
		methodFetchDigests + " reply":  digestPush{},
		methodRaft:                     raftEnvelope{},
		methodSnapshotPart:             snapshotPart{},
		methodPropose:                  proposal{}, // also of methodOrder and methodRollout
		methodPropose + " reply":       proposalResult{},
		methodOrder + " reply":         domainOrderReply{},
		methodRollout + " reply":       rolloutReply{},
		methodRolloutReport:            rollout.Report{},
		methodRolloutReport + " reply": rollout.Reply{},
		methodDepartures:               departuresRequest{},
		methodDepartures + " reply":    departuresReply{},
		methodLeaving:                  leavingNotice{},
	})
}
