package replica

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/raft"
)

// keys is the number of registers. Their histories are checked separately.
const keys = 4

// registerOp is one operation on a register: a write of value, or a read.
type registerOp struct {
	read  bool
	key   int
	value string
}

var register = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make([][]porcupine.Operation, keys)
		for _, op := range ops {
			key := op.Input.(registerOp).key
			byKey[key] = append(byKey[key], op)
		}
		return byKey
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(registerOp); !in.read {
			return true, in.value
		}
		return output == state, state
	},
}

// history records the operations of all clients.
type history struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
	// unknown is the number of writes with an unknown outcome.
	unknown int
}

func (h *history) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ops)
}

// record adds a finished operation. A write with an unknown outcome may take effect at any later time. A write that was
// reported as not applied, and a failed read, are left out.
func (h *history) record(client int, in registerOp, call time.Duration, output string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(time.Since(h.begin))
	var unknown *UnknownError
	switch {
	case err == nil:
	case !in.read && errors.As(err, &unknown):
		end = math.MaxInt64
		h.unknown++
	default:
		return
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: output, Return: end})
}

// TestLinearizable guards against stale reads, against acknowledged writes that are lost and against rejected writes
// that are applied. Meanwhile members are killed, restarted, paused and isolated, and links are blocked in one
// direction.
func TestLinearizable(t *testing.T) {
	const clients, faults = 5, 30
	c := newCluster(t, 3)
	h := &history{begin: time.Now()}
	var wg sync.WaitGroup
	var stop atomic.Bool
	for client := range clients {
		rnd := rand.New(rand.NewPCG(2, uint64(client)))
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				in := registerOp{read: rnd.IntN(2) == 0, key: rnd.IntN(keys), value: fmt.Sprintf("%d/%d", client, i)}
				call := time.Since(h.begin)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(3+rnd.IntN(30))*testTick)
				output, err := c.access(ctx, in)
				cancel()
				h.record(client, in, call, output, err)
				time.Sleep(testTick)
			}
		})
	}
	rnd := rand.New(rand.NewPCG(3, 3))
	c.injectFaults(faults, rnd, func(m *member) {
		switch rnd.IntN(5) {
		case 0:
			m.kill()
			m.start()
		case 1:
			c.cutPath(m, c.members[rnd.IntN(len(c.members))])
		case 2:
			c.heal()
		default:
			if leader := c.leader(); leader != nil {
				leader.pauseIsolated()
			}
		}
	})
	for h.len() < 300 {
		time.Sleep(testTick)
	}
	stop.Store(true)
	wg.Wait()
	result := porcupine.CheckOperationsTimeout(register, h.ops, 20*time.Second)
	assert.Equal(t, result, porcupine.Ok, "%d operations", len(h.ops))
	t.Logf("%d operations, %d with unknown outcome", len(h.ops), h.unknown)
}

// leader returns the first member that considers itself the leader, or nil if there is none.
func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.group.Status().Role == raft.Leader {
			return m
		}
	}
	return nil
}

// access executes an operation on the leader. It writes "key=value", or reads the key's last value from the leader's
// state after a barrier.
func (c *cluster) access(ctx context.Context, in registerOp) (string, error) {
	prefix := fmt.Sprintf("%d=", in.key)
	if !in.read {
		return "", c.propose(ctx, prefix+in.value)
	}
	value := ""
	err := c.onLeader(ctx, func(g *Group) error {
		if err := g.Barrier(ctx); err != nil {
			return err
		}
		value = ""
		for _, command := range g.opts.StateMachine.(*listMachine).copy() {
			if written, ok := strings.CutPrefix(command, prefix); ok {
				value = written
			}
		}
		return nil
	})
	return value, err
}
