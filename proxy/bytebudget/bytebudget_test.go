package bytebudget

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against bytes that are never returned, and against reservations beyond the limit: both end in a process that refuses every
// upload or runs out of memory.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 1000).Draw(t, "limit")
		b := New(limit)
		var taken []int64
		sum := int64(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			n := rapid.OneOf(rapid.Int64Range(-5, 400), rapid.Just(int64(1)<<62)).Draw(t, "n")
			before, ok := sum, false
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				ok = b.Reserve(n)
				assert.Equal(t, ok, n >= 0 && n <= limit-before)
			case 1:
				ok = b.ReserveReadAhead(n)
				assert.Equal(t, ok, n >= 0 && n <= limit/2-before)
			case 2:
				n = min(n, 400)
				b.Take(n)
				n, ok = max(n, 0), true
			default:
				if len(taken) > 0 {
					last := taken[len(taken)-1]
					taken, sum = taken[:len(taken)-1], sum-last
					b.Release(last)
				}
			}
			if ok {
				taken, sum = append(taken, n), sum+n
			}
			assert.Equal(t, b.Held(), sum)
		}
	})
}

// Guards against a process of 184 MB that reserves more than a quarter, and against none at all in a small one.
func TestDefaultLimit(t *testing.T) {
	assert.Equal(t, DefaultLimit(184<<20), int64(46<<20))
	assert.Equal(t, DefaultLimit(16<<20), int64(MinLimit))
}

// Guards against connections that are not counted, that are still counted after their end, or that leave no room for bodies.
func TestConnectionsCountUpToHalf(t *testing.T) {
	b := New(1000)
	b.TakeConn(300)
	assert.Equal(t, b.Held(), int64(300))
	assert.Assert(t, !b.Reserve(701))
	assert.Assert(t, !b.ReserveReadAhead(201))
	b.TakeConn(1 << 40)
	assert.Equal(t, b.Held(), int64(500))
	assert.Assert(t, b.Reserve(500))
	assert.Assert(t, !b.Reserve(1))
	b.ReleaseConn(1 << 40)
	assert.Equal(t, b.Held(), int64(800))
	b.ReleaseConn(300)
	b.Release(500)
	assert.Equal(t, b.Held(), int64(0))
}

// Guards against one long response that takes up the room of all others that are read ahead.
func TestRestOfOneResponse(t *testing.T) {
	b := New(1000)
	assert.Assert(t, b.ReserveRest(250, 0))
	assert.Assert(t, !b.ReserveRest(1, 250))
	assert.Assert(t, b.ReserveRest(200, 0))
	assert.Assert(t, !b.ReserveRest(51, 199), "more than half of the budget")
	assert.Equal(t, b.Held(), int64(450))
}
