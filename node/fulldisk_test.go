package node

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/replica"
	"rosemaryline.dev/storage"
)

var (
	diskSeeds = flag.Int("disk.seeds", 1, "number of runs of TestDisksFullInTurn")
	diskFirst = flag.Uint64("disk.first", 2, "seed of the first run of TestDisksFullInTurn")
)

// refusingFS is a file system that refuses writes while it is full, each with a random part of its effect. While it is stalled,
// writes and syncs wait.
type refusingFS struct {
	storage.OS
	full    atomic.Bool
	stalled atomic.Bool
	mu      sync.Mutex // guards rnd
	rnd     *rand.Rand
}

func (f *refusingFS) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

// refuses reports whether an operation fails that a full disk refuses on some file systems only.
func (f *refusingFS) refuses() bool { return f.full.Load() && f.intN(2) == 0 }

func (f *refusingFS) wait() {
	for f.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (f *refusingFS) Create(name string) (storage.File, error) {
	if f.refuses() {
		return nil, syscall.ENOSPC
	}
	file, err := f.OS.Create(name)
	return &refusingFile{file, f}, err
}

func (f *refusingFS) Append(name string, size int64) (storage.File, error) {
	file, err := f.OS.Append(name, size)
	return &refusingFile{file, f}, err
}

func (f *refusingFS) Rename(from, to string) error {
	if f.refuses() {
		return syscall.ENOSPC
	}
	return f.OS.Rename(from, to)
}

func (f *refusingFS) SyncDir(dir string) error {
	if f.refuses() {
		return syscall.ENOSPC
	}
	return f.OS.SyncDir(dir)
}

type refusingFile struct {
	storage.File
	fs *refusingFS
}

func (f *refusingFile) Write(data []byte) (int, error) {
	f.fs.wait()
	if !f.fs.full.Load() {
		return f.File.Write(data)
	}
	n, _ := f.File.Write(data[:f.fs.intN(len(data)+1)])
	return n, syscall.ENOSPC
}

func (f *refusingFile) Sync() error {
	f.fs.wait()
	if f.fs.refuses() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// countingFS is a file system that refuses writes from its operation number refuseFrom on.
type countingFS struct {
	storage.OS
	operations, refuseFrom int
}

func (f *countingFS) refuses() bool {
	f.operations++
	return f.refuseFrom > 0 && f.operations >= f.refuseFrom
}

func (f *countingFS) Create(name string) (storage.File, error) {
	if f.refuses() {
		return nil, syscall.ENOSPC
	}
	file, err := f.OS.Create(name)
	return &countingFile{file, f}, err
}

func (f *countingFS) Append(name string, size int64) (storage.File, error) {
	file, err := f.OS.Append(name, size)
	return &countingFile{file, f}, err
}

type countingFile struct {
	storage.File
	fs *countingFS
}

func (f *countingFile) Write(data []byte) (int, error) {
	if f.fs.refuses() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// Guards against a group that is never created: its first process found an interrupted creation in its data folder, took it for a
// member that waits to be added, and no other process creates the group.
func TestInterruptedCreationIsCompleted(t *testing.T) {
	interrupted := 0
	for refuseFrom := 1; ; refuseFrom++ {
		fs := &countingFS{refuseFrom: refuseFrom}
		o := Options{Name: "control", DataDir: t.TempDir(), NoRecords: true, Bootstrap: true, FS: fs}
		o.setDefaults()
		stores, err := openStores(&o)
		if err == nil {
			stores.close()
			break
		}
		var refused *DataFolderError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		fs.refuseFrom = 0
		store, recovered, err := storage.Open(fs, filepath.Join(o.DataDir, string(groupControl)))
		assert.NilError(t, err)
		store.Close()
		o.Bootstrap = !replica.CreationInterrupted(recovered) // the process that was restarted is not told that it creates the group
		if !o.Bootstrap {
			interrupted++
		}
		stores, err = openStores(&o)
		assert.NilError(t, err)
		stores.close()
		assert.Equal(t, stores[groupControl].recovered.Snapshot.Index, uint64(1), "refused from operation %d on", refuseFrom)
	}
	assert.Assert(t, interrupted > 0)
}

// diskMachine is a control VM whose process is started again whenever it ends.
type diskMachine struct {
	opts Options
	disk *refusingFS

	mu      sync.Mutex // guards the fields below
	process *Node
	exits   int
}

func (m *diskMachine) node() *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

func (m *diskMachine) setNode(n *Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil && n == nil {
		m.exits++
	}
	m.process = n
}

// restartPause is the time after which a process that ended is started again.
const restartPause = 50 * time.Millisecond

// supervise runs the process until ctx ends. Only the first process that starts creates the group.
func (m *diskMachine) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := Start(m.opts)
		if err != nil {
			time.Sleep(restartPause)
			continue
		}
		m.opts.PeerListen = n.PeerAddress()
		m.opts.Bootstrap = false
		m.setNode(n)
		select {
		case <-n.Dead():
		case <-ctx.Done():
		}
		n.Kill()
		m.setNode(nil)
		time.Sleep(restartPause)
	}
}

// diskFleet is a control group whose disks are full at times.
type diskFleet struct {
	t        *testing.T
	machines []*diskMachine
	rnd      *rand.Rand
	accepted atomic.Uint64 // number of the newest acknowledged change
}

func startDiskFleet(t *testing.T, seed uint64) *diskFleet {
	machines := 5 + int(seed%3) // with more than 5, a learner may take the place of a VM whose disk is full
	f := &diskFleet{t: t, rnd: rand.New(rand.NewPCG(seed, 0))}
	folder := t.TempDir() // removed after the processes have ended
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	addresses := freeAddresses(t, machines)
	for i := range machines {
		m := &diskMachine{disk: &refusingFS{rnd: rand.New(rand.NewPCG(seed, uint64(i)+1))}}
		m.opts = Options{
			Name: fmt.Sprint("control-", i), Domain: "dom", PeerListen: addresses[i], Join: addresses[:3], AutoMembers: true,
			NoRecords: true, MinQuorum: 3, DataDir: filepath.Join(folder, fmt.Sprint(i)), Bootstrap: i == 0, FS: m.disk, SnapshotEntries: 40,
		}
		f.machines = append(f.machines, m)
	}
	f.machines[0].disk.full.Store(seed%2 == 0) // at the first start
	for _, m := range f.machines {
		running.Go(func() { m.supervise(ctx) })
	}
	return f
}

// change sends one change of the configuration through a random process.
func (f *diskFleet) change(ctx context.Context, number uint64) error {
	n := f.machines[f.rnd.IntN(len(f.machines))].node()
	if n == nil {
		return errors.New("the process is not running")
	}
	document := &config.Document{Services: map[string]config.Service{}}
	for i := range 20 {
		document.Services[fmt.Sprint("svc-", i)] = config.Service{Slots: int(number%100) + 1, Connections: 200, FloorPercent: 50}
	}
	document.SetDefaults()
	change := DocumentChange{ChangeID: fmt.Sprint("change-", number), Operator: "test", Label: number, BaseLabel: f.accepted.Load(), Document: document, Source: []byte(fmt.Sprint(number))}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	result, err := n.ReplaceDocument(ctx, change)
	if err != nil {
		return err
	}
	if result.Err != nil {
		return result.Err
	}
	f.accepted.Store(number)
	return nil
}

// mustChange sends a change until it is acknowledged, for waitTimeout at most.
func (f *diskFleet) mustChange(number uint64) {
	f.t.Helper()
	eventually(f.t, fmt.Sprint("change ", number), func() error { return f.change(f.t.Context(), number) })
}

// Guards against a control group that refuses or does not answer changes after the disks of its VMs were full or stalled one after
// the other, the first of them when the group was created, and against an acknowledged change that is lost.
func TestDisksFullInTurn(t *testing.T) {
	for seed := *diskFirst; seed < *diskFirst+uint64(*diskSeeds); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			f := startDiskFleet(t, seed)
			time.Sleep(time.Duration(f.rnd.IntN(300)) * time.Millisecond)
			f.machines[0].disk.full.Store(false)
			number := uint64(1)
			f.mustChange(number)
			for range 9 {
				m := f.machines[f.rnd.IntN(len(f.machines))]
				fault := &m.disk.full
				if f.rnd.IntN(4) == 0 {
					fault = &m.disk.stalled
				}
				fault.Store(true)
				for end := time.Now().Add(time.Duration(300+f.rnd.IntN(2700)) * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					if f.change(t.Context(), number+1) == nil {
						number++
					}
				}
				fault.Store(false)
				time.Sleep(time.Duration(f.rnd.IntN(200)) * time.Millisecond)
			}
			f.mustChange(number + 1) // sent again if it may have been applied without an acknowledgement
			exits := 0
			for _, m := range f.machines {
				eventually(t, m.opts.Name, func() error { return m.holds(number + 1) })
				exits += m.exits
			}
			t.Logf("%d changes, %d exits", number+1, exits)
		})
	}
}

// holds returns nil if the process has applied a change and is a voter, or a learner beside as many voters as the group needs.
func (m *diskMachine) holds(label uint64) error {
	n := m.node()
	if n == nil {
		return errors.New("the process is not running")
	}
	members := n.control.groups[groupControl].Status().Membership
	if !members.Contains(n.control.controlID) || len(members.Voters) < 2*m.opts.MinQuorum-1 {
		return errors.Errorf("the members are %+v", members)
	}
	var applied uint64
	n.control.machine.View(func(s *state.State) { applied = s.Label() })
	if applied != label {
		return errors.Errorf("has applied change %d of %d", applied, label)
	}
	return nil
}

// freeAddresses returns addresses on loopback that were free a moment ago.
func freeAddresses(t *testing.T, n int) (list []string) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}
