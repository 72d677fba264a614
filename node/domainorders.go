package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/raft"
)

const (
	// methodOrder takes a proposal with a domainOrder. Processes of earlier builds do not have it.
	methodOrder = "group.order"
	// callerCheckWait is the time in which a process notices that the caller of an order has closed its connection. An order
	// that waited while the process stood still or was cut off arrives together with the end of its connection.
	callerCheckWait = 100 * time.Millisecond
	// stateWaitInterval is the time between two checks whether the process has caught up with a version.
	stateWaitInterval = 10 * time.Millisecond
)

// ErrCallerGone reports that an order was not carried out, because its caller no longer waits for it.
var ErrCallerGone = errors.New("the caller of the order no longer waits for it")

// errOvertaken reports that another order about the same failure domain was taken first.
var errOvertaken = errors.New("another order about the failure domain was taken first")

// domainOrder asks the control leader for a token for an order about a failure domain or, with a token, to carry the order
// out. Orders carry no number of their own, so the token tells a late copy of an order from a new one.
type domainOrder struct {
	Domain string `json:"domain"`
	// Token is nil in the request for a token.
	Token    *orderToken `json:"token,omitempty"`
	Out      bool        `json:"out,omitempty"`
	ChangeID string      `json:"changeId,omitempty"`
	Operator string      `json:"operator,omitempty"`
}

// orderToken is a point in the sequence of the orders about one failure domain that a leader has taken in its term.
type orderToken struct {
	Term  uint64 `json:"term"`
	Taken uint64 `json:"taken"`
}

type domainOrderReply struct {
	Token *orderToken `json:"token,omitempty"`
	// Overtaken reports that the order was not carried out, because the leader has taken another order since the token, or
	// is not the one that issued it.
	Overtaken bool `json:"overtaken,omitempty"`
	// Result is the result of the command.
	Result []byte `json:"result,omitempty"`
}

// orderSequence numbers the orders about failure domains that this process takes as the control leader. It is kept in
// memory only: tokens are valid for one term, and a leader that restarts does not lead again in the same term.
type orderSequence struct {
	mu   sync.Mutex // guards the fields below
	term uint64
	// taken is the number of orders taken in the term.
	taken uint64
	// last is the latest order about each failure domain. Failure domains that it lacks have the number floor.
	last  map[string]takenOrder
	floor uint64
}

type takenOrder struct {
	number   uint64
	changeID string
}

// maxOrderedDomains limits the failure domains in an orderSequence, because an order may name one that does not exist.
const maxOrderedDomains = 1024

// token returns the token for the next order about a failure domain.
func (s *orderSequence) token(term uint64, domain string) orderToken {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(term)
	return orderToken{Term: s.term, Taken: s.lastNumber(domain)}
}

// take records that an order is carried out in a term. It returns errOvertaken if the token is from another term, or if
// another order about the failure domain was taken since. The latest order may be taken again.
func (s *orderSequence) take(term uint64, domain, changeID string, token orderToken) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(term)
	if token.Term != s.term {
		return errOvertaken
	}
	if last, ok := s.last[domain]; ok && last.changeID == changeID {
		return nil
	}
	if token.Taken != s.lastNumber(domain) {
		return errOvertaken
	}
	s.record(domain, changeID)
	return nil
}

// takeAny records a change of a failure domain's status that was made without a token.
func (s *orderSequence) takeAny(term uint64, domain, changeID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(term)
	s.record(domain, changeID)
}

// enter starts a new sequence with a new term. The caller holds mu.
func (s *orderSequence) enter(term uint64) {
	if term > s.term || s.last == nil {
		s.term, s.taken, s.floor, s.last = term, 0, 0, map[string]takenOrder{}
	}
}

// lastNumber returns the number of the latest order about a failure domain. The caller holds mu.
func (s *orderSequence) lastNumber(domain string) uint64 {
	if last, ok := s.last[domain]; ok {
		return last.number
	}
	return s.floor
}

// record gives the next number to an order. The caller holds mu.
func (s *orderSequence) record(domain, changeID string) {
	s.taken++
	if len(s.last) >= maxOrderedDomains {
		clear(s.last)
		s.floor = s.taken
	}
	s.last[domain] = takenOrder{number: s.taken, changeID: changeID}
}

// order issues the token of an order, or carries the order out, if this process leads the control group. Failures of the
// group are returned as *rpc.RemoteError.
func (c *controlRole) order(ctx context.Context, o domainOrder) ([]byte, error) {
	group := c.groups[groupControl]
	status := group.Status()
	if status.Role != raft.Leader {
		return nil, c.proposeError(groupControl, &raft.NotLeaderError{Leader: status.Leader})
	}
	if o.Token == nil {
		token := c.orders.token(status.Term, o.Domain)
		return json.Marshal(domainOrderReply{Token: &token})
	}
	command := domainCommand(o.Operator, o.Domain, o.Out)
	command.ChangeID = o.ChangeID
	command.SetDomain.AnyBase = true
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	result, err := group.ProposeChecked(ctx, data, func(term uint64) error {
		return c.orders.take(term, o.Domain, o.ChangeID, *o.Token)
	})
	switch {
	case errors.Is(err, errOvertaken):
		return json.Marshal(domainOrderReply{Overtaken: true})
	case err != nil:
		return nil, c.proposeError(groupControl, err)
	}
	return json.Marshal(domainOrderReply{Result: result})
}

// proposeCommand commits a command that carries no token. A change of a failure domain's status by an operator's client, or
// by a process of an earlier build, overtakes the orders whose tokens were issued before. A command about a rollout is
// committed only while every member of the group knows it.
func (c *controlRole) proposeCommand(ctx context.Context, data []byte) ([]byte, error) {
	group := c.groups[groupControl]
	var command struct {
		ChangeID  string           `json:"changeId"`
		SetDomain *state.SetDomain `json:"setDomain"`

		BeginRollout  json.RawMessage `json:"beginRollout"`
		DecideRollout json.RawMessage `json:"decideRollout"`
		AbortRollout  json.RawMessage `json:"abortRollout"`
		AdmitVersions json.RawMessage `json:"admitVersions"`
	}
	if err := json.Unmarshal(data, &command); err != nil {
		return group.Propose(ctx, data) // the state machine refuses what it cannot read
	}
	if len(command.BeginRollout)+len(command.DecideRollout)+len(command.AbortRollout)+len(command.AdmitVersions) > 0 {
		if err := c.checkRolloutsKnown(); err != nil {
			return nil, err
		}
	}
	if command.SetDomain == nil {
		return group.Propose(ctx, data)
	}
	return group.ProposeChecked(ctx, data, func(term uint64) error {
		c.orders.takeAny(term, command.SetDomain.Domain, command.ChangeID)
		return nil
	})
}

func domainCommand(operator, domain string, out bool) state.Command {
	return state.Command{
		ChangeID: string(newClaimID()), Operator: operator, Time: time.Now(),
		SetDomain: &state.SetDomain{Domain: domain, Out: out, Force: true},
	}
}

// SetDomain takes a failure domain out of service or brings it back, regardless of other changes made meanwhile. It
// does nothing if the failure domain already has this status. ctx must end when the caller no longer waits: an order that
// was sent again through another process may be followed by a later one, which a late copy must not undo. Errors:
// ErrCallerGone if the order was not carried out for that reason, *state.Refusal if it was refused; with any other error
// the outcome is unknown.
//
// The token is fetched before the caller is seen waiting. The caller sends a later order only when it no longer waits for
// this one, so that order is taken after the token was issued, and this one is then refused wherever it was held up.
func (n *Node) SetDomain(ctx context.Context, operator, domain string, out bool) error {
	for {
		err := n.orderDomain(ctx, operator, domain, out)
		if !errors.Is(err, errOvertaken) {
			return err
		}
		n.opts.Log.Info().Str("domain", domain).Bool("out", out).Msg("control: an order about a failure domain was overtaken by another.")
	}
}

func (n *Node) orderDomain(ctx context.Context, operator, domain string, out bool) error {
	version := n.stateVersion()
	reply, err := n.proposeOrder(ctx, domainOrder{Domain: domain})
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return ErrCallerGone // only the token was asked for
	}
	if err != nil && !isUnsupported(err) {
		return err
	}
	if err := waitForCaller(ctx); err != nil {
		return err
	}
	if reply.Token == nil {
		return n.orderByVersion(ctx, domainCommand(operator, domain, out), version)
	}
	reply, err = n.proposeOrder(ctx, domainOrder{
		Domain: domain, Token: reply.Token, Out: out, ChangeID: string(newClaimID()), Operator: operator,
	})
	switch {
	case err != nil:
		return err
	case reply.Overtaken:
		return errOvertaken
	}
	result, err := state.DecodeResult(reply.Result)
	if err != nil {
		return errors.Wrap(err, "decode the result of an order")
	}
	return orderError(result)
}

// waitForCaller returns ErrCallerGone if the caller of an order leaves within callerCheckWait.
func waitForCaller(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ErrCallerGone
	case <-time.After(callerCheckWait):
		return nil
	}
}

// orderError returns the refusal of an order, unless the failure domain has the wanted status already.
func orderError(result state.Result) error {
	if result.Err == nil || result.Err.Code == state.CodeUnchanged {
		return nil
	}
	return result.Err
}

// proposeOrder sends an order, or the request for its token, to the control leader.
func (n *Node) proposeOrder(ctx context.Context, o domainOrder) (reply domainOrderReply, err error) {
	data, err := n.groups.propose(ctx, proposal{Group: groupControl, Order: &o})
	if err != nil {
		return reply, err
	}
	return reply, errors.Wrap(json.Unmarshal(data, &reply), "decode the reply to an order")
}

// orderByVersion carries out an order through a leader of an earlier build, which issues no tokens. The version of the
// fleet state takes the place of the token: the state machine refuses the command after any other change of an operator,
// and it is then proposed on the newer version, unless the status of the failure domain was among the changes.
func (n *Node) orderByVersion(ctx context.Context, command state.Command, version uint64) error {
	for {
		command.BaseVersion = version
		result, err := n.groups.command(ctx, command)
		if err != nil {
			return err
		}
		if result.Err == nil || result.Err.Code != state.CodeConflict {
			return orderError(result)
		}
		changed := false
		if version, changed, err = n.waitForVersion(ctx, result.Version, version, command.SetDomain.Domain); err != nil {
			return err
		}
		if changed {
			return errOvertaken
		}
		command.ChangeID = string(newClaimID())
	}
}

// waitForVersion waits until this process has a version of the fleet state. It returns the version that it then has, and
// whether an operator changed the status of the failure domain after the version since.
func (n *Node) waitForVersion(ctx context.Context, wanted, since uint64, domain string) (version uint64, changed bool, err error) {
	for {
		n.viewState(func(s *state.State) { version, changed = s.Version(), s.DomainChangedSince(domain, since) })
		if version >= wanted {
			return version, changed, nil
		}
		select {
		case <-ctx.Done():
			return version, changed, ctx.Err()
		case <-time.After(stateWaitInterval):
		}
	}
}

// stateVersion returns the version of the fleet state that this process has.
func (n *Node) stateVersion() (version uint64) {
	n.viewState(func(s *state.State) { version = s.Version() })
	return version
}

// viewState calls f with the newest fleet state that this process has.
func (n *Node) viewState(f func(*state.State)) {
	if n.control == nil {
		n.copy.View(f)
		return
	}
	newestState{n.control.machine, n.copy}.View(f)
}
