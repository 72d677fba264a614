package raft

import "fmt"

// String returns the ID as 16 hexadecimal digits.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// String returns the role's name in lower case.
func (r MemberRole) String() string {
	return enumName(r, map[MemberRole]string{
		Follower: "follower", PreCandidate: "pre-candidate", Candidate: "candidate", Leader: "leader", Learner: "learner",
	})
}

// String returns the kind's name in lower case.
func (k ChangeKind) String() string {
	return enumName(k, map[ChangeKind]string{
		AddLearner: "add learner", PromoteLearner: "promote learner", RemoveMember: "remove member",
	})
}

// String returns the kind's name in lower case.
func (k MessageKind) String() string {
	return enumName(k, map[MessageKind]string{
		MessagePreVote: "pre-vote", MessagePreVoteReply: "pre-vote reply",
		MessageVote: "vote", MessageVoteReply: "vote reply",
		MessageAppend: "append", MessageAppendReply: "append reply",
		MessageHeartbeat: "heartbeat", MessageHeartbeatReply: "heartbeat reply",
		MessageSnapshot: "snapshot", MessageTimeoutNow: "timeout now",
	})
}

// enumName returns the name of an enumeration value, or "unknown" and its number if it has no name.
func enumName[K ~uint8](value K, names map[K]string) string {
	if s, ok := names[value]; ok {
		return s
	}
	return fmt.Sprintf("unknown %d", uint8(value))
}
