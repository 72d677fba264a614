package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

func init() { flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTick = 5 * time.Millisecond

var errKilled = errors.New("injected kill")

// killFS uses real files until it is killed. After that a write stores only the first half of its data, and writes,
// syncs and renames fail.
type killFS struct {
	storage.OS
	killed atomic.Bool
	syncs  atomic.Int64
	writes atomic.Int64
	// hold blocks writes while a test has it locked.
	hold sync.RWMutex
}

func (f *killFS) Create(name string) (storage.File, error) {
	file, err := f.OS.Create(name)
	return killFile{file, f}, err
}

func (f *killFS) Append(name string, size int64) (storage.File, error) {
	file, err := f.OS.Append(name, size)
	return killFile{file, f}, err
}

func (f *killFS) Rename(oldName, newName string) error {
	if f.killed.Load() {
		return errKilled
	}
	return f.OS.Rename(oldName, newName)
}

type killFile struct {
	storage.File
	fs *killFS
}

func (f killFile) Write(p []byte) (int, error) {
	f.fs.writes.Add(1)
	f.fs.hold.RLock()
	defer f.fs.hold.RUnlock()
	if f.fs.killed.Load() {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, errKilled
	}
	return f.File.Write(p)
}

func (f killFile) Sync() error {
	f.fs.syncs.Add(1)
	if f.fs.killed.Load() {
		return errKilled
	}
	return f.File.Sync()
}

// listMachine is a state machine whose state is the list of all commands, encoded as a JSON array. The result of a
// command is the command itself.
type listMachine struct {
	mu   sync.Mutex
	list []string
}

func (m *listMachine) Apply(_ uint64, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, string(data))
	return data
}

func (m *listMachine) Snapshot() ([]byte, error) { return json.Marshal(m.copy()) }

func (m *listMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
	return json.Unmarshal(data, &m.list)
}

func (m *listMachine) copy() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string{}, m.list...)
}

// cluster is a group whose members communicate over an in-memory network.
type cluster struct {
	t       testing.TB
	dir     string
	members []*member

	mu     sync.Mutex // guards groups and cut
	groups map[raft.ID]*Group
	cut    map[[2]raft.ID]bool

	calls           atomic.Int64
	added           int // members since the start
	settles         int // calls of waitUntilApplied
	started         uint64
	snapshotEntries uint64
	tick            time.Duration
	// newStorage returns the file system of a new member; nil for real files.
	newStorage func() storage.FS
}

type member struct {
	*cluster
	id      raft.ID
	dir     string
	fs      *killFS
	storage storage.FS // replaces fs unless it is nil
	machine *listMachine
	group   *Group
}

// newCluster returns a cluster that takes a snapshot every 20 entries, so that tests include snapshots.
func newCluster(t testing.TB, size int) *cluster { return newClusterOf(t, size, 20, testTick) }

func newClusterOf(t testing.TB, size int, snapshotEntries uint64, tick time.Duration) *cluster {
	return newClusterWith(t, size, snapshotEntries, tick, nil)
}

func newClusterWith(t testing.TB, size int, snapshotEntries uint64, tick time.Duration, newStorage func() storage.FS) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), groups: map[raft.ID]*Group{}, cut: map[[2]raft.ID]bool{}}
	c.snapshotEntries, c.tick, c.newStorage = snapshotEntries, tick, newStorage
	for range size {
		c.addMember()
	}
	var ids []raft.ID
	for _, m := range c.members {
		ids = append(ids, m.id)
	}
	for _, m := range c.members {
		s, r := m.open()
		_, err := Initialise(s, r, ids, raft.Snapshot{})
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
		m.start()
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			m.kill()
		}
	})
	return c
}

// addMember adds a member with a new data folder and does not start it.
func (c *cluster) addMember() *member {
	m := &member{cluster: c, dir: filepath.Join(c.dir, string(rune('a'+c.added)))}
	c.added++
	if c.newStorage != nil {
		m.storage = c.newStorage()
	}
	s, r := m.open()
	m.id = r.ID
	assert.NilError(c.t, s.Close())
	c.members = append(c.members, m)
	return m
}

func (m *member) open() (*storage.Store, storage.Recovered) {
	m.t.Helper()
	m.fs = &killFS{}
	files := m.storage
	if files == nil {
		files = m.fs
	}
	s, r, err := storage.Open(files, m.dir)
	assert.NilError(m.t, err)
	return s, r
}

// options opens the data folder and returns the options for a Group.
func (m *member) options() Options {
	m.started++
	s, r := m.open()
	m.machine = &listMachine{}
	return Options{
		Store: s, Recovered: r, StateMachine: m.machine, Transport: memoryTransport{m}, TickInterval: m.tick,
		SnapshotEntries: m.snapshotEntries,
		Rand:            rand.New(rand.NewPCG(m.started, 1)), Logger: &log.Logger{Level: log.PanicLevel},
	}
}

func (m *member) start() {
	m.t.Helper()
	if m.group != nil {
		return
	}
	group, err := Join(m.options())
	assert.NilError(m.t, err)
	m.group = group
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups[m.id] = group
}

// kill stops the member and interrupts a write that is in progress.
func (m *member) kill() {
	if m.group == nil {
		return
	}
	m.mu.Lock()
	delete(m.groups, m.id)
	m.mu.Unlock()
	m.fs.killed.Store(true)
	if err := m.group.Stop(); err != nil && !errors.Is(err, errKilled) {
		m.t.Errorf("member %s: %v", m.dir, err)
	}
	m.group = nil
}

// memoryTransport sends a member's messages over the network of its cluster.
type memoryTransport struct{ *member }

func (l memoryTransport) Send(to raft.ID, m raft.Message) {
	l.mu.Lock()
	group := l.groups[to]
	cut := l.cut[[2]raft.ID{l.id, to}]
	l.mu.Unlock()
	if group != nil && !cut {
		group.Deliver(m)
	}
}

// loseQuorum kills one member, blocks the writes of a second one while it runs with the third, and then kills both. The
// third member restarts last. An acknowledgement that the second member sent before its write was durable would thus
// lose a command.
func (c *cluster) loseQuorum(rnd *rand.Rand) {
	order := rnd.Perm(len(c.members))
	held, down, last := c.members[order[0]], c.members[order[1]], c.members[order[2]]
	down.kill()
	held.fs.hold.Lock()
	time.Sleep(5 * testTick)
	held.fs.killed.Store(true)
	held.fs.hold.Unlock()
	last.kill()
	held.kill()
	held.start()
	down.start()
	time.Sleep(30 * testTick)
	last.start()
}

// cutPath blocks the messages from one member to another.
func (c *cluster) cutPath(from, to *member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]raft.ID{from.id, to.id}] = true
}

// heal unblocks all messages.
func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
}

// pauseIsolated isolates a member and blocks its loop at the next write, while the others elect a leader. It then lets
// the member run for a short time while it is still isolated: a deposed leader must detect by itself that it has no
// quorum.
func (m *member) pauseIsolated() {
	for _, other := range m.members {
		m.cutPath(m, other)
		m.cutPath(other, m)
	}
	m.fs.hold.Lock()
	time.Sleep(30 * testTick)
	m.fs.hold.Unlock()
	time.Sleep(5 * testTick)
	m.heal()
}

func (c *cluster) running() []*Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	var groups []*Group
	for _, m := range c.members {
		if g := c.groups[m.id]; g != nil {
			groups = append(groups, g)
		}
	}
	return groups
}

// onLeader calls f on the running members in turn until it returns nil or an error other than a temporary rejection.
// Each call of onLeader starts with another member, so that members that wrongly consider themselves the leader are
// tried, too.
func (c *cluster) onLeader(ctx context.Context, f func(*Group) error) error {
	for start := c.calls.Add(1); ; {
		groups := c.running()
		for i := range groups {
			err := f(groups[(int(start)+i)%len(groups)])
			var notLeader *raft.NotLeaderError
			retry := errors.As(err, &notLeader) || errors.Is(err, ErrStopped) || errors.Is(err, raft.ErrChangePending) ||
				errors.Is(err, raft.ErrNotCaughtUp) || errors.Is(err, raft.ErrTransferring)
			if !retry {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(testTick):
		}
	}
}

func (c *cluster) propose(ctx context.Context, command string) error {
	return c.onLeader(ctx, func(g *Group) error {
		result, err := g.Propose(ctx, []byte(command))
		if err == nil && !bytes.Equal(result, []byte(command)) {
			return errors.Errorf("command %s got the result %s", command, result)
		}
		return err
	})
}

func (c *cluster) mustPropose(command string) {
	c.t.Helper()
	assert.NilError(c.t, c.propose(c.t.Context(), command))
}

// settleCommand is the command that waitUntilApplied proposes.
const settleCommand = "settle"

func count(commands []string, command string) int {
	n := 0
	for _, c := range commands {
		if c == command {
			n++
		}
	}
	return n
}

// waitUntilApplied proposes a command, waits until all given members have applied all committed entries, and checks that
// their lists of commands are equal. It returns the list.
func (c *cluster) waitUntilApplied(members ...*member) []string {
	c.t.Helper()
	c.mustPropose(settleCommand)
	c.settles++
	var longest uint64
	for _, g := range c.running() {
		longest = max(longest, g.Status().Commit)
	}
	for _, m := range members {
		// Status can be a moment older than the result of the proposal, so Commit alone does not cover the proposed command.
		for m.group.Status().Applied < longest || count(m.machine.copy(), settleCommand) < c.settles {
			assert.NilError(c.t, c.t.Context().Err())
			time.Sleep(testTick)
		}
		assert.DeepEqual(c.t, m.machine.copy(), members[0].machine.copy())
	}
	return members[0].machine.copy()
}
