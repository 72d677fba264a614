package control

import (
	"testing"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc/wiretest"
)

// Guards against a field of the messages between processes, or of the operators' API, that is renamed or removed, so that
// processes and tools of another build lose it.
func TestWireForms(t *testing.T) {
	wiretest.Check(t, map[string]any{
		MethodFetch:               FetchRequest{},
		MethodFetch + " reply":    FetchReply{},
		MethodSnapshot:            SnapshotRequest{},
		MethodSnapshot + " reply": SnapshotReply{},
		MethodConfirm:             ConfirmBatch{},
		"apply":                   ApplyRequest{},
		"key":                     KeyRequest{},
		"keys reply":              KeysReply{},
		"domain":                  DomainRequest{},
		"domains reply":           []DomainStatus{},
		"group":                   GroupRequest{},
		"group reply":             GroupStatus{},
		"rollout":                 RolloutRequest{},
		"rollout abort":           RolloutAbortRequest{},
		"rollouts reply":          []RolloutStatus{},
		"change reply":            ChangeReply{},
		"config reply":            ConfigReply{},
		"version reply":           VersionReply{},
		"status reply":            StatusReply{},
		"in force reply":          InForceReply{},
		"history reply":           HistoryReply{},
		"members reply":           MembersReply{},
		"explain reply":           ExplainReply{},
		"problem":                 Problem{},
		"record":                  state.Record{},
	})
}
