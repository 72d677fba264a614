package node

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/rpc"
)

const (
	methodRaft = "raft.message"
	// raftQueueLength limits the messages that wait for one member. Further messages are dropped; raft sends them
	// again.
	raftQueueLength = 256
	// raftSendTimeout limits sending one message.
	raftSendTimeout = time.Second
)

// groupName names a replicated log.
type groupName string

// The replicated logs of the control VMs: the fleet state, and the at-most-once records of requests with an
// Idempotency-Key.
const (
	groupControl groupName = "control"
	groupRecords groupName = "records"
)

// raftEnvelope carries a message of one group and the address at which its sender receives messages, so that a reply
// does not depend on gossip.
type raftEnvelope struct {
	Group   groupName    `json:"group"`
	From    string       `json:"from"`
	Message raft.Message `json:"message"`
}

// raftTransport sends the messages of one group. Each member has its own queue, so that an unreachable one does not
// delay the others.
type raftTransport struct {
	group   groupName
	self    string // peer address of this process
	client  *rpc.Client
	deps    *dependencies
	resolve func(group groupName, id raft.ID) (address string, ok bool)
	tomb    *tomb.Tomb

	mu              sync.Mutex // guards the fields below
	queues          map[raft.ID]chan raft.Message
	senderAddresses map[raft.ID]string // the address in each member's last message
	// snapshotsInFlight contains the members to which a large snapshot is being sent.
	snapshotsInFlight map[raft.ID]bool
}

func newRaftTransport(group groupName, self string, client *rpc.Client, resolve func(groupName, raft.ID) (string, bool), t *tomb.Tomb) *raftTransport {
	return &raftTransport{
		group: group, self: self, client: client, resolve: resolve, tomb: t,
		queues: map[raft.ID]chan raft.Message{}, senderAddresses: map[raft.ID]string{}, snapshotsInFlight: map[raft.ID]bool{},
	}
}

// recordSender records the address at which a member receives messages, as given in a message from it.
func (t *raftTransport) recordSender(id raft.ID, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senderAddresses[id] = address
}

// address returns the address at which a member receives messages: the one known from gossip, else the one in its last
// message.
func (t *raftTransport) address(id raft.ID) (string, bool) {
	if address, ok := t.resolve(t.group, id); ok {
		return address, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	address, ok := t.senderAddresses[id]
	return address, ok
}

// Send implements replica.Transport.
func (t *raftTransport) Send(to raft.ID, m raft.Message) {
	select {
	case t.queue(to) <- m:
	default:
	}
}

func (t *raftTransport) queue(to raft.ID) chan raft.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[to]
	if !ok {
		q = make(chan raft.Message, raftQueueLength)
		t.queues[to] = q
		// The group may still send while the process stops; these messages are dropped.
		spawn(t.tomb, func() { t.sendLoop(to, q) })
	}
	return q
}

func (t *raftTransport) sendLoop(to raft.ID, q chan raft.Message) {
	for {
		select {
		case m := <-q:
			t.send(to, m)
		case <-t.tomb.Dying():
			return
		}
	}
}

func (t *raftTransport) send(to raft.ID, m raft.Message) {
	address, ok := t.address(to)
	if !ok {
		return
	}
	if parts := splitSnapshot(t.group, t.self, m); parts != nil {
		t.startSnapshot(to, address, parts)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), raftSendTimeout)
	defer cancel()
	// Delivery is best effort; raft sends lost messages again.
	err := t.client.Notify(ctx, address, methodRaft, raftEnvelope{Group: t.group, From: t.self, Message: m})
	t.deps.recordResult(roleGroupMember, address, err)
}
