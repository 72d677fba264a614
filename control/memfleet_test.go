package control

import (
	"context"
	"hash/fnv"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// memFleet is a Fleet in memory. With lossy set, the first two attempts to propose a change may fail, before or after
// the command ran. The change ID determines which of them fail and how.
type memFleet struct {
	mu       sync.Mutex
	state    *state.State
	attempts map[string]int
	lossy    bool
	down     error
}

func newMemFleet() *memFleet {
	return &memFleet{state: state.New(), attempts: map[string]int{}}
}

func (f *memFleet) View(view func(*state.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	view(f.state)
}

func (f *memFleet) Barrier(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *memFleet) Propose(_ context.Context, c state.Command) (state.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := 0
	if f.lossy && f.attempts[c.ChangeID] < 2 {
		sum := fnv.New32a()
		io.WriteString(sum, c.ChangeID)
		fault = int(sum.Sum32()>>(2*f.attempts[c.ChangeID])) % 4
	}
	f.attempts[c.ChangeID]++
	if fault == 1 {
		return state.Result{}, &NotLeaderError{}
	}
	result, err := state.DecodeResult(f.state.Apply(data))
	if fault == 2 {
		return state.Result{}, &UnknownError{Err: errors.New("lost")}
	}
	return result, err
}

var testCredentials = map[string]config.Role{
	"viewer-secret": config.RoleViewer, "operator-secret": config.RoleOperator, "admin-secret": config.RoleAdmin,
}

func testDocument() *config.Document {
	doc := &config.Document{
		Domains:   map[string]config.Domain{"d1": {Region: "r"}, "d2": {Region: "r"}, "d3": {Region: "r"}},
		Services:  map[string]config.Service{"web": {Slots: 5, Connections: 400, FloorPercent: 60}},
		Routes:    map[string]config.Route{"home": {Path: "/home", Service: "web", Access: config.AccessOpen, Teams: []string{"red"}}},
		Teams:     map[string]config.Team{"red": {Rate: 10, Burst: 20}, "blue": {Rate: 5, Burst: 10}},
		Operators: map[string]config.Operator{},
	}
	for credential, role := range testCredentials {
		doc.Operators[string(role)] = config.Operator{Role: role, CredentialHash: config.HashKey(credential)}
	}
	doc.SetDefaults()
	return doc
}

func mustPropose(t testing.TB, f *memFleet, c state.Command) {
	t.Helper()
	if c.Operator == "" {
		c.Operator = "test"
	}
	f.View(func(s *state.State) { c.BaseVersion = s.Version() })
	result, err := f.Propose(context.Background(), c)
	assert.NilError(t, err)
	assert.Assert(t, result.Err == nil, "%v", result.Err)
}

func applyCommand(c config.Change) *state.ApplyChange {
	return &state.ApplyChange{Change: c, ContentHash: c.Hash()}
}

// startAPI applies the test document, serves the API over HTTP, and returns a function that returns a client with the
// given credential.
func startAPI(t testing.TB, f *memFleet, o Options) func(credential string) *Client {
	t.Helper()
	mustPropose(t, f, state.Command{ChangeID: "document", Apply: applyCommand(config.Diff(&config.Document{}, testDocument()))})
	start := time.Now()
	o.Fleet = f
	o.Logger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	if o.Confirmations == nil {
		o.Confirmations = NewConfirmations(func() time.Duration { return time.Since(start) })
	}
	server := httptest.NewServer(NewAPI(o))
	t.Cleanup(server.Close)
	return func(credential string) *Client {
		return &Client{Addresses: []string{server.URL}, Credential: credential, HTTP: server.Client(), RetryDelay: time.Millisecond}
	}
}
