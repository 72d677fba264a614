package storage

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
)

var errCrash = errors.New("injected crash")

// memFS is an in-memory file system that distinguishes written data from durable data. It simulates a crash at operation
// crashAt: that operation may have a partial effect and fails, and all later ones fail without effect until a restart.
type memFS struct {
	rnd     *rand.Rand
	crashAt int
	ops     int
	crashed bool
	locked  bool

	names   map[string]*inode
	durable map[string]*inode
	// pending holds the changes of names since the last SyncDir.
	pending []map[string]*inode
}

type inode struct {
	data   []byte
	synced []byte
	// writes holds the changes since the last sync, each as the range of bytes that it changed.
	writes [][2]int
}

func newMemFS(rnd *rand.Rand) *memFS {
	return &memFS{rnd: rnd, names: map[string]*inode{}, durable: map[string]*inode{}}
}

// step counts an operation and reports whether the process has crashed.
func (m *memFS) step() bool {
	m.ops++
	m.crashed = m.crashed || m.ops == m.crashAt
	return m.crashed
}

// kill restarts after a crash of the process alone: all written data is visible, but no more of it is durable than
// before.
func (m *memFS) kill(crashAt int) {
	m.ops, m.crashed, m.locked, m.crashAt = 0, false, false, crashAt
}

// powerLoss restarts after a loss of the page cache: any part of the data that was not synced may be lost or damaged.
func (m *memFS) powerLoss(crashAt int) {
	for _, change := range m.pending {
		if m.rnd.IntN(2) == 0 {
			apply(m.durable, change)
		}
	}
	m.pending = nil
	m.names = maps.Clone(m.durable)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].losePages(m.rnd)
	}
	m.kill(crashAt)
}

func apply(names, change map[string]*inode) {
	for name, node := range change {
		if node == nil {
			delete(names, name)
			continue
		}
		names[name] = node
	}
}

func (n *inode) losePages(rnd *rand.Rand) {
	survived := slices.Clone(n.synced)
	for _, w := range n.writes {
		from, to := w[0], w[1]
		if to < from { // a truncation to a length of to bytes
			if rnd.IntN(2) == 0 && to < len(survived) {
				survived = survived[:to]
			}
			continue
		}
		switch rnd.IntN(4) {
		case 0:
			continue
		case 1:
			to = from + rnd.IntN(to-from+1)
		}
		to = min(to, len(n.data))
		if from >= to {
			continue
		}
		if hole := to - len(survived); hole > 0 {
			survived = append(survived, make([]byte, hole)...)
		}
		copy(survived[from:to], n.data[from:to])
		if rnd.IntN(4) == 0 {
			survived[from+rnd.IntN(to-from)] ^= 1 << rnd.IntN(8)
		}
	}
	n.data = survived
	n.synced = slices.Clone(survived)
	n.writes = nil
}

func (m *memFS) change(change map[string]*inode) {
	apply(m.names, change)
	m.pending = append(m.pending, change)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	node, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	crash := m.step()
	node := &inode{}
	if !crash || m.ops == m.crashAt && m.rnd.IntN(2) == 0 {
		m.change(map[string]*inode{name: node})
	}
	return &memFile{fs: m, node: node}, crashError(crash)
}

func (m *memFS) Append(name string, size int64) (File, error) {
	node, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if m.step() {
		return nil, errCrash
	}
	if int(size) < len(node.data) {
		node.data = node.data[:size:size]
		node.writes = append(node.writes, [2]int{int(size) + 1, int(size)})
	}
	return &memFile{fs: m, node: node}, nil
}

func (m *memFS) Rename(oldName, newName string) error {
	crash := m.step()
	if !crash || m.ops == m.crashAt && m.rnd.IntN(2) == 0 {
		m.change(map[string]*inode{oldName: nil, newName: m.names[oldName]})
	}
	return crashError(crash)
}

func (m *memFS) Remove(name string) error {
	crash := m.step()
	if !crash || m.ops == m.crashAt && m.rnd.IntN(2) == 0 {
		m.change(map[string]*inode{name: nil})
	}
	return crashError(crash)
}

// SyncDir makes the changes of names durable, but only if dir is the data folder. Syncing its parent folder must not
// have that effect.
func (m *memFS) SyncDir(dir string) error {
	if m.step() {
		return errCrash
	}
	if dir != "data" {
		return nil
	}
	for _, change := range m.pending {
		apply(m.durable, change)
	}
	m.pending = nil
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if m.locked {
		return nil, &LockedError{File: name}
	}
	m.locked = true
	return memLock{m}, nil
}

type memLock struct{ fs *memFS }

func (l memLock) Close() error {
	l.fs.locked = false
	return nil
}

type memFile struct {
	fs   *memFS
	node *inode
}

func (f *memFile) Write(p []byte) (int, error) {
	crash := f.fs.step()
	n := len(p)
	if crash {
		n = 0
		if f.fs.ops == f.fs.crashAt {
			n = f.fs.rnd.IntN(len(p) + 1)
		}
	}
	from := len(f.node.data)
	f.node.data = append(f.node.data, p[:n]...)
	f.node.writes = append(f.node.writes, [2]int{from, from + n})
	return n, crashError(crash)
}

func (f *memFile) Sync() error {
	if f.fs.step() {
		return errCrash
	}
	f.node.synced = slices.Clone(f.node.data)
	f.node.writes = nil
	return nil
}

func (f *memFile) Close() error { return nil }

func crashError(crash bool) error {
	if crash {
		return errCrash
	}
	return nil
}
