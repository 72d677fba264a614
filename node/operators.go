package node

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"rosemaryline.dev/control"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/raft"
	"rosemaryline.dev/rpc"
)

// registerOperators adds the operators' API to the admin listener of a process with the control role.
func (n *Node) registerOperators(router *bunrouter.Router) {
	if n.control == nil {
		return
	}
	api := control.NewAPI(control.Options{
		Fleet:         n.control,
		Confirmations: n.control.heartbeats.confirmations,
		Capacity:      n.control,
		Members:       n.control,
		Explainer:     n.control,
		Group:         n.control,
		BootstrapHash: n.opts.BootstrapCredential,
		Logger:        n.opts.Log,
	})
	handler := bunrouter.HTTPHandler(api)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		router.Handle(method, "/v1/*path", handler)
	}
}

// View implements control.Fleet.
func (c *controlRole) View(f func(s *state.State)) { c.machine.View(f) }

// Propose implements control.Fleet.
func (c *controlRole) Propose(ctx context.Context, command state.Command) (state.Result, error) {
	data, err := command.Encode()
	if err != nil {
		return state.Result{}, err
	}
	result, err := c.propose(ctx, proposal{Group: groupControl, Data: data})
	if err != nil {
		return state.Result{}, c.operatorError(err)
	}
	return state.DecodeResult(result)
}

// Barrier implements control.Fleet.
func (c *controlRole) Barrier(ctx context.Context) error {
	err := c.groups[groupControl].Barrier(ctx)
	if err == nil {
		return nil
	}
	return c.operatorError(c.proposeError(groupControl, err))
}

// operatorError translates an error between processes to one of the operators' API.
func (c *controlRole) operatorError(err error) error {
	var remote *rpc.RemoteError
	if !errors.As(err, &remote) {
		return err
	}
	switch remote.Code {
	case rpc.CodeNotLeader:
		return &control.NotLeaderError{Admin: c.leaderAdmin()}
	case rpc.CodeOutcomeUnknown:
		return &control.UnknownError{Err: err}
	default:
		return err
	}
}

// leaderAdmin returns the admin address of the control leader, or "".
func (c *controlRole) leaderAdmin() string {
	leader := c.groups[groupControl].Status().Leader
	for _, m := range c.node.gossip.list() {
		if leader != 0 && m.meta.Control == leader {
			return m.meta.Admin
		}
	}
	return ""
}

// Capacity implements control.CapacityReporter.
func (c *controlRole) Capacity() []control.ServiceCapacity {
	sums := map[[2]string]control.ServiceCapacity{}
	for _, m := range c.node.gossip.list() {
		for _, r := range m.meta.Rows {
			key := [2]string{r.Service, m.Domain}
			sum := sums[key]
			sum.Service, sum.Domain = r.Service, m.Domain
			sum.Announced += float64(r.Slots)
			sum.Effective += float64(r.Effective)
			sum.Load += float64(r.Load)
			sums[key] = sum
		}
	}
	var list []control.ServiceCapacity
	for _, sum := range sums {
		list = append(list, sum)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Service != list[j].Service {
			return list[i].Service < list[j].Service
		}
		return list[i].Domain < list[j].Domain
	})
	return list
}

// Members implements control.MemberReporter.
func (c *controlRole) Members() []control.MemberInfo {
	var list []control.MemberInfo
	for _, m := range c.node.gossip.list() {
		list = append(list, control.MemberInfo{
			Name: m.Name, Address: m.Address, Domain: m.Domain,
			Incarnation: m.Incarnation, Status: m.Status.String(),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Group implements control.GroupAdmin.
func (c *controlRole) Group() control.GroupStatus {
	status := c.groups[groupControl].Status()
	group := control.GroupStatus{Leader: formatID(status.Leader), Term: status.Term}
	for _, id := range status.Membership.Voters {
		group.Members = append(group.Members, c.groupMember(id, false, status))
	}
	for _, id := range status.Membership.Learners {
		group.Members = append(group.Members, c.groupMember(id, true, status))
	}
	return group
}

func (c *controlRole) groupMember(id raft.ID, learner bool, status raft.Status) control.GroupMember {
	member := control.GroupMember{ID: formatID(id), Learner: learner, Match: status.Match[id]}
	if m, ok := c.memberProcess(groupControl, id); ok {
		member.VM = m.Name
		member.Address = m.Address
	}
	return member
}

// memberProcess returns the live process that has a member id in a group.
func (c *controlRole) memberProcess(group groupName, id raft.ID) (peerInfo, bool) {
	for _, m := range c.node.gossip.list() {
		if m.meta.groupMemberID(group) == id {
			return m, true
		}
	}
	return peerInfo{}, false
}

// ChangeGroup implements control.GroupAdmin. It changes the control group and the record group together. The ids in
// change are those of the control group.
func (c *controlRole) ChangeGroup(ctx context.Context, change control.GroupChange) error {
	id, err := parseID(change.ID)
	if err != nil {
		return err
	}
	if change.Action == control.GroupRemove {
		return c.removeMember(ctx, id)
	}
	m, ok := c.memberProcess(groupControl, id)
	if !ok {
		return errors.Errorf("no process of the fleet has member id %s", change.ID)
	}
	if err := c.node.AddControlMember(ctx, m.Name); err != nil {
		return err
	}
	if change.Action != control.GroupReplace {
		return nil
	}
	oldID, err := parseID(change.OldID)
	if err != nil {
		return err
	}
	return c.removeMember(ctx, oldID)
}

// removeMember removes a member from the control group, and the same process's member from the record group. If the
// process is gone, its member of the record group is the only one without a live process.
func (c *controlRole) removeMember(ctx context.Context, id raft.ID) error {
	records, err := c.recordsMember(id)
	if err != nil {
		return err
	}
	return c.node.RemoveControlMember(ctx, id, records)
}

func (c *controlRole) recordsMember(id raft.ID) (raft.ID, error) {
	if m, ok := c.memberProcess(groupControl, id); ok {
		return m.meta.Records, nil
	}
	var orphans []raft.ID
	for _, candidate := range c.groups[groupRecords].Status().Membership.Members() {
		if _, held := c.memberProcess(groupRecords, candidate); !held {
			orphans = append(orphans, candidate)
		}
	}
	if len(orphans) != 1 {
		return 0, errors.Errorf("%d members of the record group belong to no process; bring the other lost VMs back or remove them first", len(orphans))
	}
	return orphans[0], nil
}

func formatID(id raft.ID) string { return fmt.Sprintf("%016x", uint64(id)) }

func parseID(text string) (raft.ID, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || id == 0 {
		return 0, errors.Errorf("member id %q is not 16 hex digits", text)
	}
	return raft.ID(id), nil
}
