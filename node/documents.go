package node

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

// DocumentChange replaces the whole configuration document. If several operators make changes at the same time, only a
// change whose BaseLabel is the label in force is accepted.
type DocumentChange struct {
	// ChangeID identifies the change, so that sending it again does not apply it twice.
	ChangeID  string           `json:"changeId"`
	Operator  string           `json:"operator"`
	Label     uint64           `json:"label"`
	BaseLabel uint64           `json:"baseLabel"`
	Document  *config.Document `json:"document"`
	// Source is the document as the operator sent it. It is stored, and ReadDocument returns the same bytes.
	Source []byte `json:"source"`
}

// StoredDocument is the document in force.
type StoredDocument struct {
	Label  uint64 `json:"label"`
	Source []byte `json:"source"`
}

const (
	// maxSourceBytes limits a stored document after decompression, so that a damaged one cannot exhaust the memory.
	maxSourceBytes = 64 << 20
	// quorumPollInterval is the time between two checks whether a group has enough members.
	quorumPollInterval = 20 * time.Millisecond
)

// ReplaceDocument proposes a whole document to the control leader. A refusal is part of the result. An error means that
// the outcome is unknown; the same change can be sent again.
func (n *Node) ReplaceDocument(ctx context.Context, change DocumentChange) (state.Result, error) {
	result, err := n.groups.propose(ctx, proposal{Group: groupControl, Replace: &change})
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(result)
}

// ReadDocument returns the document in force. A quorum confirms the read, so the document includes every change that
// was acknowledged before the call.
func (n *Node) ReadDocument(ctx context.Context) (StoredDocument, error) {
	result, err := n.groups.propose(ctx, proposal{Group: groupControl, Read: true})
	if err != nil {
		return StoredDocument{}, err
	}
	var stored StoredDocument
	if err := json.Unmarshal(result, &stored); err != nil {
		return stored, errors.Wrap(err, "decode stored document")
	}
	stored.Source, err = inflate(stored.Source)
	return stored, errors.Wrap(err, "decompress stored document")
}

// replaceDocument proposes the difference between a document and the one in force. Only the leader can do so: the
// barrier brings its copy up to date and fails elsewhere.
func (c *controlRole) replaceDocument(ctx context.Context, r DocumentChange) ([]byte, error) {
	if err := c.waitForMinQuorum(ctx); err != nil {
		return nil, err
	}
	if err := c.groups[groupControl].Barrier(ctx); err != nil {
		return nil, c.proposeError(groupControl, err)
	}
	source, err := deflate(r.Source)
	if err != nil {
		return nil, err
	}
	replace := &state.Replace{Label: r.Label, BaseLabel: r.BaseLabel, Source: source, SourceHash: state.HashSource(source)}
	c.machine.View(func(s *state.State) { replace.Change = config.Diff(s.Config(), r.Document) })
	command := state.Command{ChangeID: r.ChangeID, Operator: r.Operator, Time: time.Now(), Replace: replace}
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	result, err := c.groups[groupControl].Propose(ctx, data)
	if err != nil {
		return nil, c.proposeError(groupControl, err)
	}
	return result, nil
}

// waitForMinQuorum waits until the quorum of the control group is at least Options.MinQuorum, so that an acknowledged
// document is stored by that many members.
func (c *controlRole) waitForMinQuorum(ctx context.Context) error {
	for {
		quorum := c.groups[groupControl].Status().Membership.Quorum()
		if quorum >= c.node.opts.MinQuorum {
			return nil
		}
		select {
		case <-time.After(quorumPollInterval):
		case <-ctx.Done():
			return &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: "the control group has too few members"}
		}
	}
}

func (c *controlRole) readDocument(ctx context.Context) ([]byte, error) {
	if err := c.groups[groupControl].Barrier(ctx); err != nil {
		return nil, c.proposeError(groupControl, err)
	}
	var stored StoredDocument
	c.machine.View(func(s *state.State) { stored = StoredDocument{Label: s.Label(), Source: s.Source()} })
	return json.Marshal(stored)
}

func deflate(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return compressed.Bytes(), err
}

func inflate(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSourceBytes))
}
