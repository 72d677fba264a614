package control

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

type recordedConfirmations chan ProcessConfirmation

func (r recordedConfirmations) Confirm(c ProcessConfirmation) { r <- c }

// serveState serves a StateServer on a loopback address and returns that address.
func serveState(t *testing.T, stateServer *StateServer) string {
	t.Helper()
	server := rpc.NewServer()
	stateServer.Register(server)
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		listener.Close()
	})
	return strings.TrimPrefix(listener.URL, "http://")
}

func newFollower(t *testing.T, name string) *Follower {
	t.Helper()
	client := rpc.NewClient(nil)
	t.Cleanup(client.Close)
	return &Follower{Copy: NewCopy(), Caller: client, Process: name, Incarnation: 1, Wait: time.Minute}
}

func (f *Follower) mustPoll(t *testing.T, address string, heartbeat uint64, want uint64) {
	t.Helper()
	_, err := f.Poll(context.Background(), address, heartbeat)
	assert.NilError(t, err)
	assert.Equal(t, f.Copy.Version(), want)
}

func join(i int) state.Command {
	return state.Command{ChangeID: fmt.Sprint("join", i), Join: &state.Process{Name: fmt.Sprint("vm", i), Address: "h:1", Domain: "d1"}}
}

// Guards against a new version or heartbeat that is delayed until the end of a long poll, a version that decreases
// after a poll of a peer that is behind, and lost confirmations.
func TestFollowerGetsDeltas(t *testing.T) {
	fleet := newMemFleet()
	confirmed := make(recordedConfirmations, 100)
	stateServer := NewStateServer(fleet, confirmed)
	address := serveState(t, stateServer)
	mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	follower := newFollower(t, "a")
	follower.mustPoll(t, address, 0, 1)
	assert.Equal(t, <-confirmed, ProcessConfirmation{Process: "a", Incarnation: 1, Version: 0})

	behind := newFollower(t, "b")
	behind.mustPoll(t, address, 0, 1)
	<-confirmed
	done := make(chan error)
	go func() {
		_, err := follower.Poll(context.Background(), address, 0)
		done <- err
	}()
	// The confirmation shows that the poll has begun. It waits up to a minute for a new version.
	assert.Equal(t, <-confirmed, ProcessConfirmation{Process: "a", Incarnation: 1, Version: 1})
	mustPropose(t, fleet, join(1))
	stateServer.NotifyChange()
	assert.NilError(t, <-done)
	assert.Equal(t, follower.Copy.Version(), uint64(2))

	// A heartbeat ends the wait without deltas.
	stateServer.SetHeartbeat(LeaderHeartbeat{Number: 7, Version: 2}, 0)
	result, err := follower.Poll(context.Background(), address, 6)
	assert.NilError(t, err)
	assert.Equal(t, result.Heartbeat.Number, uint64(7))
	assert.Equal(t, result.Heartbeat.Version, uint64(2))

	// Without control, a peer that is behind changes nothing, and a peer that is ahead supplies the missing commands.
	follower.Wait, behind.Wait = time.Millisecond, time.Millisecond
	peerBehind := serveState(t, NewStateServer(behind.Copy, nil))
	peerAhead := serveState(t, NewStateServer(follower.Copy, nil))
	follower.mustPoll(t, peerBehind, 7, 2)
	behind.mustPoll(t, peerAhead, 7, 2)
	restarted := newFollower(t, "c")
	restarted.mustPoll(t, peerAhead, 0, 2)
}

// Guards against a follower that stays behind after the deltas that it needs were compacted away, and against a
// snapshot that changes while its parts are fetched.
func TestFollowerGetsSnapshotInParts(t *testing.T) {
	fleet := newMemFleet()
	stateServer := NewStateServer(fleet, nil)
	address := serveState(t, stateServer)
	mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	for i := range 5000 {
		mustPropose(t, fleet, join(i))
	}
	follower := newFollower(t, "a")
	follower.mustPoll(t, address, 0, 5001)

	first, err := stateServer.Snapshot(SnapshotRequest{})
	assert.NilError(t, err)
	assert.Assert(t, first.Total > len(first.Data), "the snapshot has one part")
	mustPropose(t, fleet, join(6000))
	second, err := stateServer.Snapshot(SnapshotRequest{ID: first.ID, Offset: len(first.Data)})
	assert.NilError(t, err)
	assert.Equal(t, second.Total, first.Total)
	follower.mustPoll(t, address, 0, 5002)
	fleet.View(func(s *state.State) {
		want, err := s.SharedSnapshot()
		assert.NilError(t, err)
		follower.Copy.View(func(copied *state.State) {
			got, err := copied.SharedSnapshot()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
		})
	})
}

// Guards against a copy that stays behind forever after it refused a command that the fleet accepted, and against one
// that applies deltas although its history differs at the same version.
func TestDivergedCopyIsReplaced(t *testing.T) {
	refuses, differs := testDocument(), testDocument()
	refuses.Domains = map[string]config.Domain{"d9": {Region: "r"}}
	differs.Teams["red"] = config.Team{Rate: 99, Burst: 1}
	for desc, document := range map[string]*config.Document{"refuses the command": refuses, "has another history": differs} {
		t.Run(desc, func(t *testing.T) {
			fleet := newMemFleet()
			address := serveState(t, NewStateServer(fleet, nil))
			mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
			mustPropose(t, fleet, join(1))
			other := newMemFleet()
			mustPropose(t, other, state.Command{ChangeID: "other", Apply: applyCommand(config.Diff(&config.Document{}, document))})
			follower := newFollower(t, "a")
			assert.Assert(t, follower.Copy.Replace(other.state))
			follower.mustPoll(t, address, 0, 2)
			follower.Copy.View(func(s *state.State) {
				assert.Equal(t, s.Chain(), fleet.state.Chain())
				assert.Equal(t, s.Config().Hash(), fleet.state.Config().Hash())
			})
		})
	}
}

func TestConfirmationsWithRelay(t *testing.T) {
	now := time.Duration(0)
	leader := NewConfirmations(func() time.Duration { return now })
	fleet := newMemFleet()
	mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	mustPropose(t, fleet, join(1))
	mustPropose(t, fleet, join(2))
	fleet.View(leader.SetRoster)
	server := rpc.NewServer()
	RegisterConfirmations(server, leader)
	listener := httptest.NewServer(server)
	defer listener.Close()
	defer server.Close()
	client := rpc.NewClient(nil)
	defer client.Close()

	relay := NewRelay()
	relay.Confirm(ProcessConfirmation{Process: "vm1", Incarnation: 1, Version: 3})
	relay.Confirm(ProcessConfirmation{Process: "vm1", Incarnation: 1, Version: 2})
	relay.Confirm(ProcessConfirmation{Process: "vm2", Incarnation: 1, Version: 3})
	assert.NilError(t, relay.Flush(context.Background(), client, strings.TrimPrefix(listener.URL, "http://")))
	assert.Equal(t, leader.InForce(), uint64(3))
	version, pending := leader.PendingRosterChange()
	assert.Assert(t, pending)
	mustPropose(t, fleet, state.Command{ChangeID: "roster", RosterInForce: &state.RosterInForce{Version: version}})
	fleet.View(leader.SetRoster)
	_, pending = leader.PendingRosterChange()
	assert.Assert(t, !pending)
}

// Guards against a follower that stops, or gets no state, while no control VM can be reached.
func TestRunFallsBackToPeers(t *testing.T) {
	fleet := newMemFleet()
	mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	peerServer := NewStateServer(fleet, nil)
	peerServer.SetHeartbeat(LeaderHeartbeat{Number: 1, Version: 1}, time.Hour) // a process with state has had one
	peer := serveState(t, peerServer)
	follower := newFollower(t, "a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events := &observer{onResult: func(PollResult) { cancel() }}
	targets := func() (control, peers []string) { return []string{"127.0.0.1:1"}, []string{peer} }
	follower.Run(ctx, targets, events)
	assert.Equal(t, follower.Copy.Version(), uint64(1))
	assert.Equal(t, events.failures, 1)
}

// Guards against a poll of each follower for each of many versions that follow each other in milliseconds, as while
// hundreds of processes join: the messages would grow with the product of the two.
func TestVersionsInQuickSuccessionShareAPoll(t *testing.T) {
	const versions = 100
	fleet := newMemFleet()
	stateServer := NewStateServer(fleet, nil)
	address := serveState(t, stateServer)
	mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	follower := newFollower(t, "a")
	follower.mustPoll(t, address, 0, 1)
	go func() {
		for i := range versions {
			mustPropose(t, fleet, join(i))
			stateServer.NotifyChange()
			time.Sleep(time.Millisecond)
		}
	}()
	polls := 0
	for follower.Copy.Version() < versions+1 {
		_, err := follower.Poll(t.Context(), address, 0)
		assert.NilError(t, err)
		polls++
	}
	assert.Assert(t, polls <= versions/4, "%d polls for %d versions", polls, versions)
}

// Guards against a single version that is delayed, and against an update that is held back after the wait of the request.
func TestPublicationDelaysNoSingleVersion(t *testing.T) {
	fleet := newMemFleet()
	stateServer := NewStateServer(fleet, nil)
	mustPropose(t, fleet, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	stateServer.NotifyChange()
	fetch := func(wait time.Duration) FetchReply {
		reply, err := stateServer.Fetch(t.Context(), FetchRequest{Version: 1, Chain: chainAt(fleet, 1), WaitMillis: wait.Milliseconds()})
		assert.NilError(t, err)
		return reply
	}
	assert.Equal(t, len(fetch(2*publishInterval).Deltas), 0) // the publication has ended without another version
	mustPropose(t, fleet, join(1))
	assert.Equal(t, len(fetch(time.Minute).Deltas), 1) // the next change is returned at once
	stateServer.NotifyChange()
	time.Sleep(publishInterval / 4)
	stateServer.NotifyChange() // scheduled, because the last publication was a moment ago
	assert.Equal(t, len(fetch(time.Millisecond).Deltas), 1)
}

func chainAt(fleet *memFleet, version uint64) (chain uint64) {
	fleet.View(func(s *state.State) { chain, _ = s.ChainAt(version) })
	return chain
}
