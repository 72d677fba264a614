package control

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc"
)

// MethodConfirm is the RPC method that takes a ConfirmBatch and returns an empty ConfirmReply.
const MethodConfirm = "control.confirm"

// ConfirmBatch carries confirmations from the control process that received them to the control leader.
type ConfirmBatch struct {
	List []ProcessConfirmation `json:"list"`
}

// ProcessConfirmation states that a process runs a version.
type ProcessConfirmation struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	// Heartbeat is the number of the newest heartbeat that the process knew when it sent the confirmation.
	Heartbeat uint64 `json:"beat,omitempty"`
}

// ConfirmReply is the empty reply to a ConfirmBatch.
type ConfirmReply struct{}

// Relay collects confirmations in a control process that is not the leader, and sends them to the leader. It is safe
// for concurrent use.
type Relay struct {
	mu     sync.Mutex // guards latest
	latest map[string]ProcessConfirmation
}

// NewRelay returns an empty Relay.
func NewRelay() *Relay { return &Relay{latest: map[string]ProcessConfirmation{}} }

// Confirm stores a confirmation for the next Flush, unless it has a newer one by the same process.
func (r *Relay) Confirm(p ProcessConfirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, ok := r.latest[p.Process]
	if !ok || p.newerThan(previous) {
		r.latest[p.Process] = p
	}
}

// newerThan reports whether p replaces an earlier confirmation by the same process.
func (p ProcessConfirmation) newerThan(previous ProcessConfirmation) bool {
	switch {
	case p.Incarnation != previous.Incarnation:
		return p.Incarnation > previous.Incarnation
	case p.Version != previous.Version:
		return p.Version > previous.Version
	default:
		return p.Heartbeat > previous.Heartbeat
	}
}

// Flush sends the confirmations since the last Flush to the leader. On an error they are dropped: processes confirm
// again with their next fetch.
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

// RegisterConfirmations registers MethodConfirm on the server and passes the received confirmations to confirmer.
func RegisterConfirmations(server *rpc.Server, confirmer Confirmer) {
	rpc.Register(server, MethodConfirm, func(_ context.Context, _ string, b ConfirmBatch) (ConfirmReply, error) {
		for _, c := range b.List {
			confirmer.Confirm(c)
		}
		return ConfirmReply{}, nil
	})
}
