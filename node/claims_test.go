package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/idempotency"
	"rosemaryline.dev/membership"
	"rosemaryline.dev/proxy"
	"rosemaryline.dev/rpc"
)

// recordGroup is a record group of one member that a test can make unavailable.
type recordGroup struct {
	mu          sync.Mutex
	store       *idempotency.Store
	index       uint64
	unavailable bool
}

func (g *recordGroup) proposeRecord(_ context.Context, data []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unavailable {
		return nil, errors.New("unavailable")
	}
	g.index++
	return g.store.Apply(g.index, data), nil
}

func (g *recordGroup) setUnavailable(unavailable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unavailable = unavailable
}

func newTestClaims(t *testing.T, group *recordGroup, clock proxy.Clock) *claims {
	t.Helper()
	logger := &log.Logger{Level: log.PanicLevel}
	client := rpc.NewClient(nil)
	t.Cleanup(client.Close)
	self := membership.Member{Name: "vm-a", Address: "127.0.0.1:1", Incarnation: 1}
	running := &tomb.Tomb{}
	running.Go(func() error {
		<-running.Dying()
		return nil
	})
	t.Cleanup(func() {
		running.Kill(nil)
		assert.NilError(t, running.Wait())
	})
	claimer := idempotency.Claimer{Process: "vm-a", Incarnation: 1}
	return newClaims(claimer, clock, group, newGossip(self, membership.Config{}, clock, client, logger), logger, running)
}

func keyedRequest(t *testing.T, key, body string) *proxy.Request {
	t.Helper()
	b, err := proxy.NewBody(strings.NewReader(body), int64(len(body)), 1<<10)
	assert.NilError(t, err)
	return &proxy.Request{
		Team: "team", Route: "bookings", IdempotencyKey: key, Method: http.MethodPost, URI: "/bookings",
		Deadline: time.Now().Add(time.Minute), Body: b,
	}
}

func responseWith(body string) *proxy.Response {
	return &proxy.Response{Status: http.StatusCreated, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
}

func reasonOf(t *testing.T, err error) proxy.Reason {
	t.Helper()
	var refusal *proxy.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	return refusal.Reason
}

// Guards against a second run of a request with an idempotency key, and against returning the stored response of
// another request.
func TestResubmissionGetsTheFirstOutcome(t *testing.T) {
	group := &recordGroup{store: idempotency.NewStore()}
	c := newTestClaims(t, group, proxy.NewClock())
	ctx := context.Background()

	claim, earlier, err := c.Claim(ctx, keyedRequest(t, "k1", "monday"))
	assert.NilError(t, err)
	assert.Assert(t, claim != nil && earlier == nil)
	_, _, err = c.Claim(ctx, keyedRequest(t, "k1", "monday"))
	assert.Equal(t, reasonOf(t, err), proxy.ReasonRunning)
	_, _, err = c.Claim(ctx, keyedRequest(t, "k1", "tuesday"))
	assert.Equal(t, reasonOf(t, err), proxy.ReasonKeyReused)

	kept, err := claim.Complete(responseWith("booked"))
	assert.NilError(t, err)
	body, err := io.ReadAll(kept.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "booked")
	c.drain(ctx)
	claim, earlier, err = c.Claim(ctx, keyedRequest(t, "k1", "monday"))
	assert.NilError(t, err)
	assert.Assert(t, claim == nil)
	body, err = io.ReadAll(earlier.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "booked")
	assert.Equal(t, earlier.Status, http.StatusCreated)
}

// Guards against a released key that cannot be claimed again, and against a lost outcome that is not reported as
// unknown.
func TestReleasedAndLostClaims(t *testing.T) {
	group := &recordGroup{store: idempotency.NewStore()}
	c := newTestClaims(t, group, proxy.NewClock())
	ctx := context.Background()
	claim, _, err := c.Claim(ctx, keyedRequest(t, "k1", ""))
	assert.NilError(t, err)
	claim.Release()
	c.drain(ctx)
	claim, _, err = c.Claim(ctx, keyedRequest(t, "k1", ""))
	assert.NilError(t, err)
	claim.Abandon()
	c.drain(ctx)
	_, _, err = c.Claim(ctx, keyedRequest(t, "k1", ""))
	assert.Equal(t, reasonOf(t, err), proxy.ReasonLost)
}

// Guards against a part of a response that is stored as the whole. What breaks off behind the bytes that a record stores is not kept.
func TestPartOfAResponseIsNotStored(t *testing.T) {
	tests := []struct {
		desc        string
		received    int
		completes   bool
		resubmitted proxy.Reason
	}{
		{"empty", 0, false, proxy.ReasonLost},
		{"short", 3, false, proxy.ReasonLost},
		{"all that a record stores", idempotency.MaxBodyBytes, false, proxy.ReasonLost},
		{"long", 2 * idempotency.MaxBodyBytes, true, proxy.ReasonAnswerNotKept},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newTestClaims(t, &recordGroup{store: idempotency.NewStore()}, proxy.NewClock())
			ctx := context.Background()
			claim, _, err := c.Claim(ctx, keyedRequest(t, "k1", ""))
			assert.NilError(t, err)
			resp := responseWith(strings.Repeat("x", test.received))
			resp.Body = io.NopCloser(io.MultiReader(resp.Body, iotest.ErrReader(io.ErrUnexpectedEOF)))
			kept, err := claim.Complete(resp)
			if test.completes {
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, kept.Body)
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			} else {
				assert.Equal(t, reasonOf(t, err), proxy.ReasonBrokenAnswer)
			}
			c.drain(ctx)
			_, earlier, err := c.Claim(ctx, keyedRequest(t, "k1", ""))
			assert.Assert(t, earlier == nil)
			assert.Equal(t, reasonOf(t, err), test.resubmitted)
		})
	}
}

// Guards against losing an outcome because the record group was unavailable when the request ended, and against claims
// that are granted or wait while it is unavailable.
func TestOutcomeIsRecordedWhenTheGroupIsBack(t *testing.T) {
	group := &recordGroup{store: idempotency.NewStore()}
	c := newTestClaims(t, group, proxy.NewClock())
	ctx := context.Background()
	claim, _, err := c.Claim(ctx, keyedRequest(t, "k1", ""))
	assert.NilError(t, err)
	group.setUnavailable(true)
	_, err = claim.Complete(responseWith("booked"))
	assert.NilError(t, err)
	for range 3 {
		_, _, err = c.Claim(ctx, keyedRequest(t, "k2", ""))
		assert.Equal(t, reasonOf(t, err), proxy.ReasonNoRecords)
	}
	group.setUnavailable(false)
	c.drain(ctx)
	assert.Equal(t, len(c.pending), 0)
	for {
		_, earlier, err := c.Claim(ctx, keyedRequest(t, "k1", ""))
		if err == nil {
			assert.Equal(t, earlier.Status, http.StatusCreated)
			return
		}
		// While the circuit breaker refuses claims, it lets one claim a second through to test the group.
		assert.Equal(t, reasonOf(t, err), proxy.ReasonNoRecords)
		time.Sleep(breakerTrialInterval / 10)
	}
}
