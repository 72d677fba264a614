package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/rpc"
)

const (
	// methodRollout takes a proposal with a rolloutRequest. Processes of earlier builds do not have it.
	methodRollout = "group.rollout"
	// featureRollouts is announced by control VMs that know the commands about rollouts.
	featureRollouts = "rollouts"
	// rolloutResendWindow is the time after a roll-back in which the same order counts as a copy of the one that was rolled
	// back. Operators send copies within 4 s of the first, and order the same version again only after more than 10 s.
	rolloutResendWindow = 10 * time.Second
	// rolloutProposals limits how often the leader proposes an order that a concurrent command overtook.
	rolloutProposals = 3
)

// RolloutOrder orders to move the traffic of a service to servers with another version of their software.
type RolloutOrder struct {
	Service    string
	NewVersion string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
}

// rolloutRequest asks the control leader for the rollout of a service or, with Begin, to begin one.
type rolloutRequest struct {
	Service string        `json:"service"`
	Begin   *rolloutBegin `json:"begin,omitempty"`
}

type rolloutBegin struct {
	Operator   string `json:"operator"`
	NewVersion string `json:"newVersion"`
	DurationMs int64  `json:"durationMs"`
	// Base is rolloutReply.Base of an earlier reply.
	Base uint64 `json:"base"`
}

type rolloutReply struct {
	// Rollout is the latest rollout; nil if the service had none.
	Rollout *state.Rollout `json:"rollout,omitempty"`
	// Base is State.RolloutBase of the service.
	Base uint64 `json:"base,omitempty"`
	// Overtaken reports that the order was not carried out, because a rollout of the service began after its base was read.
	Overtaken bool           `json:"overtaken,omitempty"`
	Refusal   *state.Refusal `json:"refusal,omitempty"`
}

// changeID returns the change ID of an order. It is the same for all copies that were taken before a rollout of the service
// began, and differs from those of all orders that were taken later.
func (b *rolloutBegin) changeID(service string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q %q %d %d", b.Operator, service, b.NewVersion, b.DurationMs, b.Base))
	return hex.EncodeToString(sum[:])
}

func (b *rolloutBegin) command(service string) state.Command {
	return state.Command{
		ChangeID: b.changeID(service), Operator: b.Operator, Time: time.Now(),
		BeginRollout: &state.BeginRollout{Service: service, NewVersion: b.NewVersion, DurationMs: b.DurationMs, Base: b.Base},
	}
}

// repeats reports whether an order is a copy of the one that began a rollout.
func (b *rolloutBegin) repeats(service string, r *state.Rollout, now time.Time) bool {
	switch {
	case r.ID == b.changeID(service):
		return true
	case r.NewVersion != b.NewVersion || r.DurationMs != b.DurationMs:
		return false
	case r.Running():
		return true
	case r.Operator != b.Operator:
		return false
	}
	// After a roll-back the same order may be meant as a new one. After a completed rollout there is nothing left to do.
	return r.Phase == state.RolloutCompleted || now.Sub(r.Ended).Abs() < rolloutResendWindow
}

// BeginRollout orders a rollout and returns once the order is committed. The same order is acknowledged again while its
// rollout runs and, to the same operator, after it was completed and within rolloutResendWindow after it was rolled back.
// Errors: ErrCallerGone if the order was not carried out for that reason, *state.Refusal if it was refused; with any other
// error the outcome is unknown, or a control VM does not know rollouts yet. ctx must end when the caller no longer waits.
//
// A copy of an order that arrives late does not begin a second rollout:
//   - One that was held up after it was taken carries the base that it was taken with, as part of its change ID too. The base
//     changes when a rollout begins, and does not return, so the copy gets the result of the first one or is refused.
//   - One that was held up before it was taken, for example because the process was frozen, arrives together with the end of
//     the connection of its caller, who sends copies elsewhere after a second.
//   - One whose caller still waits was sent within seconds of the first, that is, within rolloutResendWindow.
func (n *Node) BeginRollout(ctx context.Context, operator string, order RolloutOrder) error {
	for {
		overtaken, err := n.beginRollout(ctx, operator, order)
		if !overtaken {
			return err
		}
		n.opts.Log.Info().Str("service", order.Service).Str("version", order.NewVersion).
			Msg("rollout: an order was overtaken by another rollout of the service; reading the state again.")
	}
}

func (n *Node) beginRollout(ctx context.Context, operator string, order RolloutOrder) (overtaken bool, err error) {
	reply, err := n.requestRollout(ctx, rolloutRequest{Service: order.Service})
	if err != nil {
		return false, err
	}
	if err := waitForCaller(ctx); err != nil {
		return false, err
	}
	// Both cases of waitForCaller are ready after the process was frozen.
	if ctx.Err() != nil {
		return false, ErrCallerGone
	}
	reply, err = n.requestRollout(ctx, rolloutRequest{Service: order.Service, Begin: &rolloutBegin{
		Operator: operator, NewVersion: order.NewVersion, DurationMs: order.Duration.Milliseconds(), Base: reply.Base,
	}})
	switch {
	case err != nil:
		return false, err
	case reply.Refusal != nil:
		return false, reply.Refusal
	}
	return reply.Overtaken, nil
}

// ReadRollout returns the latest rollout of a service, and whether there was one. A quorum confirms the read, so that it
// includes every order that was acknowledged before the call.
func (n *Node) ReadRollout(ctx context.Context, service string) (state.Rollout, bool, error) {
	reply, err := n.requestRollout(ctx, rolloutRequest{Service: service})
	if err != nil || reply.Rollout == nil {
		return state.Rollout{}, false, err
	}
	return *reply.Rollout, true, nil
}

// requestRollout sends a request to the control leader.
func (n *Node) requestRollout(ctx context.Context, r rolloutRequest) (reply rolloutReply, err error) {
	data, err := n.groups.propose(ctx, proposal{Group: groupControl, Rollout: &r})
	if err != nil {
		return reply, err
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "decode the reply about a rollout")
}

// rollout carries out a request about a rollout if this process leads the control group. Failures of the group are returned
// as *rpc.RemoteError.
func (c *controlRole) rollout(ctx context.Context, r rolloutRequest) ([]byte, error) {
	var reply rolloutReply
	var err error
	if r.Begin == nil {
		reply, err = c.readRollout(ctx, r.Service)
	} else {
		reply, err = c.beginRollout(ctx, r.Service, r.Begin)
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(reply)
}

func (c *controlRole) readRollout(ctx context.Context, service string) (reply rolloutReply, err error) {
	if err := c.groups[groupControl].Barrier(ctx); err != nil {
		return reply, c.proposeError(groupControl, err)
	}
	c.machine.View(func(s *state.State) {
		reply.Base = s.RolloutBase(service)
		if r, ok := s.Rollout(service); ok {
			reply.Rollout = &r
		}
	})
	return reply, nil
}

// beginRollout proposes an order, unless the state shows that it is a copy or that it would be refused. If another command
// came first, it decides again on the state after that one.
func (c *controlRole) beginRollout(ctx context.Context, service string, b *rolloutBegin) (reply rolloutReply, err error) {
	if err := c.waitForMinQuorum(ctx); err != nil {
		return reply, err
	}
	for range rolloutProposals {
		if err := c.groups[groupControl].Barrier(ctx); err != nil {
			return reply, c.proposeError(groupControl, err)
		}
		command := b.command(service)
		var done bool
		c.machine.View(func(s *state.State) { reply, done = assessOrder(s, b, command.BeginRollout) })
		if done {
			break
		}
		result, err := c.proposeRollout(ctx, command)
		if err != nil {
			return reply, err
		}
		reply.Refusal = result.Err
		if result.Err == nil || result.Err.Code != state.CodeConflict {
			break
		}
	}
	c.logOrder(service, b, reply)
	return reply, nil
}

// assessOrder returns the reply to an order where the state shows it; done is false if the order must be proposed.
func assessOrder(s *state.State, b *rolloutBegin, command *state.BeginRollout) (reply rolloutReply, done bool) {
	r, ok := s.Rollout(command.Service)
	if ok && b.repeats(command.Service, &r, time.Now()) {
		return rolloutReply{Rollout: &r}, true
	}
	_, configured := s.Config().Services[command.Service]
	if configured && !(ok && r.Running()) && b.Base != s.RolloutBase(command.Service) {
		return rolloutReply{Overtaken: true}, true
	}
	refusal := s.CheckBeginRollout(command)
	return rolloutReply{Refusal: refusal}, refusal != nil
}

func (c *controlRole) logOrder(service string, b *rolloutBegin, reply rolloutReply) {
	entry, outcome := c.node.opts.Log.Info(), "accepted"
	switch {
	case reply.Refusal != nil:
		entry, outcome = c.node.opts.Log.Warn().Str("reason", reply.Refusal.Error()), "refused"
	case reply.Overtaken:
		outcome = "overtaken"
	case reply.Rollout != nil:
		entry, outcome = entry.Str("phase", string(reply.Rollout.Phase)), "known"
	}
	entry.Str("service", service).Str("version", b.NewVersion).Int64("duration_ms", b.DurationMs).
		Str("operator", b.Operator).Uint64("base", b.Base).Msgf("rollout: order %s.", outcome)
}

// proposeRollout commits a command about a rollout if this process leads the control group and every member knows the
// command. It fills in the change ID and the operator where they are empty. Failures of the group are returned as
// *rpc.RemoteError.
func (c *controlRole) proposeRollout(ctx context.Context, command state.Command) (state.Result, error) {
	if command.ChangeID == "" {
		command.ChangeID = string(newClaimID())
	}
	if command.Operator == "" {
		command.Operator = c.node.opts.Name
	}
	if command.Time.IsZero() {
		command.Time = time.Now()
	}
	data, err := command.Encode()
	if err != nil {
		return state.Result{}, err
	}
	result, err := c.propose(ctx, proposal{Group: groupControl, Data: data})
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(result)
}

// checkRolloutsKnown returns an error if a member of the control group does not announce that it knows commands about
// rollouts. A member that refused a command which the others accept would have another state than they have.
func (c *controlRole) checkRolloutsKnown() error {
	accepted := false
	c.machine.View(func(s *state.State) { accepted = s.KnowsRollouts() })
	for _, id := range c.groups[groupControl].Status().Membership.Members() {
		if id == c.controlID {
			continue
		}
		features, found := c.node.gossip.featuresOf(id)
		// A member that gossip no longer lists, such as a lost VM, announced the feature before the first such command.
		if !found && accepted || slices.Contains(features, featureRollouts) {
			continue
		}
		return &rpc.RemoteError{
			Code:    rpc.CodeUnavailable,
			Message: fmt.Sprintf("member %s of the control group does not announce that it knows rollouts", formatID(id)),
		}
	}
	return nil
}

// featuresOf returns the features that a member of the control group announced, also if its process is dead. found is false
// if no process announced the member ID.
func (g *gossip) featuresOf(id raft.ID) (features []string, found bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.meta.Control == id {
			return m.meta.Features, true
		}
	}
	return nil, false
}
