package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/replica"
	"rosemaryline.dev/rpc"
)

const (
	methodPropose = "group.propose"
	// proposeRetryInterval is the pause between two attempts to reach a leader.
	proposeRetryInterval = 50 * time.Millisecond
	// proposeTryTimeout limits one attempt at one member.
	proposeTryTimeout = 2 * time.Second
)

// proposal asks the leader of a group to commit a command or a change of the group's members, or to read the document.
type proposal struct {
	Group  groupName          `json:"group"`
	Data   []byte             `json:"data,omitempty"`
	Change *raft.MemberChange `json:"change,omitempty"`
	// Replace asks the leader to replace the configuration document.
	Replace *DocumentChange `json:"replace,omitempty"`
	// Read asks the leader for the document in force. A quorum confirms the read.
	Read bool `json:"read,omitempty"`
	// Order asks the leader to number or to carry out an order about a failure domain. It is sent with methodOrder.
	Order *domainOrder `json:"order,omitempty"`
	// Rollout asks the leader for a rollout, or to begin one. It is sent with methodRollout.
	Rollout *rolloutRequest `json:"rollout,omitempty"`
}

// method returns the method that a proposal is sent with. Orders and requests about rollouts have methods of their own,
// because a process of an earlier build would ignore the fields.
func (p *proposal) method() string {
	switch {
	case p.Order != nil:
		return methodOrder
	case p.Rollout != nil:
		return methodRollout
	}
	return methodPropose
}

// proposalResult is the result of a proposal, as the state machine encoded it.
type proposalResult struct {
	Data []byte `json:"data"`
}

// errNoLeader reports that no leader of a group could be reached.
var errNoLeader = errors.New("no leader reached")

// groupClient proposes commands to the leaders of the groups. Every failure except the rejection of an invalid proposal
// is retried until the context ends: commands carry ids, so a command that is sent again is not applied twice.
type groupClient struct {
	node *Node

	mu      sync.Mutex // guards leaders
	leaders map[groupName]string
}

// proposeRecord implements recordProposer.
func (g *groupClient) proposeRecord(ctx context.Context, data []byte) ([]byte, error) {
	return g.propose(ctx, proposal{Group: groupRecords, Data: data})
}

// command proposes a command to the control group.
func (g *groupClient) command(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	result, err := g.propose(ctx, proposal{Group: groupControl, Data: data})
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(result)
}

// changeMember changes the members of a group. A change that does not apply, for example because it was made before, is
// an error with code rpc.CodeInvalid.
func (g *groupClient) changeMember(ctx context.Context, group groupName, change raft.MemberChange) error {
	_, err := g.propose(ctx, proposal{Group: group, Change: &change})
	return err
}

// propose sends a proposal to the group's leader until it gets a result or ctx ends. It returns an error with
// rpc.CodeNoMethod if no leader took it and some member is of an earlier build that does not have the method.
func (g *groupClient) propose(ctx context.Context, p proposal) ([]byte, error) {
	lastErr := error(errNoLeader)
	for {
		result, err := g.tryMembers(ctx, p)
		if err == nil || isInvalid(err) || isUnsupported(err) {
			return result, err
		}
		if !errors.Is(err, errNoLeader) {
			lastErr = err
		}
		select {
		case <-time.After(proposeRetryInterval):
		case <-ctx.Done():
			return nil, errors.Wrapf(lastErr, "propose to group %s", p.Group)
		}
	}
}

// tryMembers tries the member that replied last and then the other members. If an error names the leader, the leader is
// tried next.
func (g *groupClient) tryMembers(ctx context.Context, p proposal) ([]byte, error) {
	tried := map[string]bool{}
	queue := g.candidates(p.Group, g.leader(p.Group))
	lastErr := error(errNoLeader)
	var unsupported error
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		result, err := g.tryMember(ctx, address, p)
		if err == nil || isInvalid(err) {
			g.setLeader(p.Group, address)
			return result, err
		}
		lastErr = err
		if isUnsupported(err) {
			unsupported = err
		}
		if hint := leaderHint(err); hint != "" {
			queue = append([]string{hint}, queue...)
		}
	}
	if unsupported != nil {
		return nil, unsupported
	}
	return nil, lastErr
}

// leader returns the address of the member that replied last, or "".
func (g *groupClient) leader(group groupName) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaders[group]
}

func (g *groupClient) setLeader(group groupName, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaders[group] = address
}

// candidates returns the addresses to try: hint first if it is set, then all other members of the group.
func (g *groupClient) candidates(group groupName, hint string) []string {
	var list []string
	if hint != "" {
		list = append(list, hint)
	}
	for _, m := range g.node.gossip.list() {
		if m.meta.groupMemberID(group) != 0 && m.Address != hint {
			list = append(list, m.Address)
		}
	}
	return list
}

func (g *groupClient) tryMember(ctx context.Context, address string, p proposal) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTryTimeout)
	defer cancel()
	if g.node.control != nil && address == g.node.opts.PeerAddress {
		return g.node.control.propose(ctx, p)
	}
	var result proposalResult
	err := g.node.client.Call(ctx, address, p.method(), p, &result)
	return result.Data, err
}

func isInvalid(err error) bool { return hasCode(err, rpc.CodeInvalid) }

// isUnsupported reports whether a process refused a call because its build does not have the method.
func isUnsupported(err error) bool { return hasCode(err, rpc.CodeNoMethod) }

func hasCode(err error, code rpc.Code) bool {
	var remote *rpc.RemoteError
	return errors.As(err, &remote) && remote.Code == code
}

// leaderHint returns the leader's address if the error names it, else "".
func leaderHint(err error) string {
	var remote *rpc.RemoteError
	if errors.As(err, &remote) && remote.Code == rpc.CodeNotLeader {
		return remote.Data
	}
	return ""
}

// propose commits a proposal if this process leads the group. Failures of the group are returned as *rpc.RemoteError.
func (c *controlRole) propose(ctx context.Context, p proposal) ([]byte, error) {
	group, ok := c.groups[p.Group]
	if !ok {
		return nil, &rpc.RemoteError{Code: rpc.CodeInvalid, Message: "no group " + string(p.Group)}
	}
	if p.Change != nil {
		return nil, c.proposeError(p.Group, group.ChangeMembership(ctx, *p.Change))
	}
	if p.Replace != nil {
		return c.replaceDocument(ctx, *p.Replace)
	}
	if p.Read {
		return c.readDocument(ctx)
	}
	if p.Order != nil {
		return c.order(ctx, *p.Order)
	}
	if p.Rollout != nil {
		return c.rollout(ctx, *p.Rollout)
	}
	proposeData := group.Propose
	if p.Group == groupControl {
		proposeData = c.proposeCommand
	}
	result, err := proposeData(ctx, p.Data)
	if err != nil {
		return nil, c.proposeError(p.Group, err)
	}
	return result, nil
}

func (c *controlRole) proposeError(group groupName, err error) error {
	var notLeader *raft.NotLeaderError
	var unknown *replica.UnknownError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrBadChange), errors.Is(err, replica.ErrTooLarge):
		return &rpc.RemoteError{Code: rpc.CodeInvalid, Message: err.Error()}
	case errors.As(err, &notLeader):
		address, _ := c.node.memberAddress(group, notLeader.Leader)
		return &rpc.RemoteError{Code: rpc.CodeNotLeader, Message: err.Error(), Data: address}
	case errors.As(err, &unknown):
		return &rpc.RemoteError{Code: rpc.CodeOutcomeUnknown, Message: err.Error()}
	default:
		return &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
}

func (c *controlRole) servePropose(ctx context.Context, _ string, p proposal) (proposalResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTryTimeout)
	defer cancel()
	result, err := c.propose(ctx, p)
	return proposalResult{Data: result}, err
}
