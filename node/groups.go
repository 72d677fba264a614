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
	// proposeRetry is the pause between two tries to reach a leader.
	proposeRetry = 50 * time.Millisecond
	// proposeTry bounds one try.
	proposeTry = 2 * time.Second
)

// proposal asks the leader of a group to commit a command or a change of the group's members.
type proposal struct {
	Group  groupName          `json:"group"`
	Data   []byte             `json:"data,omitempty"`
	Change *raft.MemberChange `json:"change,omitempty"`
	// Replace asks the leader to replace the configuration document.
	Replace *DocumentChange `json:"replace,omitempty"`
	// Read asks the leader for the document in force, confirmed by a quorum.
	Read bool `json:"read,omitempty"`
}

// proposalResult is the state machine's answer.
type proposalResult struct {
	Data []byte `json:"data"`
}

// errNoLeader reports that no leader of a group could be reached.
var errNoLeader = errors.New("no leader reached")

// groupClient proposes commands to the leaders of the groups. Commands carry ids that make a resend harmless, so every
// failure is answered by another try until the context ends.
type groupClient struct {
	node *Node

	mu      sync.Mutex // guards leaders
	leaders map[groupName]string
}

// proposeRecord implements proposer.
func (g *groupClient) proposeRecord(ctx context.Context, data []byte) ([]byte, error) {
	return g.propose(ctx, proposal{Group: groupRecords, Data: data})
}

// command proposes a command to the control group.
func (g *groupClient) command(ctx context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	answer, err := g.propose(ctx, proposal{Group: groupControl, Data: data})
	if err != nil {
		return state.Result{}, err
	}
	return state.DecodeResult(answer)
}

// changeMember changes the members of a group. A change that does not fit, for example because it was made already, is
// an error of code rpc.CodeInvalid.
func (g *groupClient) changeMember(ctx context.Context, group groupName, change raft.MemberChange) error {
	_, err := g.propose(ctx, proposal{Group: group, Change: &change})
	return err
}

// propose sends a proposal to the group's leader until it is answered or ctx ends.
func (g *groupClient) propose(ctx context.Context, p proposal) ([]byte, error) {
	last := error(errNoLeader)
	for {
		answer, err := g.round(ctx, p)
		if err == nil || isInvalid(err) {
			return answer, err
		}
		if !errors.Is(err, errNoLeader) {
			last = err
		}
		select {
		case <-time.After(proposeRetry):
		case <-ctx.Done():
			return nil, errors.Wrapf(last, "propose to group %s", p.Group)
		}
	}
}

// round asks the leader that answered last, and then the other members. A hint at the leader is followed at once.
func (g *groupClient) round(ctx context.Context, p proposal) ([]byte, error) {
	tried := map[string]bool{}
	queue := g.candidates(p.Group, g.leader(p.Group))
	last := error(errNoLeader)
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		answer, err := g.try(ctx, address, p)
		if err == nil || isInvalid(err) {
			g.setLeader(p.Group, address)
			return answer, err
		}
		last = err
		if hint := leaderHint(err); hint != "" {
			queue = append([]string{hint}, queue...)
		}
	}
	return nil, last
}

// leader returns the address of the member that answered last, or "".
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

// candidates returns the addresses to try: the hinted leader first, then all members of the group.
func (g *groupClient) candidates(group groupName, hint string) []string {
	var list []string
	if hint != "" {
		list = append(list, hint)
	}
	for _, m := range g.node.gossip.list() {
		if m.meta.id(group) != 0 && m.Address != hint {
			list = append(list, m.Address)
		}
	}
	return list
}

func (g *groupClient) try(ctx context.Context, address string, p proposal) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTry)
	defer cancel()
	if g.node.control != nil && address == g.node.opts.PeerAddress {
		return g.node.control.propose(ctx, p)
	}
	var result proposalResult
	err := g.node.client.Call(ctx, address, methodPropose, p, &result)
	return result.Data, err
}

func isInvalid(err error) bool {
	var remote *rpc.RemoteError
	return errors.As(err, &remote) && remote.Code == rpc.CodeInvalid
}

// leaderHint returns the leader's address where an error names it.
func leaderHint(err error) string {
	var remote *rpc.RemoteError
	if errors.As(err, &remote) && remote.Code == rpc.CodeNotLeader {
		return remote.Data
	}
	return ""
}

// propose commits a command where this process leads the group.
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
	answer, err := group.Propose(ctx, p.Data)
	if err != nil {
		return nil, c.proposeError(p.Group, err)
	}
	return answer, nil
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
	ctx, cancel := context.WithTimeout(ctx, proposeTry)
	defer cancel()
	answer, err := c.propose(ctx, p)
	return proposalResult{Data: answer}, err
}
