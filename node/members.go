package node

import (
	"context"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
)

// AddControlMember makes a process with an empty data folder a voter of both groups. It returns when the process has
// caught up with their logs. After a failure it can be called again.
func (n *Node) AddControlMember(ctx context.Context, name string) error {
	for _, group := range []groupName{groupControl, groupRecords} {
		id, err := n.memberID(name, group)
		if err != nil {
			return err
		}
		for _, kind := range []raft.ChangeKind{raft.AddLearner, raft.PromoteLearner} {
			err := n.groups.changeMember(ctx, group, raft.MemberChange{Kind: kind, ID: id})
			if err != nil && !isInvalid(err) {
				return errors.Wrapf(err, "add %s to group %s", name, group)
			}
		}
		n.opts.Log.Info().Str("member", name).Str("group", string(group)).Msg("control: added member to group.")
	}
	return nil
}

// RemoveControlMember removes the given members from the control group and the record group, for example after their VM
// was lost. After a failure it can be called again.
func (n *Node) RemoveControlMember(ctx context.Context, control, records raft.ID) error {
	for group, id := range map[groupName]raft.ID{groupControl: control, groupRecords: records} {
		err := n.groups.changeMember(ctx, group, raft.MemberChange{Kind: raft.RemoveMember, ID: id})
		if err != nil && !isInvalid(err) {
			return errors.Wrapf(err, "remove member %016x from group %s", uint64(id), group)
		}
	}
	return nil
}

func (n *Node) memberID(name string, group groupName) (raft.ID, error) {
	m, ok := n.gossip.member(name)
	if !ok {
		return 0, errors.Errorf("process %q is not a member of the fleet", name)
	}
	id := m.meta.groupMemberID(group)
	if id == 0 {
		return 0, errors.Errorf("process %q has no data folder", name)
	}
	return id, nil
}
