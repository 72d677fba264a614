package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc"
)

// MethodConfirm takes a ConfirmBatch and answers with an empty ConfirmReply.
const MethodConfirm = "control.confirm"

// ConfirmBatch carries confirmations that a control process received to the control leader.
type ConfirmBatch struct {
	List []ProcessConfirmation `json:"list"`
}

// ProcessConfirmation tells that a process runs a version.
type ProcessConfirmation struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Beat is the number of the newest beat that the process knew.
	Beat uint64 `json:"beat,omitempty"`
}

// ConfirmReply answers a ConfirmBatch.
type ConfirmReply struct{}

// Relay collects confirmations on a control process that does not lead. It is safe for concurrent use.
type Relay struct {
	mu     sync.Mutex // guards latest
	latest map[string]ProcessConfirmation
}

// NewRelay returns an empty Relay.
func NewRelay() *Relay { return &Relay{latest: map[string]ProcessConfirmation{}} }

// Confirm notes a confirmation for the next Flush.
func (r *Relay) Confirm(p ProcessConfirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, ok := r.latest[p.Process]
	if !ok || p.newerThan(former) {
		r.latest[p.Process] = p
	}
}

// newerThan tells whether a confirmation by the same process replaces another one.
func (p ProcessConfirmation) newerThan(former ProcessConfirmation) bool {
	switch {
	case p.Incarnation != former.Incarnation:
		return p.Incarnation > former.Incarnation
	case p.Version != former.Version:
		return p.Version > former.Version
	default:
		return p.Beat > former.Beat
	}
}

// Flush sends what was confirmed since the last Flush to the leader. On an error it is dropped: processes confirm again
// with their next fetch.
func (r *Relay) Flush(ctx context.Context, caller Caller, leader string) error {
	r.mu.Lock()
	latest := r.latest
	r.latest = map[string]ProcessConfirmation{}
	r.mu.Unlock()
	if len(latest) == 0 {
		return nil
	}
	batch := ConfirmBatch{}
	for _, c := range latest {
		batch.List = append(batch.List, c)
	}
	var reply ConfirmReply
	return errors.Wrap(caller.Call(ctx, leader, MethodConfirm, batch, &reply), "send confirmations")
}

// RegisterConfirmations offers MethodConfirm to control processes that relay confirmations.
func RegisterConfirmations(server *rpc.Server, confirmer Confirmer) {
	rpc.Register(server, MethodConfirm, func(_ context.Context, _ string, b ConfirmBatch) (ConfirmReply, error) {
		for _, c := range b.List {
			confirmer.Confirm(c)
		}
		return ConfirmReply{}, nil
	})
}
