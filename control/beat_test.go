package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a beat that is dated too late: a process would go on to admit requests after its control VM was cut
// off from the leader.
func TestBeatAgeCountsFromQuestion(t *testing.T) {
	source := NewSource(NewCopy(), nil)
	const age = time.Minute
	source.SetBeat(Beat{Number: 1}, time.Now().Add(-age))
	reply, err := source.Fetch(context.Background(), FetchRequest{})
	assert.NilError(t, err)
	assert.Assert(t, reply.Beat.Age >= age)

	// A beat that is issued while the question waits is younger than the question.
	source.SetBeat(Beat{Number: 2}, time.Now().Add(time.Hour))
	reply, err = source.Fetch(context.Background(), FetchRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Beat.Age, time.Duration(0))
}

// Guards against a copy that is behind and passes beats on: a follower stayed with it and never got the state that the
// beats told of.
func TestSourceBehindBeatPassesNone(t *testing.T) {
	source := NewSource(NewCopy(), nil)
	source.SetBeat(Beat{Number: 1, Version: 1}, time.Now())
	reply, err := source.Fetch(context.Background(), FetchRequest{})
	assert.NilError(t, err)
	assert.Equal(t, reply.Beat, Beat{})
}

// Guards against staying with a control VM that is silently isolated: it answers, but brings no new beats.
func TestFollowerLeavesSilentControlVM(t *testing.T) {
	silent, alive := NewSource(NewCopy(), nil), NewSource(NewCopy(), nil)
	alive.SetBeat(Beat{Number: 5}, time.Now())
	silentAddress, aliveAddress := serveSource(t, silent), serveSource(t, alive)
	follower := newFollower(t, "a")
	follower.Wait = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	run := followRun{
		Follower: follower,
		targets:  func() (control, peers []string) { return []string{silentAddress, aliveAddress}, nil },
		failed:   func(string, error) {},
		source:   silentAddress,
	}
	_, err := run.poll(ctx)
	assert.NilError(t, err)
	n, err := run.poll(ctx)
	assert.NilError(t, err)
	assert.Equal(t, n.Beat.Number, uint64(5))
}
