package replica

import (
	"context"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/storage"
)

var powerSeeds = flag.Int("power.seeds", 5, "number of seeds of TestPowerAndDisksLostAtOnce")

// powerFS is a file system in memory that loses at a loss of power what was not synced: contents of files and, without a
// sync of their folder, their names.
type powerFS struct {
	off *atomic.Bool // set while the power is off; shared by all members

	mu      sync.Mutex // guards the fields below and the nodes
	names   map[string]*powerNode
	durable map[string]*powerNode
}

type powerNode struct{ data, synced []byte }

func newPowerFS(off *atomic.Bool) *powerFS {
	return &powerFS{off: off, names: map[string]*powerNode{}, durable: map[string]*powerNode{}}
}

// restore restarts after a loss of power.
func (f *powerFS) restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = maps.Clone(f.durable)
	for _, node := range f.names {
		node.data = slices.Clone(node.synced)
	}
}

// change runs an operation unless the power is off.
func (f *powerFS) change(operation func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.off.Load() {
		return errKilled
	}
	return operation()
}

func (f *powerFS) MkdirAll(string) error { return nil }

func (f *powerFS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f *powerFS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if node := f.names[name]; node != nil {
		return slices.Clone(node.data), nil
	}
	return nil, fs.ErrNotExist
}

func (f *powerFS) Create(name string) (storage.File, error) {
	node := &powerNode{}
	return powerFile{f, node}, f.change(func() error {
		f.names[name] = node
		return nil
	})
}

func (f *powerFS) Append(name string, size int64) (file storage.File, err error) {
	err = f.change(func() error {
		node := f.names[name]
		if node == nil {
			return fs.ErrNotExist
		}
		node.data = node.data[:size]
		file = powerFile{f, node}
		return nil
	})
	return file, err
}

func (f *powerFS) Rename(oldName, newName string) error {
	return f.change(func() error {
		if f.names[oldName] == nil {
			return fs.ErrNotExist
		}
		f.names[newName] = f.names[oldName]
		delete(f.names, oldName)
		return nil
	})
}

func (f *powerFS) Remove(name string) error {
	return f.change(func() error {
		delete(f.names, name)
		return nil
	})
}

func (f *powerFS) SyncDir(string) error { // the test has one folder in each file system
	return f.change(func() error {
		f.durable = maps.Clone(f.names)
		return nil
	})
}

func (f *powerFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type powerFile struct {
	fs   *powerFS
	node *powerNode
}

func (f powerFile) Write(p []byte) (int, error) {
	return len(p), f.fs.change(func() error {
		f.node.data = append(f.node.data, p...)
		return nil
	})
}

func (f powerFile) Sync() error {
	return f.fs.change(func() error {
		f.node.synced = slices.Clone(f.node.data)
		return nil
	})
}

func (f powerFile) Close() error { return nil }

// powerCluster is a group of five members with file systems that lose power together.
type powerCluster struct {
	*cluster
	off *atomic.Bool
	rnd *rand.Rand

	mu           sync.Mutex
	acknowledged []string
}

func newPowerCluster(t *testing.T, seed uint64) *powerCluster {
	p := &powerCluster{off: &atomic.Bool{}, rnd: rand.New(rand.NewPCG(seed, 0))}
	p.cluster = newClusterWith(t, 5, 20, testTick, func() storage.FS { return newPowerFS(p.off) })
	return p
}

// proposeUntilPowerLoss proposes commands from several goroutines and turns the power off right after one of them was
// acknowledged.
func (p *powerCluster) proposeUntilPowerLoss(round int) {
	const proposers = 8
	remaining := atomic.Int64{}
	remaining.Store(int64(10 + p.rnd.IntN(60)))
	ctx, cancel := context.WithCancel(p.t.Context())
	defer cancel()
	var wg sync.WaitGroup
	for proposer := range proposers {
		wg.Go(func() {
			for i := 0; !p.off.Load(); i++ {
				command := fmt.Sprintf("%d-%d-%d", round, proposer, i)
				if p.propose(ctx, command) != nil {
					continue
				}
				p.mu.Lock()
				p.acknowledged = append(p.acknowledged, command)
				p.mu.Unlock()
				if remaining.Add(-1) == 0 {
					p.off.Store(true)
					cancel()
				}
			}
		})
	}
	wg.Wait()
	for _, m := range p.members {
		if m.group == nil {
			continue
		}
		p.cluster.mu.Lock()
		delete(p.groups, m.id)
		p.cluster.mu.Unlock()
		if err := m.group.Stop(); err != nil && !errors.Is(err, errKilled) {
			p.t.Errorf("member %s: %v", m.dir, err)
		}
		m.group = nil
	}
}

// replace replaces the members whose disks were lost, one change at a time and with the new member added first.
func (p *powerCluster) replace(lost []*member) {
	for _, old := range lost {
		p.members = slices.DeleteFunc(p.members, func(m *member) bool { return m == old })
		fresh := p.addMember()
		fresh.start()
		for _, change := range []raft.MemberChange{
			{Kind: raft.AddLearner, ID: fresh.id},
			{Kind: raft.PromoteLearner, ID: fresh.id},
			{Kind: raft.RemoveMember, ID: old.id},
		} {
			assert.NilError(p.t, p.onLeader(p.t.Context(), func(g *Group) error { return g.ChangeMembership(p.t.Context(), change) }))
		}
	}
}

// Guards against an acknowledged command that is lost when two of five members lose their disks at the moment when all
// others lose power, also when that happens again right after the lost members were replaced.
func TestPowerAndDisksLostAtOnce(t *testing.T) {
	for seed := range uint64(*powerSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := newPowerCluster(t, seed)
			for round := range 3 {
				p.proposeUntilPowerLoss(round)
				order := p.rnd.Perm(len(p.members))
				lost := []*member{p.members[order[0]], p.members[order[1]]}
				var kept []*member
				p.off.Store(false)
				for _, i := range order[2:] {
					p.members[i].storage.(*powerFS).restore()
					p.members[i].start()
					kept = append(kept, p.members[i])
				}
				began := time.Now()
				list := p.waitUntilApplied(kept...)
				for _, command := range p.acknowledged {
					assert.Assert(t, slices.Contains(list, command), "%s was acknowledged and is lost", command)
				}
				p.replace(lost)
				t.Logf("round %d: %d commands acknowledged, %d in the log, recovered and replaced in %s",
					round, len(p.acknowledged), len(list), time.Since(began))
			}
		})
	}
}
